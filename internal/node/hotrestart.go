package node

import (
	"errors"
	"io/fs"
	"syscall"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
	"spurwinch/internal/operations/hotrestart"
	"spurwinch/internal/platform/discovery"
)

const (
	grantTimeout      = 500 * time.Millisecond // a running process answers within a round of its loop
	unlinkedShareTime = 10 * time.Second       // that a process without a link to this one counts as still there
)

const (
	unknownVersion = -1 // of a list that another discovery had: the whole list is requested again
	noSocket       = -1 // in place of the descriptor of a socket for datagrams
)

// hotRestart is this process's part in replacing the node's process while it serves: what it was granted by its
// predecessor, its part of the node's descriptors and memory while there is another process, and the transfer of
// connections. It belongs to the loop.
type hotRestart struct {
	program     *Program
	grant       *hotrestart.Grant       // by the running process; nil: there was none
	coordinator *hotrestart.Coordinator // nil: no successor finds this process
	listeners   map[string]*loop.Listener

	limits      nodeLimits
	sharedUntil time.Time // a process without a link to this one counts as running until then; zero: there is none

	shuttingDown    bool
	listenersClosed bool // new clients go to another process

	received int // connections of the predecessor
	transfer transfer
}

// requestGrant asks a process that runs already for its sockets, list and descriptors, where there is one.
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
		zap.L().Info("hot_restart_grant_received", zap.Int("sockets", len(grant.Sockets)),
			zap.Int("hosts", len(grant.List.Servers)), zap.Int("descriptors", grant.DescriptorQuota))
	}
}

// initialList is the server list to begin with: the predecessor's where there is one, since what was pushed to it was
// pushed to the node.
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

// listen opens a client listener: the predecessor's own socket where it was granted, else a new one.
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
	if listener.ReusePort {
		h.sharedUntil = time.Now().Add(unlinkedShareTime)
		zap.L().Warn("listener_shared_without_grant", zap.String("address", addr),
			zap.Duration("shared_for", unlinkedShareTime))
	}
	return listener, nil
}

// startCoordinator lets a successor find this process, once all is set up.
func (h *hotRestart) startCoordinator(path string) {
	if path != "" {
		h.coordinator = hotrestart.NewCoordinator(hotrestart.Options{
			Loop:    h.program.loop,
			Path:    path,
			Grant:   h.newGrant,
			Changed: h.onCoordinatorChanged,
			TransferHandler: hotrestart.TransferHandler{
				FreeDescriptors: h.freeDescriptors,
				Prepare:         h.prepareBatch,
				Learned:         h.importLearnedState,
			},
		}, h.grant)
	}
	if h.grant != nil && len(h.grant.Learned) > 0 {
		h.importLearnedState(h.grant.Learned)
	}
	if !h.sharedUntil.IsZero() {
		h.program.loop.At(h.sharedUntil, func() {
			h.sharedUntil = time.Time{}
			h.applyQuota()
		})
	}
	h.applyQuota()
}

// newGrant is what a successor is granted.
func (h *hotRestart) newGrant() hotrestart.Grant {
	grant := hotrestart.Grant{Sockets: map[string]int{}, Datagrams: noSocket}
	if !h.listenersClosed { // else another process has them already
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
	grant.Learned = h.encodeLearnedState()
	spare := h.spareDescriptors(h.ownQuota())
	grant.DescriptorQuota = spare - spare/grantDivisor
	return grant
}

// shutdown begins the planned stop, and reports whether a successor takes the clients over.
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

// onCoordinatorChanged is called when another process has linked to this one, is ready or has ended.
func (h *hotRestart) onCoordinatorChanged() {
	h.applyQuota()
	if h.transfer.active {
		h.program.loop.At(h.program.loop.Now(), h.transferAndFinish)
	}
}
