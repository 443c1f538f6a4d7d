package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// play runs the timetable.
func (lab *Lab) play(ctx context.Context) error {
	lab.wait.Add(1)
	go lab.pulse()
	if err := lab.awaitPlan(ctx); err != nil {
		return err
	}
	lab.running.Store(true)
	length := time.Duration(lab.s.Length.Length)
	lab.note(Event{Kind: KindBegin, Detail: lab.s.Name, Value: length.Seconds()})
	t := &timetable{start: time.Now(), length: length}
	lab.startClients()
	lab.schedule(t)
	if err := t.run(ctx); err != nil {
		return err
	}
	lab.counts()
	return nil
}

// awaitPlan waits until all nodes have a plan, or none comes in time: clients come then.
func (lab *Lab) awaitPlan(ctx context.Context) error {
	for wait := time.Now().Add(readyWait); !lab.o.Alone && time.Now().Before(wait) && !lab.planned(); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// startClients has clients come to each zone.
func (lab *Lab) startClients() {
	for i, zone := range lab.zones {
		rng := rand.New(rand.NewPCG(lab.o.Seed, uint64(100+i)))
		lab.wait.Add(1)
		go func() {
			defer lab.wait.Done()
			lab.arrivals(zone, rng)
		}()
	}
}

// schedule puts the scenario's faults into the timetable, those that are drawn as well.
func (lab *Lab) schedule(t *timetable) {
	for _, step := range lab.s.Steps {
		if step.Do != "draw" {
			lab.scheduleStep(t, step)
			continue
		}
		for range max(1, step.Times) {
			lab.scheduleStep(t, lab.drawn(time.Duration(step.At), t.length))
		}
	}
}

func (lab *Lab) scheduleStep(t *timetable, step Step) {
	t.add(time.Duration(step.At), func() error { return lab.do(step, t.add, time.Since(t.start)) })
}

// timetable is what is done when, from the start of a run.
type timetable struct {
	start   time.Time
	length  time.Duration
	entries []timetableEntry
}

type timetableEntry struct {
	at time.Duration
	do func() error // nil: it was done
}

// add has something done at a time.
func (t *timetable) add(at time.Duration, do func() error) {
	t.entries = append(t.entries, timetableEntry{at, do})
}

// next is the place of the first entry that is not done yet; -1: there is none.
func (t *timetable) next() int {
	next := -1
	for i, e := range t.entries {
		if e.do != nil && (next < 0 || e.at < t.entries[next].at) {
			next = i
		}
	}
	return next
}

// run does all entries at their times until the run's length is over.
func (t *timetable) run(ctx context.Context) error {
	end := time.NewTimer(t.length)
	defer end.Stop()
	for {
		next, wake := t.next(), t.length
		if next >= 0 {
			wake = min(wake, t.entries[next].at)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end.C:
			return nil
		case <-time.After(max(0, time.Until(t.start.Add(wake)))):
		}
		if next < 0 || time.Since(t.start) < t.entries[next].at {
			continue
		}
		do := t.entries[next].do
		t.entries[next].do = nil
		if err := do(); err != nil {
			return err
		}
	}
}

func (lab *Lab) planned() bool {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range lab.events {
		if e.Kind == KindPlan {
			seen[e.Node] = true
		}
	}
	return len(seen) == len(lab.nodes)
}

// counts notes what the relay did.
func (lab *Lab) counts() {
	c := &lab.relay.Counts
	lab.mu.Lock()
	overflow := lab.overflow
	lab.mu.Unlock()
	for what, v := range map[string]int64{"datagrams": c.Datagrams.Load(), "datagrams dropped": c.Dropped.Load(), "datagrams repeated": c.Repeated.Load(),
		"streams": c.Streams.Load(), "list calls": lab.list.calls.Load(), "events lost": int64(overflow), "out of descriptors": c.Short.Load()} {
		lab.note(Event{Kind: KindCount, Detail: what, Value: float64(v)})
	}
}

// pulse samples what hosts hold, and notices when the laboratory itself is late.
func (lab *Lab) pulse() {
	defer lab.wait.Done()
	last, n := time.Now(), 0
	for {
		select {
		case <-lab.done:
			return
		case <-time.After(labTick):
		}
		now := time.Now()
		if missed := now.Sub(last) - labTick; missed > labTick {
			lab.note(Event{Kind: KindHarnessDelay, Value: missed.Seconds()})
		}
		last = now
		if n++; n%10 == 0 {
			held := map[string]int{}
			for _, h := range lab.hosts {
				held[h.zone] += h.count()
			}
			for _, z := range lab.zones {
				lab.note(Event{Kind: KindConnections, Zone: z, Value: float64(held[z])})
			}
		}
	}
}

// drawn draws a fault by the seed. What was drawn is an event, and can be written into a timetable.
func (lab *Lab) drawn(from, length time.Duration) Step {
	r := lab.rng
	x := Step{At: Duration(from + time.Duration(r.Float64()*float64(max(time.Second, length-from-10*time.Second)))), For: Duration(time.Second + time.Duration(r.ExpFloat64()*4e9))}
	z := lab.zones[r.IntN(len(lab.zones))]
	y := lab.zones[r.IntN(len(lab.zones))]
	node := fmt.Sprintf("node:%d", r.IntN(len(lab.nodes)))
	switch r.IntN(8) {
	case 0:
		x.Do, x.Zone, x.How = "lose", z, "refuses"
	case 1:
		x.Do, x.Zone, x.How = "lose", z, "silent"
	case 2:
		x.Do, x.Zone, x.How = "lose", z, "slow"
	case 3:
		x.Do, x.Node, x.Files = "kill", node, "kept"
	case 4:
		x.Do, x.Node = "stall", node
	case 5:
		x.Do, x.Node = "stall", "leader"
	case 6:
		x.Do, x.From, x.To, x.Both = "cut", "zone:"+z, "zone:"+y, r.IntN(2) == 0
	case 7:
		x.Do, x.From, x.To, x.Drop, x.Spread, x.Repeat = "links", "*", "*", 0.3, Duration(300*time.Millisecond), 0.3
	}
	return x
}
