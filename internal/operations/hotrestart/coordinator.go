package hotrestart

import (
	"os"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

const (
	maxLinks     = 4 // processes started after this one that may be linked at a time
	helloTimeout = time.Second
)

// Coordinator is this process's side of the hot restart protocol: the link to its parent, and the links to its
// successors. All its methods must be called on the event loop.
type Coordinator struct {
	options         Options
	parent          *link   // to the process that ran when this one started; nil: it is gone, or there was none
	successors      []*link // to those started since, oldest first
	descriptorQuota int     // granted by the parent
	listener        *loop.Listener
	socketFile      os.FileInfo // at the path, when this process made it
	closed          bool
}

// Options are a Coordinator's surroundings.
type Options struct {
	Loop *loop.Loop
	Path string // of the Unix socket: see Path
	// Grant returns the grant for a successor. Its DescriptorQuota is the successor's from then on.
	Grant func() Grant
	// Changed is called when a successor has its grant, is ready or has sent its free descriptors, when another process
	// has ended, or when the parent has raised the quota.
	Changed func()
	TransferHandler
}

// NewCoordinator has successors find this process at the path, and keeps the link to the parent that sent the grant, if
// any. A path where the socket cannot be made is one line in the log: the node runs without hot restarts.
func NewCoordinator(options Options, grant *Grant) *Coordinator {
	c := &Coordinator{options: options}
	if grant != nil {
		c.linkParent(grant)
	}
	c.listen()
	return c
}

func (c *Coordinator) linkParent(grant *Grant) {
	c.descriptorQuota = grant.DescriptorQuota
	c.parent = &link{coordinator: c}
	c.parent.transfers = grant.transferForm == transferForm && c.options.Prepare != nil
	c.parent.conn = c.options.Loop.Attach(grant.fd, c.parent)
	c.parent.conn.OnDescriptors(c.parent.receiveDescriptors)
	if len(grant.unread) > 0 {
		c.parent.OnData(grant.unread)
	}
}

// listen makes the socket at the path, unless it is this process's already.
func (c *Coordinator) listen() {
	if c.closed {
		return
	}
	file, err := os.Stat(c.options.Path)
	if err == nil && c.socketFile != nil && os.SameFile(file, c.socketFile) {
		return // no successor had replaced it
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
	c.socketFile, _ = os.Stat(c.options.Path) // nil makes the socket anew next time
}

func (c *Coordinator) accept(conn *loop.Conn) loop.Handler {
	if len(c.successors) >= maxLinks || !conn.SameUser() {
		return nil
	}
	successor := &link{coordinator: c, conn: conn, toSuccessor: true}
	c.successors = append(c.successors, successor)
	c.options.Loop.At(c.options.Loop.Now().Add(helloTimeout), func() {
		if successor.grantedQuota == 0 && !successor.closed {
			successor.drop(errHelloTimeout)
		}
	})
	return successor
}

// HasPredecessor reports whether the process that sent the grant still runs.
func (c *Coordinator) HasPredecessor() bool { return c.parent != nil }

// DescriptorQuota is the number of descriptors that this process may hold by its grant.
func (c *Coordinator) DescriptorQuota() int { return c.descriptorQuota }

// Successor reports whether a process started later runs beside this one, and whether one is ready to take clients.
func (c *Coordinator) Successor() (linked, ready bool) {
	for _, successor := range c.successors {
		linked = linked || successor.grantedQuota > 0
		ready = ready || successor.ready
	}
	return linked, ready
}

// GrantedQuota is the number of descriptors that all successors together may hold.
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

// RaiseQuota raises the newest successor's quota to all that is left of total beside own and the other successors'.
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

// Close ends listening: no further process finds this one. The links stay.
func (c *Coordinator) Close() {
	c.closed = true
	if c.listener != nil {
		c.listener.Close()
	}
}

// remove forgets a link that has ended.
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
			c.listen() // the successor had made the path its own: without this nobody would find a process there
		}
		return
	}
}
