package node

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/operations/hotrestart"
	resumable "spurwinch/internal/session"
)

// learnedState is the state that a process has learned, or a part of it. It doesn't include the state of connections.
type learnedState struct {
	Modules map[string]choice.LearnedState `cbor:"1,keyasint"` // by cluster name
	// The following three fields are a resumable.Update.

	Sessions  []resumable.Session `cbor:"2,keyasint,omitempty"`
	Connected []int               `cbor:"3,keyasint,omitempty"`
	Ended     []resumable.Key     `cbor:"4,keyasint,omitempty"`

	// AcceptsSessions is set by a process that its successor may send Sessions, Connected and Ended.
	AcceptsSessions bool `cbor:"5,keyasint,omitempty"`
}

// encodeLearnedState encodes this process's learned state for its successor, with the given resumable sessions.
func (h *hotRestart) encodeLearnedState(sessions []resumable.Session) []byte {
	state := learnedState{
		Modules: map[string]choice.LearnedState{}, Sessions: sessions, AcceptsSessions: h.program.xmpp != nil,
	}
	for cluster, core := range h.program.coreByCluster {
		state.Modules[cluster] = core.LearnedState()
	}
	return state.encode()
}

// encode returns the CBOR encoding. After an error it returns nil.
func (s learnedState) encode() []byte {
	encoded, err := cbor.Marshal(s)
	if err != nil {
		zap.L().Error("learned_state_not_encoded", zap.Error(err))
	}
	return encoded
}

// importFrom applies learned state that another process has sent. A successor sends only resumable sessions.
func (h *hotRestart) importFrom(peer hotrestart.Peer, encoded []byte) {
	if peer == hotrestart.Parent {
		h.importLearnedState(encoded)
		return
	}
	if state, ok := decodeLearnedState(encoded); ok {
		h.sessions.merge(resumable.Successor, state)
	}
}

// importLearnedState applies the predecessor's learned state to this process.
func (h *hotRestart) importLearnedState(encoded []byte) {
	state, ok := decodeLearnedState(encoded)
	if !ok {
		return
	}
	for cluster, learned := range state.Modules {
		if core := h.program.coreByCluster[cluster]; core != nil {
			core.ImportLearnedState(learned)
		}
	}
	h.sessions.merge(resumable.Predecessor, state)
	if state.AcceptsSessions {
		h.sessions.parentAccepts = true
		h.sessions.followLinks()
	}
}

func decodeLearnedState(encoded []byte) (state learnedState, ok bool) {
	if err := cbor.Unmarshal(encoded, &state); err != nil {
		zap.L().Warn("learned_state_not_decoded", zap.Error(err))
		return learnedState{}, false
	}
	return state, true
}
