package hotrestart

import (
	"os"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

const (
	maxLinks     = 4           // successors that may have a link at the same time
	helloTimeout = time.Second // after it, a link on which no hello was received ends
)

// Coordinator is this process's side of the hot restart protocol: the link to its parent, and the links to its
// successors. All its methods must be called on the event loop.
type Coordinator struct {
	options         Options
	parent          *link   // link to the process that ran when this one started; nil: it has ended, or there was none
	successors      []*link // links to the processes started since, oldest first
	descriptorQuota int     // granted by the parent
	listener        *loop.Listener
	socketFile      os.FileInfo // the socket file at the path, if this process created it
	closed          bool
	lastLinkNumber  int
	lastQuery       uint64 // number of the last query
}

// Options are the dependencies of a Coordinator.
type Options struct {
	Loop *loop.Loop
	Path string // path of the Unix socket, see the function Path
	// Grant returns the grant for a successor. From then on the successor may use the DescriptorQuota of the grant.
	Grant func() Grant
	// Changed is called when a successor was sent its grant, is ready, has sent its number of free descriptors or has
	// answered a batch. It is also called when the process at the other end of a link has ended, and when the parent
	// has raised the quota.
	Changed func()
	// IDInUse reports whether a request with an id is open in this process, for another process that has a new request
	// with the same id. If both processes ask each other at the same time, the parent's request counts as open and the
	// successor's doesn't. nil: this process has no requests whose clients choose the id.
	IDInUse func(id string, asker Peer) bool
	// Drained is called when a link has written its pending data, so that it takes learned state again. It may be nil.
	Drained func()
	TransferHandler
}

// NewCoordinator listens for successors at the path, and keeps the link to the parent that sent the grant, if any. If
// the socket cannot be created at the path, NewCoordinator logs a warning and the node runs without hot restarts.
func NewCoordinator(options Options, grant *Grant) *Coordinator {
	c := &Coordinator{options: options}
	if grant != nil {
		c.linkParent(grant)
	}
	c.listen()
	return c
}

// linkParent continues the link on which RequestGrant received the grant.
func (c *Coordinator) linkParent(grant *Grant) {
	c.descriptorQuota = grant.DescriptorQuota
	c.parent = c.newLink()
	c.parent.compatible = grant.transferVersion == transferVersion && c.options.Prepare != nil
	c.parent.canTransfer = c.parent.compatible
	c.parent.conn = c.options.Loop.Attach(grant.fd, c.parent)
	c.parent.conn.OnDescriptors(c.parent.receiveDescriptors)
	if len(grant.unread) > 0 {
		c.parent.OnData(grant.unread)
	}
}

// listen creates the socket at the path, unless the socket there is already the one of this process.
func (c *Coordinator) listen() {
	if c.closed {
		return
	}
	file, err := os.Stat(c.options.Path)
	if err == nil && c.socketFile != nil && os.SameFile(file, c.socketFile) {
		return // no successor has replaced the socket
	}
	listener, err := c.options.Loop.ListenUnix(c.options.Path, c.accept)
	if err != nil {
		zap.L().Warn("hot_restart_listen_failed", zap.Error(err))
		return
	}
	if c.listener != nil {
		c.listener.Close()
	}
	c.listener = listener
	c.socketFile, _ = os.Stat(c.options.Path) // on an error it is nil, and the next call creates the socket again
}

// accept returns the handler of a new successor's link. It rejects the connection if there are maxLinks successors, or
// if the other process belongs to another user.
func (c *Coordinator) accept(conn *loop.Conn) loop.Handler {
	if len(c.successors) >= maxLinks || !conn.SameUser() {
		return nil
	}
	successor := c.newLink()
	successor.conn = conn
	successor.toSuccessor = true
	c.successors = append(c.successors, successor)
	c.options.Loop.At(c.options.Loop.Now().Add(helloTimeout), func() {
		if successor.grantedQuota == 0 && !successor.closed {
			successor.drop(errHelloTimeout)
		}
	})
	return successor
}

// newLink returns a link without its connection.
func (c *Coordinator) newLink() *link {
	c.lastLinkNumber++
	return &link{coordinator: c, number: c.lastLinkNumber, queries: map[uint64]*idQuery{}}
}

// HasPredecessor reports whether the parent, which sent the grant, still runs.
func (c *Coordinator) HasPredecessor() bool { return c.parent != nil }

// DescriptorQuota returns the number of descriptors that the parent allows this process to have open.
func (c *Coordinator) DescriptorQuota() int { return c.descriptorQuota }

// Successor reports whether a successor with a grant runs, and whether a successor is ready to accept clients.
func (c *Coordinator) Successor() (linked, ready bool) {
	for _, successor := range c.successors {
		linked = linked || successor.grantedQuota > 0
		ready = ready || successor.ready
	}
	return linked, ready
}

// GrantedQuota returns the number of descriptors that all successors together may have open.
func (c *Coordinator) GrantedQuota() int {
	quota := 0
	for _, successor := range c.successors {
		quota += successor.grantedQuota
	}
	return quota
}

// Ready notifies the parent that this process accepts clients.
func (c *Coordinator) Ready() {
	if c.parent != nil {
		c.parent.send(message{Kind: kindReady})
		c.parent.sendFreeDescriptors(kindFreeDescriptors)
	}
}

// RaiseQuota raises the quota of the newest successor to the descriptors of the node (total) minus those of this
// process (own) and the quotas of the other successors. It never lowers a quota.
func (c *Coordinator) RaiseQuota(total, own int) {
	if len(c.successors) == 0 {
		return
	}
	newest := c.successors[len(c.successors)-1]
	others := c.GrantedQuota() - newest.grantedQuota
	quota := total - own - others
	if newest.grantedQuota > 0 && quota > newest.grantedQuota {
		newest.grantedQuota = quota
		newest.send(message{Kind: kindQuotaRaised, Descriptors: quota})
	}
}

// Close stops listening, so that no further successor can connect. The links stay open.
func (c *Coordinator) Close() {
	c.closed = true
	if c.listener != nil {
		c.listener.Close()
	}
}

// remove removes a link that has ended. If that was the last link to a successor with a grant, this process listens at
// the path again.
func (c *Coordinator) remove(ended *link) {
	if c.parent == ended {
		c.parent = nil
	}
	for i, successor := range c.successors {
		if successor != ended {
			continue
		}
		c.successors = append(c.successors[:i:i], c.successors[i+1:]...)
		linked, _ := c.Successor()
		if ended.grantedQuota > 0 && !linked {
			c.listen() // the successor had replaced the socket; without a new one the next process finds no parent
		}
		return
	}
}
