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
	frontTime   = 450 * time.Millisecond
	moveTime    = 1500 * time.Millisecond // clients are moved over this time, so that they don't come in one wave
	answerTime  = 2600 * time.Millisecond // requests without an answer get one by now
	leaveAdvice = 300 * time.Millisecond
)

// Drain begins the planned stop: clients are told to move, what comes is still answered, and done is called once
// nothing is held, or at the latest by the given time.
func (c *Core) Drain(by time.Time, done func()) {
	now := c.o.Clock.Now()
	end := earlier(now.Add(answerTime), by)
	c.o.Clock.At(earlier(now.Add(frontTime), end), c.moveAll)
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

func (c *Core) moveAll() {
	c.draining = true
	all := c.ordered()
	now := c.o.Clock.Now()
	for i, r := range all {
		if r.open {
			c.o.Clock.At(now.Add(moveTime*time.Duration(i)/time.Duration(len(all))), r.move)
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
		c.o.Clock.At(now.Add(c.o.Leave*time.Duration(i)/time.Duration(len(open))), r.move)
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
