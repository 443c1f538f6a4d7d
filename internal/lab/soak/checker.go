package soak

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"spurwinch/internal/invariant"
)

// Promise names a promise that the checker holds a node to; docs/promises.md has the numbers.
type Promise string

// The promises.
const (
	Answer    Promise = "answer"     // one final answer, in time
	Receipt   Promise = "receipt"    // served only with what a server made for this request
	Attempts  Promise = "attempts"   // four at most, never two at once
	Effect    Promise = "effect"     // no repeat that the class doesn't allow
	Gone      Promise = "gone"       // no attempt for a client that has left
	Drain     Promise = "drain"      // nothing new to a draining server
	SlowStart Promise = "slow start" // no more calls to a server in slow start than its budget
	CutOff    Promise = "cut off"    // no open connection ends without a message while its server answers
	Line      Promise = "line"       // lines pass complete, unchanged and in time
	Stop      Promise = "stop"       // nothing is in flight at the end of a planned stop
	Start     Promise = "start"      // ready in time
	Crash     Promise = "crash"      // a process ends only when it is told to
	Guard     Promise = "guard"      // the node's own invariant monitor found no step that breaks a rule
	Exercise  Promise = "exercise"   // what was drawn took effect
)

// Slack of the rules on time; the second part of a sum is the harness's own.
const (
	answerSlack     = invariant.AnswerSlack + 500*time.Millisecond // beyond the deadline
	goneSlack       = 100*time.Millisecond + 300*time.Millisecond
	attemptSlack    = 400 * time.Millisecond
	drainSlack      = 400 * time.Millisecond
	drainNoticeTime = 6 * time.Second // from a change at discovery, while it can be reached, until a node knows of it
	lineTimeout     = time.Second + 1500*time.Millisecond
)

// Violation is a broken promise.
type Violation struct {
	At      time.Duration `json:"at"` // since the run began
	Promise Promise       `json:"promise"`
	What    string        `json:"what"`
}

// Words of the protocol that end a request.
const (
	replyUp    = "UP"
	replyBusy  = "BUSY"
	replyError = "ERR"
)

// attempt is one attempt of a request as its server saw it.
type attempt struct {
	server    *server
	zone      string
	firstByte time.Time
	lastByte  time.Time // zero: it never came
	ended     time.Time // the server answered or the connection ended; zero: in flight
	reply     string
	neverRan  bool // as the reply says
	byHarness bool // the harness ended the server's side, not the node
}

// request is one request of a client.
type request struct {
	id          string
	class       *class
	node        *node
	incarnation int // of the node, when the request was sent
	sentAt      time.Time
	deadline    time.Time
	clientGone  time.Time // zero: the client stays
	answeredAt  time.Time
	answer      string
	attempts    []*attempt
}

// Checker records what clients and servers saw and checks it. It is safe for concurrent use.
type Checker struct {
	start time.Time

	mu         sync.Mutex
	closed     bool // what happens from here on is the run's own end
	requests   map[string]*request
	violations []Violation
	seen       map[string]int
}

func newChecker() *Checker {
	return &Checker{start: time.Now(), requests: map[string]*request{}, seen: map[string]int{}}
}

// violated records a violation at this moment, for the report of the run. One that comes after close is dropped: the
// run then ends connections and processes itself.
func (c *Checker) violated(promise Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violatedLocked(promise, format, args...)
}

// violatedLocked is violated for a caller that holds the lock.
func (c *Checker) violatedLocked(promise Promise, format string, args ...any) {
	if c.closed {
		return
	}
	c.violations = append(c.violations, Violation{time.Since(c.start), promise, fmt.Sprintf(format, args...)})
	c.seen["violations of "+string(promise)]++
}

// count counts what happened: a run that exercised nothing shows nothing.
func (c *Checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[what]++
}

// requestSent records a request whose last byte a client is about to write.
func (c *Checker) requestSent(sent *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[sent.id] = sent
	c.seen["requests"]++
}

// clientGone records that a request's client has closed its connection.
func (c *Checker) clientGone(left *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left.clientGone = time.Now()
}

// attemptStarted returns an attempt whose first byte has come to a server.
func (c *Checker) attemptStarted(s *server) *attempt {
	return &attempt{server: s, firstByte: time.Now(), zone: s.zone}
}

// attemptReceived records an attempt whose last byte has come, and checks it.
func (c *Checker) attemptReceived(id string, received *attempt) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	received.lastByte = now
	parent := c.requests[id]
	if parent == nil {
		return // of a client that broke its own connection while it wrote
	}
	c.seen["attempts"]++
	if len(parent.attempts) > 0 {
		c.seen["repeats"]++
	}
	c.checkAttempt(parent, received)
	c.checkDrain(parent, received)
	c.checkRepeat(parent, received)
	parent.attempts = append(parent.attempts, received)
}

// checkAttempt checks that the request may still be tried.
func (c *Checker) checkAttempt(parent *request, received *attempt) {
	serverID := received.server.id
	sinceGone := received.firstByte.Sub(parent.clientGone)
	sinceAnswer := received.firstByte.Sub(parent.answeredAt)
	switch {
	case len(parent.attempts) >= maxAttempts:
		c.violatedLocked(Attempts, "%s: attempt %d, at %s", parent.id, len(parent.attempts)+1, serverID)
	case !parent.clientGone.IsZero() && sinceGone > goneSlack:
		c.violatedLocked(Gone, "%s: at %s %v after its client left %s",
			parent.id, serverID, sinceGone, parent.node.name)
	case !parent.answeredAt.IsZero() && sinceAnswer > goneSlack:
		c.violatedLocked(Attempts, "%s: at %s %v after its answer %q", parent.id, serverID, sinceAnswer, parent.answer)
	}
}

// checkDrain checks that the node could not know that the server drains.
func (c *Checker) checkDrain(parent *request, received *attempt) {
	known := parent.node.knownDraining(received.server)
	if known.IsZero() {
		return
	}
	if since := received.firstByte.Sub(known); since > drainGrace+drainSlack {
		c.violatedLocked(Drain, "%s: at %s %v after %s was notified that it drains",
			parent.id, received.server.id, since, parent.node.name)
	}
}

// checkRepeat checks a repeat against what its class allows.
func (c *Checker) checkRepeat(parent *request, received *attempt) {
	serverID := received.server.id
	for _, earlier := range parent.attempts {
		if earlier.neverRan {
			continue
		}
		since := received.firstByte.Sub(earlier.firstByte)
		before := earlier.server.id
		switch {
		case parent.class.idempotency == notIdempotent:
			c.violatedLocked(Effect, "%s (%s): at %s %v after %s, where it may have run (%q)",
				parent.id, parent.class.name, serverID, since, before, earlier.reply)
		case parent.class.idempotency == idempotentByKey && earlier.zone != received.zone:
			c.violatedLocked(Effect, "%s (%s): at %s of zone %s after %s of zone %s",
				parent.id, parent.class.name, serverID, received.zone, before, earlier.zone)
		case parent.class.idempotency == idempotentByKey && since > parent.class.idempotencyWindow+attemptSlack:
			c.violatedLocked(Effect, "%s (%s): at %s %v after %s, past the window",
				parent.id, parent.class.name, serverID, since, before)
		}
	}
}

// attemptEnded records the end of an attempt at its server. An empty reply changes no earlier one.
func (c *Checker) attemptEnded(ended *attempt, reply string, neverRan bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended.ended.IsZero() {
		ended.ended = time.Now()
	}
	if reply != "" {
		ended.reply = reply
		ended.neverRan = neverRan
	}
}

// attemptDisrupted records that the harness itself ends the server's side of an attempt or a connection.
func (c *Checker) attemptDisrupted(disrupted *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	disrupted.byHarness = true
	if disrupted.ended.IsZero() {
		disrupted.ended = time.Now()
	}
}

// requestAnswered records a request's final answer, and checks that it is in time and true.
func (c *Checker) requestAnswered(answered *request, answer string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	answered.answeredAt = now
	answered.answer = answer
	c.seen["answer "+answer]++
	if late := now.Sub(answered.deadline); late > answerSlack {
		c.violatedLocked(Answer, "%s: %s %v past its deadline, from %s",
			answered.id, answer, late, answered.node.name)
	}
	if answer != replyBusy || answered.class.idempotency == idempotent {
		return
	}
	for _, earlier := range answered.attempts {
		if !earlier.neverRan {
			c.violatedLocked(Effect, "%s (%s): BUSY from %s although it may have run at %s (%q)",
				answered.id, answered.class.name, answered.node.name, earlier.server.id, earlier.reply)
		}
	}
}

// request returns the request of an ID; nil, if there is none.
func (c *Checker) request(id string) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// checkReceipt returns the attempt whose server made a receipt; nil and a violation, if none did.
func (c *Checker) checkReceipt(served *request, receipt string) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, candidate := range served.attempts {
		if receipt == receiptOf(served.id, candidate.server) {
			return candidate
		}
	}
	c.violatedLocked(Receipt, "%s: served with %q, which no server made for it", served.id, receipt)
	return nil
}

// endedByServer reports whether the harness, or the server, has ended the server's side of a connection.
func (c *Checker) endedByServer(connection *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connection == nil || connection.byHarness
}

// close ends the checking of what happens; finish checks what was recorded.
func (c *Checker) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// finish checks what can be checked only when all is over: that no two attempts were in flight at once.
func (c *Checker) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = false
	for _, parent := range c.requests {
		for i, earlier := range parent.attempts {
			if i+1 < len(parent.attempts) {
				c.checkOverlap(parent, earlier, parent.attempts[i+1])
			}
		}
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
}

// checkOverlap checks that an attempt had ended when the next one came.
func (c *Checker) checkOverlap(parent *request, earlier, next *attempt) {
	if earlier.ended.IsZero() || earlier.ended.Sub(next.lastByte) > attemptSlack {
		c.violatedLocked(Attempts, "%s: at %s while the attempt at %s was in flight",
			parent.id, next.server.id, earlier.server.id)
	}
}

// slowStartBudget is the most calls that all nodes may make in slowStartWindow to a server with a part of its capacity;
// chance and the harness's own slack are included.
func slowStartBudget(capacity float64) float64 {
	calls := slowStartMultiple * capacity / (costOfFirstRequests * warmUpTime.Seconds()) * slowStartWindow.Seconds()
	return math.Ceil(invariant.MaxSlowStartCalls(calls)) + 1
}
