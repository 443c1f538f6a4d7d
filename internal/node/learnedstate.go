package node

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/choice"
	resumable "spurwinch/internal/session"
)

// maxSessions is the maximum number of sessions without a stream that are sent to another process. Sessions with a
// stream are transferred together with it.
const maxSessions = 1000

// learnedState is the state that a process has learned. It doesn't include the state of connections.
type learnedState struct {
	Modules  map[string]choice.LearnedState `cbor:"1,keyasint"` // by cluster name
	Sessions []resumable.Session            `cbor:"2,keyasint,omitempty"`
}

// encodeLearnedState encodes this process's learned state for its successor.
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

// importLearnedState applies the predecessor's learned state to this process.
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
