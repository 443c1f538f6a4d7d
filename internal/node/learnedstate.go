package node

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/edge"
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

	// Lists has the endpoint lists of the clusters of the operator's file, by cluster name. Only a grant has them.
	Lists map[string][]listedServer `cbor:"6,keyasint,omitempty"`

	// AnswersQueries is set by a process that its successor may ask whether a request is open there.
	AnswersQueries bool `cbor:"7,keyasint,omitempty"`
	// AcceptsSessions is set by a process that its successor may send Sessions, Connected and Ended.
	AcceptsSessions bool `cbor:"5,keyasint,omitempty"`
}

// listedServer is a server of an endpoint list.
type listedServer struct {
	Server choice.Server `cbor:"1,keyasint"`
	Addr   string        `cbor:"2,keyasint"`
}

// operatorLists returns the endpoint lists of the clusters of the operator's file.
func (h *hotRestart) operatorLists() map[string][]listedServer {
	lists := map[string][]listedServer{}
	for cluster, core := range h.program.coreByCluster {
		if cluster == platformCluster {
			continue
		}
		for _, entry := range core.Servers() {
			lists[cluster] = append(lists[cluster], listedServer{Server: entry.Server, Addr: entry.Addr})
		}
	}
	return lists
}

// predecessorList returns the endpoint list that the predecessor had of a cluster of the operator's file; empty: none.
func (h *hotRestart) predecessorList(cluster string) (servers []edge.ServerEntry) {
	for _, listed := range h.predecessor.Lists[cluster] {
		servers = append(servers, edge.ServerEntry{Server: listed.Server, Addr: listed.Addr})
	}
	return servers
}

// learnedState returns what this process's balancers have learned.
func (h *hotRestart) learnedState() learnedState {
	state := learnedState{
		Modules: map[string]choice.LearnedState{}, AcceptsSessions: h.program.xmpp != nil,
		AnswersQueries: h.program.platform != nil,
	}
	for cluster, core := range h.program.coreByCluster {
		state.Modules[cluster] = core.LearnedState()
	}
	return state
}

// encodeForGrant encodes this process's learned state for a grant. If it is too large, the function first leaves out
// the sessions, which are sent after the grant in any case, and then what the balancers have learned.
func (h *hotRestart) encodeForGrant() []byte {
	state := h.learnedState()
	state.Lists = h.operatorLists()
	state.Sessions = h.sessions.forGrant()
	encoded := state.encode()
	if len(encoded) > hotrestart.MaxLearnedBytes {
		state.Sessions = nil
		encoded = state.encode()
	}
	if len(encoded) > hotrestart.MaxLearnedBytes {
		state.Modules = nil
		encoded = state.encode()
	}
	return encoded
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
	state, ok := decodeLearnedState(encoded)
	switch {
	case !ok:
	case peer == hotrestart.Parent:
		h.importLearnedState(state)
	default:
		h.sessions.merge(resumable.Successor, state)
	}
}

// importLearnedState applies the predecessor's learned state to this process. Its endpoint lists are used only at the
// start: see predecessorList.
func (h *hotRestart) importLearnedState(state learnedState) {
	for cluster, learned := range state.Modules {
		if core := h.program.coreByCluster[cluster]; core != nil {
			core.ImportLearnedState(learned)
		}
	}
	if state.AnswersQueries && h.coordinator != nil {
		h.coordinator.ParentAnswersQueries()
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
