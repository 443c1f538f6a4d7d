package node

import (
	"fmt"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/hotrestart"
)

// connectionRestorer is a front that can take over transferred connections. PrepareRestore checks a connection and
// returns a function that attaches it to the front.
type connectionRestorer interface {
	PrepareRestore(
		core *edge.Core, open *edge.ConnectionState, read func(into any) error, fds []int,
	) (restore func(), err error)
}

// freeDescriptors returns how many descriptors this process can receive with transferred connections.
func (h *hotRestart) freeDescriptors() int {
	if h.shuttingDown {
		return 0
	}
	return h.ownQuota() - transferReserve - h.program.loop.Open()
}

// prepareBatch checks connections from the predecessor. Commit of the prepared batch restores them in this process.
func (h *hotRestart) prepareBatch(items []hotrestart.TransferItem) (hotrestart.PreparedBatch, error) {
	var restores []func()
	for i, item := range items {
		restore, err := h.prepareRestore(item)
		if err != nil {
			return hotrestart.PreparedBatch{}, fmt.Errorf("connection %d: %w", i, err)
		}
		restores = append(restores, restore)
	}
	return hotrestart.PreparedBatch{
		Commit: func() {
			for _, restore := range restores {
				restore()
			}
			h.received += len(restores)
		},
		Abort: func() {
			for _, item := range items {
				loop.CloseDescriptors(item.FDs)
			}
		},
	}, nil
}

// prepareRestore checks one connection and returns a function that restores it.
func (h *hotRestart) prepareRestore(item hotrestart.TransferItem) (restore func(), err error) {
	var connection connectionState
	if err := hotrestart.Decode(item.Body, &connection); err != nil {
		return nil, err
	}
	front := h.program.frontNamed(connection.Front)
	if front == nil {
		return nil, &unknownTargetError{kind: "front", name: string(connection.Front)}
	}
	core := h.program.coreByCluster[connection.Cluster]
	if connection.Open != nil {
		if err := connection.Open.Check(); err != nil {
			return nil, err
		}
		if core == nil {
			return nil, &unknownTargetError{kind: "cluster", name: connection.Cluster}
		}
	}
	readState := func(into any) error { return hotrestart.Decode(connection.State, into) }
	return front.PrepareRestore(core, connection.Open, readState, item.FDs)
}

// frontNamed returns the front with the given name, or nil if this process has no such front.
func (p *Program) frontNamed(name frontName) connectionRestorer {
	switch {
	case name == frontPlatform && p.platform != nil:
		return p.platform.front
	case name == frontXMPP && p.xmpp != nil:
		return p.xmpp
	}
	return nil
}
