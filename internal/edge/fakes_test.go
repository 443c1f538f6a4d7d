package edge

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/choice"
)

// harness runs one core in simulated time. It is the clock and the health checker of the core.
type harness struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Time
	timers     timerQueue
	core       *Core
	timerCount int // number of timers set so far
}

// newHarness creates a harness that starts at the given time. The seeds determine its random numbers.
func newHarness(t *testing.T, now time.Time, seed1, seed2 uint64) *harness {
	t.Helper()
	return &harness{t: t, rng: rand.New(rand.NewPCG(seed1, seed2)), now: now}
}

// create creates the core of the harness.
func (h *harness) create(options Options) *Core {
	h.t.Helper()
	options.Clock = h
	options.HealthChecker = h
	core, err := New(options)
	if err != nil {
		h.t.Fatalf("New: got error %v, want none", err)
	}
	h.core = core
	return core
}

func (h *harness) Now() time.Time { return h.now }

func (h *harness) At(at time.Time, fn func()) func() {
	h.timerCount++
	timer := &timer{at: at, number: h.timerCount, fn: fn}
	heap.Push(&h.timers, timer)
	return func() { timer.fn = nil }
}

// run fires the timers that are due by the given time, and flushes the core after each one.
func (h *harness) run(until time.Time) {
	for len(h.timers) > 0 && !h.timers[0].at.After(until) {
		timer, ok := heap.Pop(&h.timers).(*timer)
		if !ok {
			h.t.Fatal("timer queue: got an element of another type, want *timer")
		}
		if timer.at.After(h.now) {
			h.now = timer.at
		}
		if timer.fn != nil {
			timer.fn()
			h.core.Flush()
		}
	}
	h.now = until
}

// CheckHealth answers each health check after a random time with a random load.
func (h *harness) CheckHealth(_ ServerEntry, _ time.Time, done func(choice.Outcome, []float64)) {
	delay := time.Duration(h.rng.IntN(200)) * time.Millisecond
	h.At(h.now.Add(delay), func() { done(choice.Served, []float64{h.rng.Float64() * 0.6}) })
}

type timer struct {
	at     time.Time
	number int
	fn     func() // nil: the timer was stopped
}

// timerQueue is a heap of timers, ordered by time and then by number.
type timerQueue []*timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) {
	added, ok := x.(*timer)
	if !ok {
		panic("timerQueue.Push: the element must be a *timer")
	}
	*q = append(*q, added)
}

func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	return removed
}

// serversNamed returns ready servers of size 1 with the given ids.
func serversNamed(ids ...choice.ServerID) []ServerEntry {
	var all []ServerEntry
	for _, id := range ids {
		all = append(all, ServerEntry{Server: choice.Server{ID: id, Size: 1}})
	}
	return all
}

// idleClient is a client that records its reply and whose servers never answer.
type idleClient struct {
	reply *LocalReply
	tried bool
}

func (c *idleClient) Attempt(*Attempt) UpstreamRequest { c.tried = true; return idleUpstream{} }
func (c *idleClient) LocalReply(reply LocalReply)      { c.reply = &reply }
func (c *idleClient) Migrate(time.Time)                {}

type idleUpstream struct{}

func (idleUpstream) GiveUp() {}
