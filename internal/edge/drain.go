package edge

import (
	"cmp"
	"slices"
	"time"
)

const (
	// routingDelay is how long new connections still come after a planned stop began. Until then they are placed as
	// ever: a client that is migrated or rejected before that may well be sent here again.
	routingDelay = 450 * time.Millisecond
	// The process is killed no sooner than the longest deadline after the stop began, which counts as maxDeadline at
	// most, and killDelay more.
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// killMargin is how long before that nothing is held any more.
	killMargin = 500 * time.Millisecond
	// migrationSlack is how long before the end of the drain the last clients are migrated.
	migrationSlack = killMargin / 5
	// migrationSpread is the time over which clients are migrated, so that they don't come back in one wave.
	migrationSpread = 1500 * time.Millisecond
)

// drainState is how far a planned stop is.
type drainState struct {
	rejecting bool      // new requests are rejected
	stopAt    time.Time // nothing is held from then on; zero: no stop is planned
	// Of a hot restart, where another process already takes the clients:
	migrateBy time.Time // the last connections that could not be transferred are migrated by then; zero: it is none
	migrating bool      // they are being migrated
	migrated  int       // connections that were
}

// Draining reports whether the core rejects new requests.
func (c *Core) Draining() bool { return c.drain.rejecting }

// Migrated counts the connections that were migrated since DrainToSuccessor.
func (c *Core) Migrated() int { return c.drain.migrated }

// drainDuration is what a planned stop takes: all that can be had, since an open connection earns where it is, and a
// node that leaves right after another one finds that one back by then.
func (c *Core) drainDuration() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.options.Settings.Classes {
		if !class.Removed {
			longest = max(longest, class.Deadline)
		}
	}
	return min(longest, maxDeadline) + killDelay - killMargin
}

// Drain begins the planned stop: clients are asked to reconnect elsewhere, what comes is still answered, and done is
// called once nothing is held.
func (c *Core) Drain(done func()) {
	now := c.options.Clock.Now()
	duration := c.drainDuration()
	end := now.Add(duration)
	begin := now.Add(max(routingDelay, duration-migrationSpread-migrationSlack))
	c.options.Clock.At(earlier(begin, end), func() {
		c.drain.rejecting = true
		c.migrateAll(end.Add(-migrationSlack))
	})
	c.stopAt(end, done)
}

// DrainToSuccessor is Drain where another process already takes the clients: what this one has taken is placed as ever.
// Its connections are transferred to the other process where they can; when that is over, MigrateRemaining is called.
func (c *Core) DrainToSuccessor(done func()) {
	duration := c.drainDuration()
	end := c.options.Clock.Now().Add(duration)
	c.drain.migrateBy = end.Add(-migrationSlack)
	c.options.Clock.At(end.Add(-duration/2), c.MigrateRemaining)
	c.stopAt(end, done)
}

// MigrateRemaining has the open connections migrate from now on, evenly over all the time there is, since each client
// finds its node at once.
func (c *Core) MigrateRemaining() {
	if !c.drain.migrating {
		c.drain.migrating = true
		c.migrateAll(c.drain.migrateBy)
	}
}

// stopAt leaves nothing held at the end of a drain.
func (c *Core) stopAt(end time.Time, done func()) {
	c.drain.stopAt = end
	c.options.Clock.At(end, func() {
		c.drain.rejecting = true
		for _, r := range c.requestsByID() {
			if r.open {
				r.migrate()
				continue
			}
			r.rejectNow(c.shuttingDownReply())
		}
	})
	c.options.Clock.At(end.Add(time.Millisecond), done)
}

// migrateAll has the open connections migrate one by one until the given time.
func (c *Core) migrateAll(end time.Time) {
	open := slices.DeleteFunc(c.requestsByID(), func(r *Request) bool { return !r.open })
	now := c.options.Clock.Now()
	c.migrateOver(open, now, max(0, end.Sub(now)))
}

// migrateOver has connections migrate one by one over a period.
func (c *Core) migrateOver(open []*Request, begin time.Time, period time.Duration) {
	for i, r := range open {
		c.options.Clock.At(begin.Add(period*time.Duration(i)/time.Duration(len(open))), r.migrate)
	}
}

// requestsByID is the requests in the order of their ids, which says nothing of their age, servers or classes.
func (c *Core) requestsByID() []*Request {
	var all []*Request
	for _, r := range c.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
