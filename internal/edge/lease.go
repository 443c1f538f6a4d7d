package edge

import (
	"time"

	"spurwinch/choice"
)

// Lease is under which policy a core takes requests, and for how long without further word.
type Lease struct {
	Number  uint64
	Known   bool      // else nothing is taken but by the ground policy
	Expires time.Time // a request that comes later is not taken under Number
	// OnExpiry has the settings be those of the ground policy. It is called once, before the first request that comes after Until.
	OnExpiry   func()
	BasePolicy func(class int) bool // it is served by the ground policy meanwhile; nil: none is
	// RetryAfter is advice for what is not taken, 0: none. It is spread by half.
	RetryAfter time.Duration
	// OnDecision hears of each request that is asked for: how is "lease", "ground", or "none" where it is not taken. nil: nobody hears.
	OnDecision func(id choice.RequestID, number uint64, how string)

	lapsed bool
}

// UseLease has the core take requests by a lease. What was taken before goes on as it came.
func (c *Core) UseLease(s Lease) {
	if c.lease != nil && c.lease.lapsed && !c.o.Clock.Now().Before(s.Expires) {
		s.lapsed = true // it lapsed before, and is so still
	}
	c.lease = &s
}

// takes decides by the clock as it is now: a process that was stopped finds its clients' lines before it hears of anything else.
func (c *Core) takes(r *Request) (after time.Duration, ok bool) {
	s := c.lease
	if s == nil || r.OpenAt != "" {
		return 0, true
	}
	now := c.o.Clock.Now()
	how := "lease"
	if !s.Known || !now.Before(s.Expires) {
		if how = "none"; !s.lapsed {
			s.lapsed = true
			if s.OnExpiry != nil {
				s.OnExpiry()
			}
		}
		if s.BasePolicy != nil && s.BasePolicy(r.Class) {
			how = "ground"
		}
	}
	if s.OnDecision != nil {
		s.OnDecision(r.ID, s.Number, how)
	}
	if how == "none" {
		if s.RetryAfter > 0 { // spread by the request, so that those who come at once don't come back at once
			after = s.RetryAfter/2 + time.Duration(c.seq*2654435761%1000)*s.RetryAfter/1000
		}
		return after, false
	}
	r.class = c.o.Settings.Classes[r.Class]
	if by := now.Add(r.class.Deadline); r.Deadline.After(by) { // patience is the policy's too
		r.Deadline = by
	}
	return 0, true
}

// AnswerCounts counts the requests that were answered, and those of them that were refused or failed.
func (c *Core) AnswerCounts() (arrived, away float64) {
	for _, k := range c.counts {
		away += float64(k.Rejected + k.Failed)
		arrived += float64(k.Served + k.Rejected + k.Failed)
	}
	return arrived, away
}
