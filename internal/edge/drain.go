package edge

import (
	"cmp"
	"slices"
	"time"
)

const (
	// routingDelay is how long new connections still arrive after a graceful shutdown began. Until then they are placed
	// as usual: a client that is migrated or rejected earlier may be routed here again.
	routingDelay = 450 * time.Millisecond
	// The process is killed no sooner than after the longest deadline of a class, which counts as maxDeadline at most,
	// and killDelay.
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// killMargin is how long before that no request or connection is left.
	killMargin = 500 * time.Millisecond
	// migrationSlack is how long before the end of the drain the last clients are migrated.
	migrationSlack = killMargin / 5
	// migrationSpread is the time over which clients are migrated, so that they don't come back in one wave.
	migrationSpread = 1500 * time.Millisecond
)

// drainState is the progress of a graceful shutdown.
type drainState struct {
	rejecting bool      // new requests are rejected
	endAt     time.Time // no request or connection is left from then on; zero: there is no shutdown
	// Of a hot restart, where another process already accepts the clients:
	migrateBy time.Time // the last connections that could not be transferred are migrated by then; zero: no hot restart
	migrating bool      // they are being migrated
	migrated  int       // connections that were
}

// RejectsNew reports whether the core rejects new requests. That begins some time after Drain was called, and after
// DrainToSuccessor only at the end of the shutdown.
func (c *Core) RejectsNew() bool { return c.drain.rejecting }

// Migrated counts the connections that were migrated since DrainToSuccessor.
func (c *Core) Migrated() int { return c.drain.migrated }

// drainDuration is how long a graceful shutdown takes: all the time there is, since an open connection is better not
// migrated, and a node that is restarted right after another one finds that one running again by then.
func (c *Core) drainDuration() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.options.Settings.Classes {
		if !class.Removed {
			longest = max(longest, class.Deadline)
		}
	}
	return min(longest, maxDeadline) + killDelay - killMargin
}

// Drain begins a graceful shutdown. Requests are placed as usual at first; then open connections are migrated one by
// one and new requests rejected. done is called once no request or connection is left.
func (c *Core) Drain(done func()) {
	now := c.options.Clock.Now()
	duration := c.drainDuration()
	end := now.Add(duration)
	begin := now.Add(max(routingDelay, duration-migrationSpread-migrationSlack))
	c.options.Clock.At(earlier(begin, end), func() {
		c.drain.rejecting = true
		c.migrateAll(end.Add(-migrationSlack))
	})
	c.endDrainAt(end, done)
}

// DrainToSuccessor is Drain where another process already accepts the clients: requests that this one has are placed as
// usual. The caller transfers open connections to the other process where it can, and then calls MigrateRemaining,
// which is called here after half of the time at the latest.
func (c *Core) DrainToSuccessor(done func()) {
	duration := c.drainDuration()
	end := c.options.Clock.Now().Add(duration)
	c.drain.migrateBy = end.Add(-migrationSlack)
	c.options.Clock.At(end.Add(-duration/2), c.MigrateRemaining)
	c.endDrainAt(end, done)
}

// MigrateRemaining migrates the open connections from now on, evenly over all the time there is, since each client can
// reconnect to the node at once. Calls after the first do nothing.
func (c *Core) MigrateRemaining() {
	if !c.drain.migrating {
		c.drain.migrating = true
		c.migrateAll(c.drain.migrateBy)
	}
}

// endDrainAt migrates and rejects what is left at the end of a drain, and then calls done.
func (c *Core) endDrainAt(end time.Time, done func()) {
	c.drain.endAt = end
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

// migrateAll migrates the open connections one by one until the given time.
func (c *Core) migrateAll(end time.Time) {
	open := slices.DeleteFunc(c.requestsByID(), func(r *Request) bool { return !r.open })
	now := c.options.Clock.Now()
	c.migrateOver(open, now, max(0, end.Sub(now)))
}

// migrateOver migrates connections one by one over a period.
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
