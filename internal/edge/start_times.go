package edge

import (
	"time"

	"spurwinch/choice"
)

// startTimeClock computes by the balancer's clock when servers started. The endpoint list gives it in Unix time; this
// process knows Unix time from its own start on, by a wall clock that may have been stepped then. Two things are
// sure: no server starts later than the list names it, and one that is new to a list that was being watched has not
// started long before the list was last received.
type startTimeClock struct {
	offset         time.Duration                     // of the balancer's clock from the list's
	lastReceivedAt time.Duration                     // when this list last came, by the balancer's clock; 0: never
	reported       map[choice.ServerID]time.Duration // starts as the list has them
}

const (
	// listDelay is about how long discovery takes to report a start.
	listDelay = 3 * time.Second
	// clockSkew is how far the clocks of synchronized machines differ.
	clockSkew = 100 * time.Millisecond
	// maxGoneStarts is how many starts of servers that are gone are cached: one that comes back as it was has not
	// started anew.
	maxGoneStarts = 256
)

// observeAll takes in the starts of a list and reports whether the offset was corrected by one of them.
func (s *startTimeClock) observeAll(list []ServerEntry, now time.Duration) (corrected bool) {
	for _, entry := range list {
		if s.observe(entry.Server, now) {
			corrected = true
		}
	}
	return corrected
}

// observe takes in the start of a server that a list names now, and reports whether the offset was corrected.
func (s *startTimeClock) observe(server choice.Server, now time.Duration) (corrected bool) {
	if server.Started <= 0 || s.reported[server.ID] == server.Started {
		return false
	}
	if s.reported == nil {
		s.reported = map[choice.ServerID]time.Duration{}
	}
	s.reported[server.ID] = server.Started
	age := now - s.balancerTime(server.Started)
	if age >= -clockSkew && (s.lastReceivedAt == 0 || age <= now-s.lastReceivedAt+listDelay) {
		return false
	}
	s.offset = now - server.Started // as if it had started now: the youngest that it can be
	return true
}

// balancerTime converts a start as the list has it to the balancer's clock; 0: it started long ago.
func (s *startTimeClock) balancerTime(started time.Duration) time.Duration {
	if started <= 0 {
		return 0
	}
	return max(1, started+s.offset)
}

// listReceived notes that the list was received, and drops the starts of servers that are gone where there are many.
func (s *startTimeClock) listReceived(now time.Duration, servers map[choice.ServerID]*serverState) {
	s.lastReceivedAt = now
	if len(s.reported) <= maxGoneStarts+len(servers) {
		return
	}
	for id := range s.reported {
		if servers[id] == nil {
			delete(s.reported, id)
		}
	}
}

// sourceChanged says that the next list is of another discovery service, whose servers may have started at any time.
func (s *startTimeClock) sourceChanged() { s.lastReceivedAt = 0 }
