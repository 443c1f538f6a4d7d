package node

import (
	"fmt"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/hotrestart"
)

// connectionRestorer is a front's part in taking connections over: it checks one, and the function that it returns has
// it go on.
type connectionRestorer interface {
	Hold(core *edge.Core, open *edge.ConnectionState, read func(into any) error, fds []int) (restore func(), err error)
}

// freeDescriptors is the number of descriptors of connections that this process has room for.
func (h *hotRestart) freeDescriptors() int {
	if h.shuttingDown {
		return 0
	}
	return h.ownQuota() - transferReserve - h.program.loop.Open()
}

// prepareBatch checks connections of the predecessor, and takes them once they are this process's.
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
				loop.CloseAll(item.FDs)
			}
		},
	}, nil
}

// prepareRestore checks one connection; the function that it returns has it go on here.
func (h *hotRestart) prepareRestore(item hotrestart.TransferItem) (restore func(), err error) {
	var connection connectionState
	if err := hotrestart.Decode(item.Body, &connection); err != nil {
		return nil, err
	}
	front := h.program.frontNamed(connection.Front)
	if front == nil {
		return nil, fmt.Errorf("no front %q here", connection.Front)
	}
	core := h.program.coreByCluster[connection.Cluster]
	if connection.Open != nil {
		if err := connection.Open.Check(); err != nil {
			return nil, err
		}
		if core == nil {
			return nil, fmt.Errorf("no cluster %q here", connection.Cluster)
		}
	}
	readState := func(into any) error { return hotrestart.Decode(connection.State, into) }
	return front.Hold(core, connection.Open, readState, item.FDs)
}

// frontNamed is the front that a connection names; nil: there is none here.
func (p *Program) frontNamed(name string) connectionRestorer {
	switch {
	case name == platformFront && p.platform != nil:
		return p.platform.front
	case name == xmppFront && p.xmpp != nil:
		return p.xmpp
	}
	return nil
}
