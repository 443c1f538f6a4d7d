package edge

import (
	"time"

	"spurwinch/choice"
)

// drainServerBy is the part of the drain grace, in tenths, after which attempts at a draining server are cancelled.
const drainServerBy = 8

// cancelUnsent cancels the attempts at a draining server of which no byte was sent: their connections might come up
// after its grace, and now the balancer can still place them elsewhere.
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

// drainServer clears a draining server: attempts without an answer are cancelled before its grace ends, when the
// invariant monitor would object to them; open connections are migrated one by one over DrainPeriod, before the server
// closes them.
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

// cancelBeforeGraceEnds ends an attempt that has no answer shortly before its server's grace is over.
func (c *Core) cancelBeforeGraceEnds(a *Attempt, now time.Time) {
	r := a.request
	c.options.Clock.At(now.Add(c.options.Settings.Rules.DrainGrace*drainServerBy/10), func() {
		switch {
		case a.ended || r.open:
		case r.committed:
			r.rejectNow(c.shuttingDownReply())
		default:
			a.giveUp(choice.Cancelled)
		}
	})
}
