package node

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/choice"
	resumable "spurwinch/internal/session"
)

// maxSessions is the most sessions without a stream that are sent to another process; others go with their streams.
const maxSessions = 1000

// learnedState is what a process has learned, beside its connections.
type learnedState struct {
	Modules  map[string]choice.LearnedState `cbor:"1,keyasint"` // by the names of their clusters
	Sessions []resumable.Session            `cbor:"2,keyasint,omitempty"`
}

// encodeLearnedState encodes what this process has learned, for its successor.
func (h *hotRestart) encodeLearnedState() []byte {
	state := learnedState{Modules: map[string]choice.LearnedState{}}
	for cluster, core := range h.program.coreByCluster {
		state.Modules[cluster] = core.LearnedState()
	}
	if h.program.xmpp != nil {
		state.Sessions = h.program.xmpp.DisconnectedSessions(maxSessions)
	}
	encoded, err := cbor.Marshal(state)
	if err != nil {
		zap.L().Error("learned_state_not_encoded", zap.Error(err))
	}
	return encoded
}

// importLearnedState adopts what the predecessor has learned.
func (h *hotRestart) importLearnedState(encoded []byte) {
	var state learnedState
	if err := cbor.Unmarshal(encoded, &state); err != nil {
		zap.L().Warn("learned_state_not_decoded", zap.Error(err))
		return
	}
	for cluster, learned := range state.Modules {
		if core := h.program.coreByCluster[cluster]; core != nil {
			core.ImportLearnedState(learned)
		}
	}
	if h.program.xmpp != nil {
		h.program.xmpp.AddDisconnectedSessions(state.Sessions)
	}
}
