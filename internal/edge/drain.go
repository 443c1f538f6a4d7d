package edge

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
)

const (
	// frontTime is how long new connections still come after a planned stop began. Until then they are placed as
	// ever: a client that is moved or refused before that may well be sent here again.
	frontTime = 450 * time.Millisecond
	// The process is killed no sooner than the longest deadline after that, which counts as 3 s at most, and 0.7 s more.
	mostDeadline = 3 * time.Second
	killedAfter  = 700 * time.Millisecond
	killMargin   = 500 * time.Millisecond  // nothing is held this long before
	moveTime     = 1500 * time.Millisecond // clients are moved over this time, so that they don't come in one wave
	leaveAdvice  = 300 * time.Millisecond
)

// drainTime is what a planned stop takes: all that can be had, since an open connection earns where it is, and a node
// that leaves right after another one finds that one back by then.
func (c *Core) drainTime() time.Duration {
	longest := time.Duration(0)
	for _, k := range c.o.Settings.Classes {
		if !k.Removed {
			longest = max(longest, k.Deadline)
		}
	}
	return min(longest, mostDeadline) + killedAfter - killMargin
}

// Drain begins the planned stop: clients are told to move, what comes is still answered, and done is called once
// nothing is held.
func (c *Core) Drain(done func()) {
	now := c.o.Clock.Now()
	end := now.Add(c.drainTime())
	begin := now.Add(max(frontTime, c.drainTime()-moveTime-killMargin/5))
	c.o.Clock.At(earlier(begin, end), func() {
		c.draining = true
		c.moveAll(end.Add(-killMargin / 5))
	})
	c.finish(end, done)
}

// DrainToSuccessor is Drain where another process already takes the clients: what this one has taken is placed as ever. Its
// connections go to the other process where they can; when that is over, MoveRest is called.
func (c *Core) DrainToSuccessor(done func()) {
	end := c.o.Clock.Now().Add(c.drainTime())
	c.leaveBy = end.Add(-killMargin / 5)
	c.o.Clock.At(end.Add(-c.drainTime()/2), c.MigrateRemaining)
	c.finish(end, done)
}

// Migrated counts the connections told to move since HandOver.
func (c *Core) Migrated() int { return c.moved }

// MigrateRemaining has the connections that stand go from now on, evenly over all the time there is, since each client finds its
// node at once.
func (c *Core) MigrateRemaining() {
	if !c.moving {
		c.moving = true
		c.moveAll(c.leaveBy)
	}
}

// finish leaves nothing held at end.
func (c *Core) finish(end time.Time, done func()) {
	c.end = end
	c.o.Clock.At(end, func() {
		c.draining = true
		for _, r := range c.ordered() {
			if r.open {
				r.move()
				continue
			}
			r.refuse(c.leaving())
		}
	})
	c.o.Clock.At(end.Add(time.Millisecond), done)
}

// moveAll has the open connections go one by one until the given time.
func (c *Core) moveAll(end time.Time) {
	all := c.ordered()
	now := c.o.Clock.Now()
	over := max(0, end.Sub(now))
	all = slices.DeleteFunc(all, func(r *Request) bool { return !r.open })
	for i, r := range all {
		c.o.Clock.At(now.Add(over*time.Duration(i)/time.Duration(len(all))), r.move)
	}
}

// callOff ends the attempts at a host that takes nothing new any more of which no byte is out: their connections may come up
// when its grace is over, and they find a better host now.
func (c *Core) callOff(h *host) {
	if h.held == 0 {
		return
	}
	for _, r := range c.ordered() {
		if a := r.attempt; a != nil && a.host == h && !a.begun && !r.open && r.OpenAt == "" {
			a.giveUp(choice.Cancelled)
		}
	}
}

// leave empties a draining host: what is half open goes elsewhere, or gets its answer, before the rule of drains
// would forbid it; open connections are told to move one by one, before the host cuts them off.
func (c *Core) leave(h *host) {
	now := c.o.Clock.Now()
	var open []*Request
	for _, r := range c.ordered() {
		switch {
		case r.attempt == nil || r.attempt.host != h:
		case r.open:
			open = append(open, r)
		default:
			a := r.attempt
			c.o.Clock.At(now.Add(c.o.Settings.Rules.DrainGrace*8/10), func() {
				switch {
				case a.ended || r.open:
				case r.committed:
					r.refuse(c.leaving())
				default:
					a.giveUp(choice.Cancelled)
				}
			})
		}
	}
	for i, r := range open {
		c.o.Clock.At(now.Add(c.o.DrainPeriod*time.Duration(i)/time.Duration(len(open))), r.move)
	}
}

// ordered is the requests in the order of their ids, which says nothing of their age, hosts or classes.
func (c *Core) ordered() []*Request {
	var all []*Request
	for _, r := range c.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
