package soak

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"spurwinch/internal/invariant"
)

// Promise names a promise that a node has to keep and that the checker checks; docs/promises.md has the numbers.
type Promise string

// The promises that the checker checks.
const (
	Answer           Promise = "answer"     // a request gets one final answer, in time
	Receipt          Promise = "receipt"    // a served client gets only a receipt that a server made for this request
	Attempts         Promise = "attempts"   // a request has at most four attempts, never two at once
	RepeatSafety     Promise = "effect"     // a node repeats a request only as its class allows
	ClientGone       Promise = "gone"       // a node makes no attempt for a client that has left
	Drain            Promise = "drain"      // a node sends no new requests to a draining server
	SlowStart        Promise = "slow start" // calls to a server in slow start stay within the server's budget
	ConnectionEnd    Promise = "cut off"    // a node ends no open connection without a message while its server answers
	Line             Promise = "line"       // a node forwards lines complete, unchanged and in time
	Stop             Promise = "stop"       // a planned stop ends with nothing in flight
	Start            Promise = "start"      // a started node is ready in time
	Crash            Promise = "crash"      // a process ends only when the harness ends it
	InvariantMonitor Promise = "guard"      // the node's own invariant monitor reports no broken rule
	RunExercised     Promise = "exercise"   // the run served requests and made attempts
)

// Slack of the time limits. The second term of a sum is the slack for the harness's own delays.
const (
	answerSlack     = invariant.AnswerSlack + 500*time.Millisecond // after the deadline
	goneSlack       = 100*time.Millisecond + 300*time.Millisecond
	attemptSlack    = 400 * time.Millisecond
	drainSlack      = 400 * time.Millisecond
	drainNoticeTime = 6 * time.Second // from a change at a reachable discovery service until a node must know of it
	lineTimeout     = time.Second + 1500*time.Millisecond
)

// Violation is one broken promise.
type Violation struct {
	At      time.Duration `json:"at"` // since the start of the run
	Promise Promise       `json:"promise"`
	What    string        `json:"what"`
}

// Reply words of the protocol. Each is the final answer to a request.
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
	lastByte  time.Time // zero: the last byte never arrived
	ended     time.Time // when the server answered or the connection ended; zero: in flight
	reply     string
	neverRan  bool // the reply says that the request did not run
	byHarness bool // the harness, not the node, ended the server's side
}

// request is one request of a client.
type request struct {
	id          string
	class       *class
	node        *node
	incarnation int // of the node when the client created the request
	sentAt      time.Time
	deadline    time.Time
	clientGone  time.Time // when the client left; zero: it has not left
	answeredAt  time.Time
	answer      string
	attempts    []*attempt
}

// Checker records what clients and servers saw and checks it. It is safe for concurrent use.
type Checker struct {
	start time.Time

	mu         sync.Mutex
	closed     bool // the run is ending its connections and processes; later violations are dropped
	requests   map[string]*request
	violations []Violation
	seen       map[string]int
}

func newChecker() *Checker {
	return &Checker{start: time.Now(), requests: map[string]*request{}, seen: map[string]int{}}
}

// violated records a violation at the current time for the report of the run. It drops violations after close, because
// the run itself then ends connections and processes.
func (c *Checker) violated(promise Promise, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violatedLocked(promise, format, args...)
}

// violatedLocked records a violation as violated does. The caller holds c.mu.
func (c *Checker) violatedLocked(promise Promise, format string, args ...any) {
	if c.closed {
		return
	}
	c.violations = append(c.violations, Violation{time.Since(c.start), promise, fmt.Sprintf(format, args...)})
	c.seen["violations of "+string(promise)]++
}

// count counts an event. The counts show which events a run exercised: a run proves nothing about the others.
func (c *Checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[what]++
}

// requestSent records a request whose last byte a client is about to write.
func (c *Checker) requestSent(req *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[req.id] = req
	c.seen["requests"]++
}

// clientGone records that a request's client has closed its connection.
func (c *Checker) clientGone(req *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req.clientGone = time.Now()
}

// attemptStarted returns a new attempt whose first byte has just arrived at a server.
func (c *Checker) attemptStarted(s *server) *attempt {
	return &attempt{server: s, firstByte: time.Now(), zone: s.zone}
}

// attemptReceived records and checks an attempt whose last byte has just arrived.
func (c *Checker) attemptReceived(id string, received *attempt) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	received.lastByte = now
	req := c.requests[id]
	if req == nil {
		return // the client broke its own connection while it wrote the request
	}
	c.seen["attempts"]++
	if len(req.attempts) > 0 {
		c.seen["repeats"]++
	}
	c.checkAttempt(req, received)
	c.checkDrain(req, received)
	c.checkRepeat(req, received)
	req.attempts = append(req.attempts, received)
}

// checkAttempt checks that the node may still make an attempt for the request.
func (c *Checker) checkAttempt(req *request, received *attempt) {
	serverID := received.server.id
	sinceGone := received.firstByte.Sub(req.clientGone)
	sinceAnswer := received.firstByte.Sub(req.answeredAt)
	switch {
	case len(req.attempts) >= maxAttempts:
		c.violatedLocked(Attempts, "%s: too many attempts: number %d is at %s", req.id, len(req.attempts)+1, serverID)
	case !req.clientGone.IsZero() && sinceGone > goneSlack:
		c.violatedLocked(ClientGone, "%s: attempt at %s started %v after its client left %s",
			req.id, serverID, sinceGone, req.node.name)
	case !req.answeredAt.IsZero() && sinceAnswer > goneSlack:
		c.violatedLocked(Attempts, "%s: attempt at %s started %v after its answer %q",
			req.id, serverID, sinceAnswer, req.answer)
	}
}

// checkDrain checks that a draining server gets no attempt after the grace time. The grace time starts when the node
// knows, or has to know, that the server drains.
func (c *Checker) checkDrain(req *request, received *attempt) {
	known := req.node.drainingKnownSince(received.server)
	if known.IsZero() {
		return
	}
	if since := received.firstByte.Sub(known); since > drainGrace+drainSlack {
		c.violatedLocked(Drain, "%s: attempt at %s started %v after %s knew, or had to know, that the server drains",
			req.id, received.server.id, since, req.node.name)
	}
}

// checkRepeat checks that the class of a request allows a repeat after each earlier attempt that may have run.
func (c *Checker) checkRepeat(req *request, received *attempt) {
	serverID := received.server.id
	for _, earlier := range req.attempts {
		if earlier.neverRan {
			continue
		}
		since := received.firstByte.Sub(earlier.firstByte)
		before := earlier.server.id
		switch {
		case req.class.idempotency == notIdempotent:
			c.violatedLocked(RepeatSafety,
				"%s (%s): attempt at %s %v after one at %s, where the request may have run (%q)",
				req.id, req.class.name, serverID, since, before, earlier.reply)
		case req.class.idempotency == idempotentByKey && earlier.zone != received.zone:
			c.violatedLocked(RepeatSafety, "%s (%s): attempt at %s of zone %s after one at %s of zone %s",
				req.id, req.class.name, serverID, received.zone, before, earlier.zone)
		case req.class.idempotency == idempotentByKey && since > req.class.idempotencyWindow+attemptSlack:
			c.violatedLocked(RepeatSafety, "%s (%s): attempt at %s %v after one at %s, past the idempotency window",
				req.id, req.class.name, serverID, since, before)
		}
	}
}

// attemptEnded records the end of an attempt at its server. An empty reply keeps the reply recorded earlier.
func (c *Checker) attemptEnded(finished *attempt, reply string, neverRan bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if finished.ended.IsZero() {
		finished.ended = time.Now()
	}
	if reply != "" {
		finished.reply = reply
		finished.neverRan = neverRan
	}
}

// attemptDisrupted records that the harness itself ends or disturbs the server's side of an attempt or a connection.
func (c *Checker) attemptDisrupted(disrupted *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	disrupted.byHarness = true
	if disrupted.ended.IsZero() {
		disrupted.ended = time.Now()
	}
}

// requestAnswered records a request's final answer. It checks that the answer is in time, and that a request of a class
// that is not idempotent gets BUSY only if none of its attempts may have run.
func (c *Checker) requestAnswered(req *request, answer string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	req.answeredAt = now
	req.answer = answer
	c.seen["answer "+answer]++
	if late := now.Sub(req.deadline); late > answerSlack {
		c.violatedLocked(Answer, "%s: answer %s arrived %v after the deadline, from %s",
			req.id, answer, late, req.node.name)
	}
	if answer != replyBusy || req.class.idempotency == idempotent {
		return
	}
	for _, earlier := range req.attempts {
		if !earlier.neverRan {
			c.violatedLocked(RepeatSafety, "%s (%s): BUSY from %s although the request may have run at %s (%q)",
				req.id, req.class.name, req.node.name, earlier.server.id, earlier.reply)
		}
	}
}

// request returns the request with an ID, or nil if there is none.
func (c *Checker) request(id string) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// checkReceipt returns the attempt whose server made a receipt. If no server made it, checkReceipt records a violation
// and returns nil.
func (c *Checker) checkReceipt(req *request, receipt string) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, candidate := range req.attempts {
		if receipt == receiptOf(req.id, candidate.server) {
			return candidate
		}
	}
	c.violatedLocked(Receipt, "%s: served with %q, which no server made for it", req.id, receipt)
	return nil
}

// endedByServer reports whether the harness or one of its servers has ended or disturbed the server's side of a
// connection.
func (c *Checker) endedByServer(connection *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connection == nil || connection.byHarness
}

// close makes the checker drop all further violations until finish.
func (c *Checker) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// finish checks that no two attempts of a request were in flight at once, and sorts the violations by time. The check
// needs a finished run, because the end of an attempt may be recorded after the next attempt has arrived.
func (c *Checker) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = false
	for _, req := range c.requests {
		for i, earlier := range req.attempts {
			if i+1 < len(req.attempts) {
				c.checkOverlap(req, earlier, req.attempts[i+1])
			}
		}
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
}

// checkOverlap checks that an attempt ended before the next one arrived, or at most attemptSlack later.
func (c *Checker) checkOverlap(req *request, earlier, next *attempt) {
	if earlier.ended.IsZero() || earlier.ended.Sub(next.lastByte) > attemptSlack {
		c.violatedLocked(Attempts, "%s: attempt at %s arrived while the attempt at %s was in flight",
			req.id, next.server.id, earlier.server.id)
	}
}

// slowStartBudget returns the maximum number of calls that all nodes together may make within slowStartWindow to a
// server that has the given fraction of its capacity. It includes a margin for random variation and the harness's own
// slack.
func slowStartBudget(capacity float64) float64 {
	calls := slowStartMultiple * capacity / (firstRequestCost * warmUpTime.Seconds()) * slowStartWindow.Seconds()
	return math.Ceil(invariant.MaxSlowStartCalls(calls)) + 1
}
