// Package workload describes the demand of clients, independent of the fleet that serves it, as sessions with their
// arrival, lifetime, class, tenant and group. It reads a load from captures or generates it from the description of a
// fleet, and scales, cuts and summarizes it.
package workload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/internal/plan/fleet"
)

// minLifetime is the shortest lifetime of a session. A captured session that is not longer was never served, and so
// does not show which lifetime its client wanted.
const minLifetime = 100 * time.Millisecond

// Session is the demand of one client for a connection over a lifetime. A client that loses its connection and
// reconnects in between remains in the same session.
type Session struct {
	Arrival  time.Duration // since the beginning of the load
	Lifetime time.Duration
	Class    int // index in the fleet's classes
	Tenant   int // index in the fleet's tenants; -1: none
	Zone     int // index in the fleet's zones; -1: any
	Client   uint64
	Group    uint64  // 0: none
	Load     float64 // in standard connections; 0: unknown
	// AlreadyOpen marks a session whose connection is open when the load begins.
	AlreadyOpen bool
}

// ExpectedLoad returns the session's load in standard connections, or the mean of its class if the load is unknown.
func (s *Session) ExpectedLoad(description *fleet.Fleet) float64 {
	if s.Load == 0 {
		return description.Classes[s.Class].Load
	}
	return s.Load
}

// End returns the time from the beginning of the load to the end of the session.
func (s *Session) End() time.Duration { return s.Arrival + s.Lifetime }

// affinityKey returns the key of the session's group, or of its client if it has no group.
func (s *Session) affinityKey() uint64 {
	if s.Group != 0 {
		return s.Group
	}
	return s.Client
}

// Load is a list of sessions in order of arrival. Sessions that are already open come first.
type Load struct {
	Sessions []Session
	Length   time.Duration // of the period in which the sessions arrive
}

func (l *Load) sort() {
	slices.SortStableFunc(l.Sessions, func(a, b Session) int {
		if a.AlreadyOpen != b.AlreadyOpen {
			if a.AlreadyOpen {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Arrival, b.Arrival)
	})
}

// MeanConcurrency returns the mean number of concurrent sessions over the load's length.
func (l *Load) MeanConcurrency() float64 {
	if l.Length <= 0 {
		return 0
	}
	sum := 0.0
	for i := range l.Sessions {
		session := &l.Sessions[i]
		sum += min(session.Lifetime, l.Length-session.Arrival).Seconds()
	}
	return sum / l.Length.Seconds()
}

// MeanCores returns the mean demand of the sessions over the load's length in reference cores, whether or not a fleet
// can serve it. It does not include the cost of groups and set-ups.
func (l *Load) MeanCores(description *fleet.Fleet) float64 {
	if l.Length <= 0 {
		return 0
	}
	sum := 0.0
	for i := range l.Sessions {
		session := &l.Sessions[i]
		present := min(session.Lifetime, l.Length-session.Arrival) // a session may outlast the load
		sum += session.ExpectedLoad(description) * description.CoreLoad() * present.Seconds()
	}
	return sum / l.Length.Seconds()
}

// Cut returns the part of a load between two times. Sessions that arrived before its beginning are already open in it.
func (l *Load) Cut(from, to time.Duration) *Load {
	part := &Load{Length: min(to, l.Length) - from}
	for _, session := range l.Sessions {
		if session.Arrival >= to || session.End() <= from {
			continue
		}
		if session.Arrival < from {
			session.Lifetime -= from - session.Arrival
			session.Arrival = from
			session.AlreadyOpen = true
		}
		session.Arrival -= from
		part.Sessions = append(part.Sessions, session)
	}
	part.sort()
	return part
}

// stepsPerWindow is the number of steps into which BusiestWindow divides its window.
const stepsPerWindow = 8

// BusiestWindow returns the beginning of the window of the given length that has the most demand. It moves the window
// in steps of an eighth of the length, but of at least one second.
func (l *Load) BusiestWindow(description *fleet.Fleet, length time.Duration) time.Duration {
	step := max(length/stepsPerWindow, time.Second)
	steps := int(l.Length/step) + 1
	changes := make([]float64, steps+1) // of the demand at the beginning of each step
	for i := range l.Sessions {
		session := &l.Sessions[i]
		load := session.ExpectedLoad(description)
		changes[min(steps, int(session.Arrival/step))] += load
		changes[min(steps, int(session.End()/step))] -= load
	}
	demands := make([]float64, steps)
	demand := 0.0
	for i := range demands {
		demand += changes[i]
		demands[i] = demand
	}
	busiest := 0
	highest := -1.0
	for first := 0; first+stepsPerWindow <= steps; first++ {
		sum := 0.0
		for _, demand := range demands[first : first+stepsPerWindow] {
			sum += demand
		}
		if sum > highest {
			busiest = first
			highest = sum
		}
	}
	return min(time.Duration(busiest)*step, max(0, l.Length-length))
}

// maxArrivalJitter is the maximum difference between the arrivals of a copy and its original. Without this jitter, the
// two would arrive at the same time.
const maxArrivalJitter = 2 * time.Second

// Scale returns the load multiplied by a factor. The integer part of the factor is the number of times that the result
// contains each session. For the fractional part, a random selection of groups, and of clients without a group, is
// included once more. Groups are copied as a whole, so that their number changes and their size stays the same.
func (l *Load) Scale(factor float64, seed uint64) *Load {
	scaled := &Load{Length: l.Length}
	wholeCopies := int(factor)
	fraction := factor - math.Floor(factor)
	for copyNumber := range wholeCopies + 1 {
		for _, session := range l.Sessions {
			if copyNumber == wholeCopies && unitInterval(Mix(session.affinityKey()^seed)) >= fraction {
				continue
			}
			if copyNumber > 0 {
				l.makeCopy(&session, uint64(copyNumber), seed)
			}
			scaled.Sessions = append(scaled.Sessions, session)
		}
	}
	scaled.sort()
	return scaled
}

// makeCopy turns a session into its copy with the given number. The copy has another client and group and arrives at a
// slightly different time.
func (l *Load) makeCopy(session *Session, copyNumber, seed uint64) {
	offset := copyNumber * 0x9e3779b97f4a7c15 // 2^64 over the golden ratio, which spreads consecutive numbers
	session.Client = Mix(session.Client + offset)
	if session.Group != 0 {
		session.Group = Mix(session.Group+offset) | 1
	}
	rng := rand.New(rand.NewPCG(seed, session.Client))
	session.Arrival += time.Duration((2*rng.Float64() - 1) * maxArrivalJitter.Seconds() * float64(time.Second))
	session.Arrival = max(0, min(session.Arrival, l.Length-1))
}
