package fakeserver

import (
	"time"

	"spurwinch/internal/plan/fleet"
)

const (
	tick              = 20 * time.Millisecond // between updates of a server
	minReportNoise    = 0.1                   // minimum factor by which noise changes a reported value
	utilizationWeight = 0.085                 // of one tick; the average is as slow as the planner's over its steps
	negligibleLoad    = 1e-9                  // loads up to this are rounding errors
	slowStartSlack    = 4                     // connections of mean load allowed beyond the budget of a slow start
)

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * 1e9) }

// capacityFraction returns the fraction of its full capacity that the server has while it warms up, and 1 afterwards.
func (s *Server) capacityFraction(now time.Time) float64 {
	slowStart := &s.fleet.Description.SlowStart
	age := now.Sub(s.fleet.Start)
	if !s.slowStart || age >= time.Duration(slowStart.WarmUp) {
		return 1
	}
	return slowStart.Fraction + (1-slowStart.Fraction)*age.Seconds()/slowStart.WarmUp.Seconds()
}

// cores returns the capacity in reference cores.
func (s *Server) cores(now time.Time) float64 {
	return float64(len(s.coreFree)) * s.speed * s.capacityFraction(now)
}

// firstFreeCore returns the index of the core that will be free first.
func (s *Server) firstFreeCore() int {
	first := 0
	for core := range s.coreFree {
		if s.coreFree[core].Before(s.coreFree[first]) {
			first = core
		}
	}
	return first
}

// runJob queues work, in core seconds, that arrives at the given time. It returns the time when the work will be done.
// The caller holds the lock.
func (s *Server) runJob(work float64, at time.Time) time.Time {
	core := s.firstFreeCore()
	begin := s.coreFree[core]
	if begin.Before(at) {
		begin = at
	}
	s.coreFree[core] = begin.Add(seconds(work / (s.speed * s.capacityFraction(at))))
	return s.coreFree[core]
}

// answerTime returns when a message that arrives now will be answered, which is after all work queued before it. The
// work of messages is part of the connections' load, so that the message itself adds none. The caller holds the lock.
func (s *Server) answerTime(now time.Time) time.Time {
	s.drawJobs(now)
	begin := s.coreFree[s.firstFreeCore()]
	if begin.Before(now) {
		begin = now
	}
	return begin.Add(seconds(s.fleet.Description.General.MessageWork.Seconds() / (s.speed * s.capacityFraction(now))))
}

// drawJobs queues the connections' work up to now, as jobs that arrive at random times. The caller holds the lock.
func (s *Server) drawJobs(now time.Time) {
	work := s.fleet.Description.General.MessageWork.Seconds()
	for s.load > negligibleLoad {
		next := s.drawnUntil.Add(seconds(s.rng.ExpFloat64() * work / s.load))
		if next.After(now) {
			break // the exponential distribution has no memory, so the next call draws this time again
		}
		s.drawnUntil = next
		s.runJob(work, next)
		s.work += work
	}
	s.drawnUntil = now
}

// advance updates the loads of the connections, the utilization and the load report, and sheds a connection if the
// backlog is too long.
func (s *Server) advance(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return
	}
	s.drawJobs(now)
	for open := range s.connections {
		if !open.nextChange.IsZero() && now.After(open.nextChange) {
			s.changeLoad(open, now)
		}
	}
	s.utilization += (s.work/(s.cores(now)*tick.Seconds()) - s.utilization) * utilizationWeight
	s.work = 0
	description := s.fleet.Description
	if now.After(s.nextReport) {
		s.nextReport = now.Add(time.Duration(description.LoadReports.Interval))
		s.report = s.newReport()
	}
	if shedAfter := time.Duration(s.Kind.ShedAfter); shedAfter > 0 && s.backlog(now) > shedAfter {
		s.shed()
	}
	overloadTime := time.Duration(description.SlowStart.OverloadTime)
	for len(s.newLoads) > 0 && now.Sub(s.newLoads[0].at) > overloadTime {
		s.newLoads = s.newLoads[1:]
	}
}

// backlog returns how long the queued work takes, averaged over the cores.
func (s *Server) backlog(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, free := range s.coreFree {
		sum += max(0, free.Sub(now))
	}
	return sum / time.Duration(len(s.coreFree))
}

// shed resets the connection with the highest load.
func (s *Server) shed() {
	var heaviest *connection
	for open := range s.connections {
		if heaviest == nil || open.load > heaviest.load {
			heaviest = open
		}
	}
	if heaviest != nil {
		s.fleet.updateStats(func(stats *Stats) { stats.Sheds++ })
		s.removeConnection(heaviest)
		reset(heaviest.socket)
	}
}

// changeLoad draws the next load of a connection and when it changes again. The caller holds the lock.
func (s *Server) changeLoad(open *connection, now time.Time) {
	load, lasts := open.process.Next()
	load *= s.fleet.Description.CoreLoad()
	s.load += load - open.load
	open.load = load
	open.nextChange = time.Time{}
	if lasts > 0 {
		open.nextChange = now.Add(lasts)
	}
}

// groupLoad returns the load that a group adds, in reference cores, to each server with a connection of the group.
func (s *Server) groupLoad() float64 {
	return s.fleet.Description.Group.Cost * s.fleet.Description.CoreLoad()
}

// addConnection adds an established connection. The caller holds the lock.
func (s *Server) addConnection(added *connection, now time.Time) {
	s.connections[added] = struct{}{}
	if added.group != 0 && s.fleet.Description.Group.Cost > 0 {
		s.groups[added.group]++
		if s.groups[added.group] == 1 {
			s.load += s.groupLoad()
		}
	}
	s.changeLoad(added, now)
}

// removeConnection removes a connection. If it was already removed, the call has no effect. The caller holds the lock.
func (s *Server) removeConnection(removed *connection) {
	if _, open := s.connections[removed]; !open {
		return
	}
	delete(s.connections, removed)
	s.load -= removed.load
	if removed.group != 0 && s.fleet.Description.Group.Cost > 0 {
		s.groups[removed.group]--
		if s.groups[removed.group] == 0 {
			delete(s.groups, removed.group)
			s.load -= s.groupLoad()
		}
	}
	if len(s.connections) == 0 { // additions and subtractions leave a rounding error
		s.load = 0
	}
}

// overloads records the load of a new connection during slow start. It reports whether the server has taken on too much
// load within OverloadTime and fails. The caller holds the lock.
func (s *Server) overloads(class *fleet.Class, now time.Time) bool {
	if !s.slowStart || s.capacityFraction(now) == 1 {
		return false
	}
	description := s.fleet.Description
	slowStart := &description.SlowStart
	s.newLoads = append(s.newLoads, newLoad{now, class.Load * description.CoreLoad()})
	sum := 0.0
	for _, added := range s.newLoads {
		if now.Sub(added.at) <= time.Duration(slowStart.OverloadTime) {
			sum += added.load
		}
	}
	budget := s.cores(now) / slowStart.WarmUp.Seconds() * slowStart.OverloadTime.Seconds()
	slack := slowStartSlack * description.MeanLoad() * description.CoreLoad()
	if sum <= slowStart.OverloadMultiple*budget+slack {
		return false
	}
	s.fleet.updateStats(func(stats *Stats) { stats.Overloaded++ })
	return true
}
