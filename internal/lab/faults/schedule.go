package faults

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	planPollInterval = 50 * time.Millisecond
	tickInterval     = 50 * time.Millisecond
	ticksPerSample   = 10 // ticks between two records of the servers' connections
)

// play plays the scenario on the running fleet.
func (h *harness) play(ctx context.Context) error {
	h.background.Go(h.watchClock)
	if err := h.awaitPlans(ctx); err != nil {
		return err
	}
	h.running.Store(true)
	length := time.Duration(h.scenario.Run.Length)
	h.record(Event{Kind: KindBegin, Detail: h.scenario.Name, Value: length.Seconds()})
	runSchedule := &schedule{start: time.Now(), length: length}
	h.startClients()
	h.addSteps(runSchedule)
	if err := runSchedule.run(ctx); err != nil {
		return err
	}
	h.recordCounts()
	return nil
}

// awaitPlans waits, for firstPlanTimeout at most, until all nodes have a plan. The clients start afterwards even if
// some nodes have none.
func (h *harness) awaitPlans(ctx context.Context) error {
	if h.options.Standalone {
		return nil
	}
	for end := time.Now().Add(firstPlanTimeout); time.Now().Before(end) && !h.allHavePlans(); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(planPollInterval):
		}
	}
	return nil
}

// allHavePlans reports whether all nodes have adopted a plan.
func (h *harness) allHavePlans() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, event := range h.events {
		if event.Kind == KindPlan {
			seen[event.Node] = true
		}
	}
	return len(seen) == len(h.nodes)
}

// startClients starts the arrivals of clients in each zone.
func (h *harness) startClients() {
	for i, zone := range h.zones {
		rng := rand.New(rand.NewPCG(h.options.Seed, uint64(firstArrivals+i)))
		h.background.Go(func() { h.runArrivals(zone, rng) })
	}
}

// addSteps schedules the scenario's steps. It replaces each random step by steps that it draws.
func (h *harness) addSteps(runSchedule *schedule) {
	for _, step := range h.scenario.Steps {
		if step.Action != ActionRandom {
			h.addStep(runSchedule, step)
			continue
		}
		for range max(1, step.Times) {
			h.addStep(runSchedule, h.drawStep(time.Duration(step.At), runSchedule.length))
		}
	}
}

func (h *harness) addStep(runSchedule *schedule, step Step) {
	runSchedule.add(time.Duration(step.At), func() error { return h.inject(step, runSchedule) })
}

// schedule is a list of functions with the times at which they are called. Only the goroutine that runs it may use it.
type schedule struct {
	start   time.Time
	length  time.Duration
	entries []scheduleEntry
}

// scheduleEntry is a function to call at a time after the schedule's start.
type scheduleEntry struct {
	at time.Duration
	do func() error // nil after it was called
}

// add schedules a function to be called at a time after the start.
func (s *schedule) add(at time.Duration, do func() error) {
	s.entries = append(s.entries, scheduleEntry{at, do})
}

// next returns the index of the earliest entry that is still to be called. ok is false if there is none.
func (s *schedule) next() (index int, ok bool) {
	for i, entry := range s.entries {
		if entry.do != nil && (!ok || entry.at < s.entries[index].at) {
			index = i
			ok = true
		}
	}
	return index, ok
}

// run calls all entries at their times until the schedule's length has passed, an entry fails or the context ends.
func (s *schedule) run(ctx context.Context) error {
	end := time.NewTimer(s.length)
	defer end.Stop()
	for {
		next, pending := s.next()
		wake := s.length
		if pending {
			wake = min(wake, s.entries[next].at)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end.C:
			return nil
		case <-time.After(max(0, time.Until(s.start.Add(wake)))):
		}
		if !pending || time.Since(s.start) < s.entries[next].at {
			continue
		}
		do := s.entries[next].do
		s.entries[next].do = nil
		if err := do(); err != nil {
			return err
		}
	}
}

// recordCounts records the counts of the relay and the endpoint list, and the number of lost events.
func (h *harness) recordCounts() {
	h.mu.Lock()
	lost := h.lostEvents
	h.mu.Unlock()
	counts := &h.relay.Counts
	h.recordCount("datagrams", counts.Datagrams.Load())
	h.recordCount("datagrams dropped", counts.Dropped.Load())
	h.recordCount("datagrams repeated", counts.Repeated.Load())
	h.recordCount("streams", counts.Streams.Load())
	h.recordCount("list calls", h.endpoints.calls.Load())
	h.recordCount(countEventsLost, int64(lost))
	h.recordCount(countNoDescriptors, counts.DescriptorLack.Load())
}

// watchClock records each delay of the harness itself, and the servers' connections at regular intervals.
func (h *harness) watchClock() {
	last := time.Now()
	for tick := 1; h.pause(tickInterval); tick++ {
		now := time.Now()
		if late := now.Sub(last) - tickInterval; late > tickInterval {
			h.record(Event{Kind: KindHarnessDelay, Value: late.Seconds()})
		}
		last = now
		if tick%ticksPerSample == 0 {
			h.recordConnections()
		}
	}
}

// recordConnections records the number of connections of the servers of each zone.
func (h *harness) recordConnections() {
	byZone := map[string]int{}
	for _, s := range h.servers {
		byZone[s.zone] += s.connections()
	}
	for _, zone := range h.zones {
		h.record(Event{Kind: KindConnections, Zone: zone, Value: float64(byZone[zone])})
	}
}
