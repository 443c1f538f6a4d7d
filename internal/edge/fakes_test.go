package edge

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

// world is a clock that never waits, and the health checker and the surroundings of one core.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	timers timerQueue
	core   *Core
	set    int // timers so far
}

// newWorld is a world at a time, with random numbers of a seed.
func newWorld(t *testing.T, now time.Time, seed1, seed2 uint64) *world {
	t.Helper()
	return &world{t: t, rng: rand.New(rand.NewPCG(seed1, seed2)), now: now}
}

// create gives the world its core.
func (w *world) create(options Options) *Core {
	w.t.Helper()
	options.Clock = w
	options.HealthChecker = w
	core, err := New(options)
	if err != nil {
		w.t.Fatalf("New fails: %v", err)
	}
	w.core = core
	return core
}

func (w *world) Now() time.Time { return w.now }

func (w *world) At(at time.Time, fn func()) func() {
	w.set++
	timer := &timer{at: at, number: w.set, fn: fn}
	heap.Push(&w.timers, timer)
	return func() { timer.fn = nil }
}

// run fires the timers until a time, and flushes the core after each.
func (w *world) run(until time.Time) {
	for len(w.timers) > 0 && !w.timers[0].at.After(until) {
		timer, ok := heap.Pop(&w.timers).(*timer)
		if !ok {
			w.t.Fatal("the queue holds something else than timers")
		}
		if timer.at.After(w.now) {
			w.now = timer.at
		}
		if timer.fn != nil {
			timer.fn()
			w.core.Flush()
		}
	}
	w.now = until
}

// CheckHealth answers each health check after some time with some load.
func (w *world) CheckHealth(_ ServerEntry, _ time.Time, done func(choice.Outcome, []float64)) {
	in := time.Duration(w.rng.IntN(200)) * time.Millisecond
	w.At(w.now.Add(in), func() { done(choice.Served, []float64{w.rng.Float64() * 0.6}) })
}

type timer struct {
	at     time.Time
	number int
	fn     func() // nil: it was stopped
}

// timerQueue is a heap of timers, by time and then by number.
type timerQueue []*timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) {
	added, ok := x.(*timer)
	if !ok {
		panic("not a timer")
	}
	*q = append(*q, added)
}

func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	return removed
}

// serversNamed are servers of size 1 that serve.
func serversNamed(ids ...choice.ServerID) []ServerEntry {
	var all []ServerEntry
	for _, id := range ids {
		all = append(all, ServerEntry{Server: choice.Server{ID: id, Size: 1}})
	}
	return all
}

// idleClient is a client that keeps its reply, and whose servers say nothing.
type idleClient struct {
	reply *LocalReply
	tried bool
}

func (c *idleClient) Attempt(*Attempt) UpstreamRequest { c.tried = true; return idleUpstream{} }
func (c *idleClient) LocalReply(reply LocalReply)      { c.reply = &reply }
func (c *idleClient) Migrate(time.Time)                {}

type idleUpstream struct{}

func (idleUpstream) GiveUp() {}
