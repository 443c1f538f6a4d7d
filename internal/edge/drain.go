package edge

import (
	"cmp"
	"slices"
	"time"
)

const (
	// routingDelay is how long new connections still arrive after a graceful shutdown has begun. Until then the core
	// places them as usual, since a client that is migrated or rejected earlier may be routed to this node again.
	routingDelay = 450 * time.Millisecond
	// The platform kills the process no sooner than killDelay plus the longest deadline of a class after the shutdown
	// has begun. A deadline above maxDeadline counts as maxDeadline.
	maxDeadline = 3 * time.Second
	killDelay   = 700 * time.Millisecond
	// killMargin is the time between the end of the last request or connection and the kill.
	killMargin = 500 * time.Millisecond
	// migrationSlack is the time between the migration of the last clients and the end of the drain.
	migrationSlack = killMargin / 5
	// migrationSpread is the time over which migrations are spread, so that the clients don't all reconnect at once.
	migrationSpread = 1500 * time.Millisecond
)

// drainState is the progress of a graceful shutdown.
type drainState struct {
	rejecting bool      // new requests are rejected
	endAt     time.Time // the last request or connection ends by then; zero: there is no shutdown

	// The following fields belong to a hot restart, in which another process already accepts the clients.

	migrateBy time.Time // the connections that can't be transferred are migrated by then; zero: no hot restart
	migrating bool      // MigrateRemaining was called
	migrated  int       // connections migrated so far
}

// RejectsNew reports whether the core rejects new requests. It begins to reject them some time after Drain was called,
// and after DrainToSuccessor only at the end of the shutdown.
func (c *Core) RejectsNew() bool { return c.drain.rejecting }

// Migrated returns the number of connections migrated since DrainToSuccessor was called.
func (c *Core) Migrated() int { return c.drain.migrated }

// drainDuration returns how long a graceful shutdown takes. It uses all the time available: open connections are not
// migrated sooner than necessary, and when nodes are restarted one after another, the previous node is running again
// by then.
func (c *Core) drainDuration() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.options.Settings.Classes {
		if !class.Removed {
			longest = max(longest, class.Deadline)
		}
	}
	return min(longest, maxDeadline) + killDelay - killMargin
}

// Drain begins a graceful shutdown. At first the core places requests as usual; then it migrates open connections one
// by one and rejects new requests. It calls done once no request or connection is left.
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

// DrainToSuccessor is Drain for a hot restart, in which another process already accepts the clients. The core places
// the requests that it has as usual. The caller transfers open connections to the other process if possible, and then
// calls MigrateRemaining. The core calls MigrateRemaining itself if the caller hasn't done so after half of the drain.
func (c *Core) DrainToSuccessor(done func()) {
	duration := c.drainDuration()
	end := c.options.Clock.Now().Add(duration)
	c.drain.migrateBy = end.Add(-migrationSlack)
	c.options.Clock.At(end.Add(-duration/2), c.MigrateRemaining)
	c.endDrainAt(end, done)
}

// MigrateRemaining migrates the open connections one by one, evenly over the remaining time of the drain, since each
// client can reconnect to this node at once. Calls after the first do nothing.
func (c *Core) MigrateRemaining() {
	if !c.drain.migrating {
		c.drain.migrating = true
		c.migrateAll(c.drain.migrateBy)
	}
}

// endDrainAt schedules the end of a drain: the core migrates the remaining connections, rejects the remaining requests
// and then calls done.
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

// migrateAll schedules the migration of the open connections, one by one, from now until the given time.
func (c *Core) migrateAll(end time.Time) {
	open := slices.DeleteFunc(c.requestsByID(), func(r *Request) bool { return !r.open })
	now := c.options.Clock.Now()
	c.migrateOver(open, now, max(0, end.Sub(now)))
}

// migrateOver schedules the migration of connections, one by one, evenly over a period that starts at begin.
func (c *Core) migrateOver(open []*Request, begin time.Time, period time.Duration) {
	for i, r := range open {
		c.options.Clock.At(begin.Add(period*time.Duration(i)/time.Duration(len(open))), r.migrate)
	}
}

// requestsByID returns the requests in the order of their ids, which is independent of their age, server and class.
func (c *Core) requestsByID() []*Request {
	var all []*Request
	for _, r := range c.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
