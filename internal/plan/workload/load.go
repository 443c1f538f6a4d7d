// Package workload describes what clients want, independent of the fleet that serves it: sessions with their arrival,
// lifetime, class, tenant and group. A load is read from captures or generated from a fleet's description, and can be
// scaled, cut and summed up.
package workload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/internal/plan/fleet"
)

// minLifetime is the shortest session. One that is not longer was never served, and says nothing of what it wanted.
const minLifetime = 100 * time.Millisecond

// Session is one client that wants a connection for a lifetime. It stays one session where it lost its connection in
// between and connected again.
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

// ExpectedLoad returns the session's load in standard connections: the mean of its class where its own is unknown.
func (s *Session) ExpectedLoad(description *fleet.Fleet) float64 {
	if s.Load == 0 {
		return description.Classes[s.Class].Load
	}
	return s.Load
}

// End returns when the session ends, since the beginning of the load.
func (s *Session) End() time.Duration { return s.Arrival + s.Lifetime }

// affinityKey identifies the group, or the client of a session without one.
func (s *Session) affinityKey() uint64 {
	if s.Group != 0 {
		return s.Group
	}
	return s.Client
}

// Load is a list of sessions in the order of their arrival, those that are already open first.
type Load struct {
	Sessions []Session
	Length   time.Duration // of the period that the sessions arrive in
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

// MeanConcurrency returns the mean number of sessions that want a connection over the load's length.
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

// MeanCores returns the mean demand of the sessions over the load's length in reference cores, whether it can be served
// or not. The cost of groups and set-ups is not in it.
func (l *Load) MeanCores(description *fleet.Fleet) float64 {
	if l.Length <= 0 {
		return 0
	}
	sum := 0.0
	for i := range l.Sessions {
		session := &l.Sessions[i]
		present := min(session.Lifetime, l.Length-session.Arrival) // it may outlast the load
		sum += session.ExpectedLoad(description) * description.CoreLoad() * present.Seconds()
	}
	return sum / l.Length.Seconds()
}

// Cut returns the part of a load from one time to another. Sessions that arrived before are already open in it.
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

// busiestSteps is the number of steps that BusiestWindow divides its window into.
const busiestSteps = 8

// BusiestWindow returns the beginning of the window of a length with the most demand, in steps of an eighth of it.
func (l *Load) BusiestWindow(description *fleet.Fleet, length time.Duration) time.Duration {
	step := max(length/busiestSteps, time.Second)
	steps := int(l.Length/step) + 1
	changes := make([]float64, steps+1) // of the demand, at the beginning of each step
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
	most := -1.0
	for first := 0; first+busiestSteps <= steps; first++ {
		sum := 0.0
		for _, demand := range demands[first : first+busiestSteps] {
			sum += demand
		}
		if sum > most {
			busiest = first
			most = sum
		}
	}
	return min(time.Duration(busiest)*step, max(0, l.Length-length))
}

// scaleJitter is how far a copy's arrival is from that of its original at most: without it, copies would come in pairs.
const scaleJitter = 2 * time.Second

// Scale returns the load multiplied by a factor: whole copies of all sessions, and of a fraction of the clients. Groups
// are copied as a whole, so that there are more of them, each as large as before.
func (l *Load) Scale(factor float64, seed uint64) *Load {
	scaled := &Load{Length: l.Length}
	whole := int(factor)
	fraction := factor - math.Floor(factor)
	for number := range whole + 1 {
		for _, session := range l.Sessions {
			if number == whole && unitInterval(Mix(session.affinityKey()^seed)) >= fraction {
				continue
			}
			if number > 0 {
				l.makeCopy(&session, uint64(number), seed)
			}
			scaled.Sessions = append(scaled.Sessions, session)
		}
	}
	scaled.sort()
	return scaled
}

// makeCopy turns a session into the copy of a number: another client of another group, which arrives a little off.
func (l *Load) makeCopy(session *Session, number, seed uint64) {
	offset := number * 0x9e3779b97f4a7c15 // 2^64 over the golden ratio: it spreads consecutive numbers
	session.Client = Mix(session.Client + offset)
	if session.Group != 0 {
		session.Group = Mix(session.Group+offset) | 1
	}
	rng := rand.New(rand.NewPCG(seed, session.Client))
	session.Arrival += time.Duration((2*rng.Float64() - 1) * scaleJitter.Seconds() * float64(time.Second))
	session.Arrival = max(0, min(session.Arrival, l.Length-1))
}
