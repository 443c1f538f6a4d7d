package edge

import (
	"time"

	"spurwinch/choice"
)

// startTimeClock converts the start times of servers to the balancer's clock. The endpoint list has start times in Unix
// time. This process read Unix time only once, when it started, and a step of the wall clock may have made that reading
// wrong. startTimeClock therefore corrects the offset between the clocks. It relies on two facts: no server starts
// after the list reports its start, and a server that is new in a watched list did not start long before the list was
// last received.
type startTimeClock struct {
	offset         time.Duration                     // balancer's clock minus the list's clock
	lastReceivedAt time.Duration                     // last receipt of this list, by the balancer's clock; 0: never
	reported       map[choice.ServerID]time.Duration // start times from the list, by its clock
}

const (
	// listDelay is approximately how long service discovery takes to report the start of a server.
	listDelay = 3 * time.Second
	// clockSkew is the maximum difference between the clocks of synchronized machines.
	clockSkew = 100 * time.Millisecond
	// maxGoneStarts is the maximum number of cached start times of servers that are gone. A server that returns with
	// the same start time has not restarted.
	maxGoneStarts = 256
)

// observeAll records the start times of a list and reports whether one of them corrected the offset.
func (s *startTimeClock) observeAll(list []ServerEntry, now time.Duration) (corrected bool) {
	for _, entry := range list {
		if s.observe(entry.Server, now) {
			corrected = true
		}
	}
	return corrected
}

// observe records the start time of a server from a list received now, and reports whether it corrected the offset.
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
	s.offset = now - server.Started // assumes that the server has just started, which is the latest possible start
	return true
}

// balancerTime converts a start time from the list to the balancer's clock; 0: the server started long ago.
func (s *startTimeClock) balancerTime(started time.Duration) time.Duration {
	if started <= 0 {
		return 0
	}
	return max(1, started+s.offset)
}

// listReceived records when the list was received. It drops the start times of servers that are gone if there are more
// than maxGoneStarts.
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

// sourceChanged records that the next list comes from another discovery service, whose servers may have started at any
// time.
func (s *startTimeClock) sourceChanged() { s.lastReceivedAt = 0 }
