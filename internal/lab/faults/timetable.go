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
	// Clients come once there is a plan, or when none comes in time.
	for wait := time.Now().Add(readyWait); !lab.o.Alone && time.Now().Before(wait) && !lab.planned(); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	lab.running.Store(true)
	length := time.Duration(lab.s.Length.Length)
	lab.note(Event{Kind: KindBegin, Detail: lab.s.Name, Value: length.Seconds()})
	start := time.Now()
	for i, z := range lab.zones {
		rng := rand.New(rand.NewPCG(lab.o.Seed, uint64(100+i)))
		lab.wait.Add(1)
		go func() {
			defer lab.wait.Done()
			lab.arrivals(z, rng)
		}()
	}
	type due struct {
		at time.Duration
		fn func() error
	}
	var steps []due
	add := func(at time.Duration, fn func() error) { steps = append(steps, due{at, fn}) }
	for _, st := range lab.s.Steps {
		if st.Do == "draw" {
			for range max(1, st.Times) {
				x := lab.drawn(time.Duration(st.At), length)
				add(time.Duration(x.At), func() error { return lab.do(x, add, time.Since(start)) })
			}
			continue
		}
		add(time.Duration(st.At), func() error { return lab.do(st, add, time.Since(start)) })
	}
	end := time.NewTimer(length)
	defer end.Stop()
	for {
		next := -1
		for i := range steps {
			if steps[i].fn != nil && (next < 0 || steps[i].at < steps[next].at) {
				next = i
			}
		}
		wake := length
		if next >= 0 {
			wake = min(wake, steps[next].at)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end.C:
			lab.counts()
			return nil
		case <-time.After(max(0, time.Until(start.Add(wake)))):
			if next >= 0 && time.Since(start) >= steps[next].at {
				fn := steps[next].fn
				steps[next].fn = nil
				if err := fn(); err != nil {
					return err
				}
			}
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
			lab.note(Event{Kind: KindLate, Value: missed.Seconds()})
		}
		last = now
		if n++; n%10 == 0 {
			held := map[string]int{}
			for _, h := range lab.hosts {
				held[h.zone] += h.count()
			}
			for _, z := range lab.zones {
				lab.note(Event{Kind: KindHeld, Zone: z, Value: float64(held[z])})
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
