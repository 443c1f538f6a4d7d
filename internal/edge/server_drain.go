package edge

import (
	"time"

	"spurwinch/choice"
)

// cancelAtGraceTenths is the part of the drain grace, in tenths, after which attempts at a draining server are
// cancelled.
const cancelAtGraceTenths = 8

// cancelUnsent cancels the attempts at a draining server that have sent no byte. Their connections might only be
// established after the server's grace, and the balancer can still place the requests on another server now.
func (c *Core) cancelUnsent(server *serverState) {
	if server.inFlight == 0 {
		return
	}
	for _, r := range c.requestsByID() {
		if a := r.attempt; a != nil && a.server == server && !a.begun && !r.open && r.OpenAt == "" {
			a.giveUp(choice.Cancelled)
		}
	}
}

// drainServer removes requests and connections from a draining server. It cancels unanswered attempts before the
// server's grace ends, since the invariant monitor would report them after that. It migrates open connections one by
// one over DrainPeriod, before the server closes them.
func (c *Core) drainServer(server *serverState) {
	now := c.options.Clock.Now()
	var open []*Request
	for _, r := range c.requestsByID() {
		switch {
		case r.attempt == nil || r.attempt.server != server:
		case r.open:
			open = append(open, r)
		default:
			c.cancelBeforeGraceEnds(r.attempt, now)
		}
	}
	c.migrateOver(open, now, c.options.DrainPeriod)
}

// cancelBeforeGraceEnds schedules the end of an unanswered attempt for shortly before its server's grace is over.
func (c *Core) cancelBeforeGraceEnds(a *Attempt, now time.Time) {
	r := a.request
	c.options.Clock.At(now.Add(c.options.Settings.Rules.DrainGrace*cancelAtGraceTenths/10), func() {
		switch {
		case a.ended || r.open:
		case r.committed:
			r.rejectNow(c.shuttingDownReply())
		default:
			a.giveUp(choice.Cancelled)
		}
	})
}
