package node

import (
	"errors"
	"io/fs"
	"syscall"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/hotrestart"
	"spurwinch/internal/platform/discovery"
)

const (
	grantTimeout      = 500 * time.Millisecond // a running process answers within one iteration of its loop
	unlinkedShareTime = 10 * time.Second       // how long another process without a link to this one is assumed to run
)

const (
	unknownVersion = -1 // version of a list from another discovery address, so that the whole list is requested again
	noSocket       = -1 // used in place of the descriptor if there is no datagram socket
)

// hotRestart is this process's state for replacing the node's process without interrupting service. It holds the grant
// from the predecessor, this process's share of the node's descriptors and memory while another process runs, and the
// transfer of connections. Only the loop may use it.
type hotRestart struct {
	program     *Program
	grant       *hotrestart.Grant       // from the running process; nil: there was none
	predecessor learnedState            // from the grant
	coordinator *hotrestart.Coordinator // nil: a successor can't find this process
	listeners   map[string]*loop.Listener

	limits      nodeLimits
	sharedUntil time.Time // until then, a process without a link to this one is assumed to run; zero: none

	shuttingDown    bool
	listenersClosed bool // another process accepts new clients

	received int // connections received from the predecessor
	transfer transfer
	sessions sessionSync
}

// requestGrant requests sockets, the server list and descriptors from the process that already runs, if there is one.
func (h *hotRestart) requestGrant(path string) {
	if path == "" {
		return
	}
	grant, err := hotrestart.RequestGrant(path, time.Now().Add(grantTimeout))
	h.grant = grant
	switch {
	case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
		zap.L().Debug("hot_restart_no_predecessor", zap.Error(err))
	case err != nil:
		zap.L().Warn("hot_restart_grant_failed", zap.String("place", path), zap.Error(err))
	default:
		if len(grant.Learned) > 0 {
			h.predecessor, _ = decodeLearnedState(grant.Learned) // after an error it is empty
		}
		zap.L().Info("hot_restart_grant_received", zap.Int("sockets", len(grant.Sockets)),
			zap.Int("hosts", len(grant.List.Servers)), zap.Int("descriptors", grant.DescriptorQuota))
	}
}

// initialList returns the server list at the start. It is the predecessor's list if there is one, because updates that
// were pushed to the predecessor were meant for the whole node.
func (h *hotRestart) initialList(own *discovery.List, discovery string) *discovery.List {
	if h.grant == nil || len(h.grant.List.Servers) == 0 {
		return own
	}
	list := h.grant.List
	list.Full = true
	if h.grant.Discovery != discovery {
		list.Version = unknownVersion
	}
	return &list
}

// listen opens a client listener, on the predecessor's socket if that was granted, otherwise on a new one.
func (h *hotRestart) listen(addr string, accept func(*loop.Conn) loop.Handler) (*loop.Listener, error) {
	if h.grant != nil {
		if fd, ok := h.grant.Sockets[addr]; ok {
			listener, err := h.program.loop.Adopt(fd, accept)
			if err == nil {
				h.listeners[addr] = listener
			}
			return listener, err
		}
	}
	listener, err := h.program.loop.Listen(addr, accept)
	if err != nil {
		return nil, err
	}
	h.listeners[addr] = listener
	if listener.AddressShared {
		h.sharedUntil = time.Now().Add(unlinkedShareTime)
		zap.L().Warn("listener_shared_without_grant", zap.String("address", addr),
			zap.Duration("shared_for", unlinkedShareTime))
	}
	return listener, nil
}

// startCoordinator makes this process available to a successor. It is called once all parts are set up.
func (h *hotRestart) startCoordinator(path string) {
	h.sessions.init(h)
	h.importLearnedState(h.predecessor) // first, since the coordinator may have received newer state
	parentAnswers := h.predecessor.AnswersQueries
	h.predecessor = learnedState{}
	if path != "" {
		h.coordinator = hotrestart.NewCoordinator(hotrestart.Options{
			Loop:    h.program.loop,
			Path:    path,
			Grant:   h.newGrant,
			Changed: h.onCoordinatorChanged,
			Drained: h.sessions.send,
			IDInUse: h.idInUse,
			TransferHandler: hotrestart.TransferHandler{
				FreeDescriptors: h.freeDescriptors,
				Prepare:         h.prepareBatch,
				Learned:         h.importFrom,
			},
		}, h.grant)
		if parentAnswers {
			h.coordinator.ParentAnswersQueries()
		}
	}
	h.sessions.followLinks()
	if !h.sharedUntil.IsZero() {
		h.program.loop.At(h.sharedUntil, func() {
			h.sharedUntil = time.Time{}
			h.applyQuota()
		})
	}
	h.applyQuota()
}

// newGrant returns the grant for a successor.
func (h *hotRestart) newGrant() hotrestart.Grant {
	grant := hotrestart.Grant{Sockets: map[string]int{}, Datagrams: noSocket}
	if !h.listenersClosed { // otherwise another process already has them
		for addr, listener := range h.listeners {
			grant.Sockets[addr] = listener.FD()
		}
	}
	if platform := h.program.platform; platform != nil {
		var version int64
		grant.Discovery, version = platform.listWatch.Position()
		grant.List = discovery.NewList(version, platform.core.Servers())
		if socket := platform.peers.socket; socket != nil {
			grant.Datagrams = socket.FD()
		}
	}
	grant.Learned = h.encodeForGrant()
	spare := h.spareDescriptors(h.ownQuota())
	grant.DescriptorQuota = spare - spare/grantDivisor
	return grant
}

// shutdown begins the planned shutdown, and reports whether a successor takes over the clients.
func (h *hotRestart) shutdown() (successorReady bool) {
	h.shuttingDown = true
	if h.coordinator != nil {
		_, successorReady = h.coordinator.Successor()
		h.coordinator.Close()
		h.raiseQuotaRepeatedly()
	}
	for _, listener := range h.listeners {
		listener.PreferNewest()
	}
	h.applyQuota()
	return successorReady
}

// onCoordinatorChanged is called when another process has linked to this one, has become ready or has ended.
func (h *hotRestart) onCoordinatorChanged() {
	h.applyQuota()
	h.sessions.followLinks()
	if h.transfer.active {
		h.program.loop.At(h.program.loop.Now(), h.transferAndFinish)
	}
}

// askOtherProcesses asks the other processes whether a request of the platform's front with an id is open there. It
// reports whether there is one to ask.
func (h *hotRestart) askOtherProcesses(id choice.RequestID, done func(inUse bool)) (asked bool) {
	return h.coordinator != nil && h.coordinator.AskID(string(id), done)
}

// idInUse reports whether a request of the platform's front with an id is open in this process. If both processes have
// a new request with one id, that of the process that started first is served.
func (h *hotRestart) idInUse(id string, asker hotrestart.Peer) bool {
	platform := h.program.platform
	return platform != nil && platform.core.HasRequest(choice.RequestID(id), asker == hotrestart.Successor)
}
