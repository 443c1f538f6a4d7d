package soak

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"spurwinch/internal/invariant"
)

// Promise names what the judge holds a node to; docs/promises.md has the numbers.
type Promise string

// The promises.
const (
	Answer    Promise = "answer"     // one final answer, in time
	Receipt   Promise = "receipt"    // served only with what a host made for this connection
	Attempts  Promise = "attempts"   // four at most, never two at once
	Effect    Promise = "effect"     // nothing that must not happen twice does
	Gone      Promise = "gone"       // no attempt for a client that has left
	Drain     Promise = "drain"      // nothing new to a host that leaves
	SlowStart Promise = "slow start" // no cold host over its budget
	CutOff    Promise = "cut off"    // no open connection ends without a word while its host answers
	Line      Promise = "line"       // lines pass whole, unchanged and in time
	Stop      Promise = "stop"       // nothing is held at the end of a planned stop
	Start     Promise = "start"      // ready in time
	Crash     Promise = "crash"      // a process ends only when it is told to
	Guard     Promise = "guard"      // the node's own guard found a step that breaks a rule
	Exercise  Promise = "exercise"   // what was drawn took effect
)

const (
	answerSlack  = invariant.AnswerSlack + 500*time.Millisecond // beyond the deadline; the second part is the laboratory's own
	goneSlack    = 100*time.Millisecond + 300*time.Millisecond
	copySlack    = 400 * time.Millisecond
	drainSlack   = 400 * time.Millisecond
	toldWithin   = 6 * time.Second // of discovery's knowing, where it can be reached
	lineTime     = time.Second + 1500*time.Millisecond
	mostAttempts = 4
)

// Violation is a broken promise.
type Violation struct {
	At      time.Duration `json:"at"` // since the run began
	Promise Promise       `json:"promise"`
	What    string        `json:"what"`
}

// try is one attempt as its host saw it.
type try struct {
	host     *host
	first    time.Time // its first byte came
	whole    time.Time // its last byte came; zero: never
	over     time.Time // the host answered, or the connection ended; zero: it is out
	neverRan bool      // the host said so
	said     string    // the host's answer
	broken   bool      // by the laboratory: the host's side ended without the node's doing
	zone     string
}

// request is one request of a client.
type request struct {
	id       string
	class    *class
	node     *node
	run      int // of the node's processes, the one that it was sent to
	sent     time.Time
	deadline time.Time
	left     time.Time // the client closed; zero: it stays
	answered time.Time
	answer   string
	tries    []*try
}

// Judge keeps what clients and hosts saw.
type Judge struct {
	begin time.Time

	mu         sync.Mutex
	closed     bool // what is seen from here on is the run's own end
	requests   map[string]*request
	violations []Violation
	seen       map[string]int
}

func newJudge() *Judge {
	return &Judge{begin: time.Now(), requests: map[string]*request{}, seen: map[string]int{}}
}

// broken notes a violation.
func (j *Judge) broken(p Promise, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.brokenLocked(p, format, args...)
}

func (j *Judge) brokenLocked(p Promise, format string, args ...any) {
	if j.closed {
		return
	}
	j.violations = append(j.violations, Violation{time.Since(j.begin), p, fmt.Sprintf(format, args...)})
	j.seen["violations of "+string(p)]++
}

// saw counts what happened, for the exercise of a run.
func (j *Judge) saw(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seen[what]++
}

// asked notes a request whose last byte a client has written.
func (j *Judge) asked(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.id] = r
	j.seen["requests"]++
}

// leaves notes that a request's client has closed.
func (j *Judge) leaves(r *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.left = time.Now()
}

// arrives notes the first bytes of an attempt at a host.
func (j *Judge) arrives(h *host) *try { return &try{host: h, first: time.Now(), zone: h.zone} }

// comes notes an attempt whose last byte has come, and judges it.
func (j *Judge) comes(id string, y *try) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	y.whole = now
	r := j.requests[id]
	if r == nil {
		return // of a client that broke its own connection while it wrote
	}
	j.seen["attempts"]++
	if len(r.tries) > 0 {
		j.seen["repeats"]++
	}
	switch {
	case len(r.tries) >= mostAttempts:
		j.brokenLocked(Attempts, "%s: attempt %d, at %s", id, len(r.tries)+1, y.host.id)
	case !r.left.IsZero() && y.first.Sub(r.left) > goneSlack:
		j.brokenLocked(Gone, "%s: at %s %v after its client left %s", id, y.host.id, y.first.Sub(r.left), r.node.name)
	case !r.answered.IsZero() && y.first.Sub(r.answered) > goneSlack:
		j.brokenLocked(Attempts, "%s: at %s %v after its answer %q", id, y.host.id, y.first.Sub(r.answered), r.answer)
	}
	if told := r.node.toldLeaving(y.host); !told.IsZero() && y.first.Sub(told) > drainGrace+drainSlack {
		j.brokenLocked(Drain, "%s: at %s %v after %s was told that it leaves", id, y.host.id, y.first.Sub(told), r.node.name)
	}
	j.judgeEffect(r, y)
	r.tries = append(r.tries, y)
}

// judgeEffect holds a repeat to what its class allows.
func (j *Judge) judgeEffect(r *request, y *try) {
	for _, earlier := range r.tries {
		if earlier.neverRan {
			continue
		}
		since := y.first.Sub(earlier.first)
		switch {
		case r.class.repeat == unsafe:
			j.brokenLocked(Effect, "%s (%s): at %s %v after %s, where it may have run (%q)", r.id, r.class.name, y.host.id, since, earlier.host.id, earlier.said)
		case r.class.repeat == keyed && earlier.zone != y.zone:
			j.brokenLocked(Effect, "%s (%s): at %s of zone %s after %s of zone %s", r.id, r.class.name, y.host.id, y.zone, earlier.host.id, earlier.zone)
		case r.class.repeat == keyed && since > r.class.window+copySlack:
			j.brokenLocked(Effect, "%s (%s): at %s %v after %s, past the window", r.id, r.class.name, y.host.id, since, earlier.host.id)
		}
	}
}

// done notes what became of an attempt at its host.
func (j *Judge) done(y *try, said string, neverRan bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if y.over.IsZero() {
		y.over = time.Now()
	}
	if said != "" {
		y.said, y.neverRan = said, neverRan
	}
}

// lost notes that the laboratory itself ends an attempt's or a connection's host side.
func (j *Judge) lost(y *try) {
	j.mu.Lock()
	defer j.mu.Unlock()
	y.broken = true
	if y.over.IsZero() {
		y.over = time.Now()
	}
}

// answers notes a request's final answer; late is judged by the client.
func (j *Judge) answers(r *request, answer string) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	r.answered, r.answer = now, answer
	j.seen["answer "+answer]++
	if late := now.Sub(r.deadline); late > answerSlack {
		j.brokenLocked(Answer, "%s: %s %v past its deadline, from %s", r.id, answer, late, r.node.name)
	}
	if answer != "BUSY" || r.class.repeat == safe {
		return
	}
	for _, y := range r.tries {
		if !y.neverRan {
			j.brokenLocked(Effect, "%s (%s): BUSY from %s although it may have run at %s (%q)", r.id, r.class.name, r.node.name, y.host.id, y.said)
		}
	}
}

// find is the request of an id; nil: there is none.
func (j *Judge) find(id string) *request {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.requests[id]
}

// owns says whether a host made a receipt for a request, and returns the attempt.
func (j *Judge) owns(r *request, receipt string) *try {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, y := range r.tries {
		if receipt == receiptOf(r.id, y.host) {
			return y
		}
	}
	j.brokenLocked(Receipt, "%s: served with %q, which no host made for it", r.id, receipt)
	return nil
}

// endedByHost says whether the laboratory ended a connection's host side, or its host did, in the time in which a node may pass that on.
func (j *Judge) endedByHost(y *try) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return y == nil || y.broken
}

// close ends the judging of what happens; finish judges what was seen.
func (j *Judge) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
}

// finish judges what can be judged when all is over.
func (j *Judge) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = false
	for _, r := range j.requests {
		for i, y := range r.tries[:max(0, len(r.tries)-1)] {
			next := r.tries[i+1]
			if y.over.IsZero() || y.over.Sub(next.whole) > copySlack {
				j.brokenLocked(Attempts, "%s: at %s while the attempt at %s was out", r.id, next.host.id, y.host.id)
			}
		}
	}
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return int(a.At - b.At) })
}

// budget is what a cold host bears of all nodes within the budget's time, chance and the laboratory's own slack included.
func budget(share float64) float64 {
	calls := fallMultiple * share / (firstCost * warmUp.Seconds()) * fallTime.Seconds()
	return math.Ceil(invariant.MaxSlowStartCalls(calls)) + 1
}
