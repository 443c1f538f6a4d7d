// Package cluster speaks HTTP/1.1 with discovery: it watches the list of upstream hosts, asks again when told, and
// reads the list in discovery's form.
package cluster

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"

	"go.uber.org/zap"
)

const (
	connectTimeout  = 500 * time.Millisecond
	maxListTimeout  = 4 * time.Second         // for an answer that does not wait,
	listGraceMargin = 2500 * time.Millisecond // but no longer than this beyond the grace: a new discovery's list counts as told 4 s after SIGHUP
)

// timing is how long calls wait, and for what.
type timing struct {
	pollWait       time.Duration // a watch waits so long for news at the most,
	pollWaitJitter time.Duration // less by up to this, so that watches that began together don't end together
	answerTimeout  time.Duration // for its answer after that, at the most;
	graceMargin    time.Duration // beyond the grace: what is told by the next call still comes in time
	bodyTimeout    time.Duration // for the rest of an answer whose body has begun

	// After a call that failed or was given up. What changes counts as told 6 s after the service can be reached again, so a call
	// that was begun too early, the longest pause and the call that brings the news have to fit in there.
	recoveryWait          time.Duration // a watch waits no longer than this until one is answered,
	recoveryAnswerTimeout time.Duration // and is given up so long after that; a whole list, too
	initialBackoff        time.Duration // at most, after the first failure; twice as long after each further one,
	maxBackoff            time.Duration // up to this

	// Of an agent that lists are pushed to: what it has counts as told, so what it doesn't answer is asked for at once.
	agentPollWait      time.Duration
	agentRetryInterval time.Duration // the wait after a call without an answer, and the pause after one that failed
	agentAnswerTimeout time.Duration
}

var defaultTiming = timing{pollWait: 10 * time.Second, pollWaitJitter: 2 * time.Second, answerTimeout: 1500 * time.Millisecond, graceMargin: 500 * time.Millisecond, bodyTimeout: 2 * time.Second,
	recoveryWait: 100 * time.Millisecond, recoveryAnswerTimeout: 2400 * time.Millisecond, initialBackoff: 750 * time.Millisecond, maxBackoff: 2 * time.Second,
	agentPollWait: time.Second, agentRetryInterval: 100 * time.Millisecond, agentAnswerTimeout: 150 * time.Millisecond}

// List is a list of hosts in discovery's form.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// Parse reads a list.
func Parse(raw []byte) (*List, error) {
	l := &List{}
	err := json.Unmarshal(raw, l)
	return l, err
}

type entry struct {
	ID        string   `json:"id"`
	Addr      string   `json:"addr"`
	Zone      string   `json:"zone"`
	Kind      string   `json:"kind"`
	Cell      int      `json:"cell"`
	State     string   `json:"state"`
	Weight    *float64 `json:"weight"`
	StartedMS int64    `json:"started_ms"`
}

var serverStates = map[string]choice.ServerState{"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone}

// Hosts are the list's entries.
func (l List) Hosts() ([]edge.ServerEntry, error) {
	var out []edge.ServerEntry
	for _, e := range l.Servers {
		state, ok := serverStates[e.State]
		if !ok || e.ID == "" {
			return nil, fmt.Errorf("entry %q has state %q", e.ID, e.State)
		}
		size := 1.0
		if e.Weight != nil {
			size = *e.Weight
		}
		out = append(out, edge.ServerEntry{Addr: e.Addr, Server: choice.Server{ID: choice.ServerID(e.ID), Zone: e.Zone,
			Kind: e.Kind, Cell: e.Cell, State: state, Size: size, Started: time.Duration(e.StartedMS) * time.Millisecond}})
	}
	return out, nil
}

// ListOf is a whole list of hosts in discovery's form. A version under 0 is none of discovery's.
func ListOf(version int64, hosts []edge.ServerEntry) List {
	l := List{Version: version, Full: true, Servers: []entry{}}
	for _, h := range hosts {
		e := entry{ID: string(h.ID), Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, Weight: &h.Size, StartedMS: h.Started.Milliseconds()}
		for name, s := range serverStates {
			if s == h.State {
				e.State = name
			}
		}
		l.Servers = append(l.Servers, e)
	}
	return l
}

// Watch follows discovery's list.
type Watch struct {
	loop           *loop.Loop
	addr           string
	notify         func(choice.ListKind, []edge.ServerEntry)
	rng            *rand.Rand
	mode           Way
	timing         timing
	version        int64
	versionKnown   bool // version is one of discovery's
	serversSeen    bool // some host was ever told
	conn           *loop.Conn
	connected      bool
	polling        bool
	request        string // written once the connection is up
	reused         bool   // the call went out on a connection that had served one before
	longPoll       bool   // the call may wait for news
	recovering     bool   // the last call failed, had no answer or one that could not be read
	failures       int    // calls that failed since the last answer
	lastUnreadable bool   // the last answer could not be read
	response       response
	deadline       time.Time // the call in hand is given up
	stopTimer      func()    // of the call in hand, or of the pause before the next one
}

// Way is how the settings have lists come to a node.
type Way struct {
	Pushed bool          // to an agent beside it, which answers at once; else they are asked of a service for all nodes
	Grace  time.Duration // for what still goes to a host after it was told to drain
}

// New makes a Watch that starts from the known list and tells news. The seed spreads the ends of watches.
func New(l *loop.Loop, addr string, known *List, way Way, seed uint64, news func(choice.ListKind, []edge.ServerEntry)) *Watch {
	w := &Watch{loop: l, addr: addr, mode: way, timing: defaultTiming, notify: news, rng: rand.New(rand.NewPCG(seed, 2))}
	if known != nil {
		w.version, w.versionKnown, w.serversSeen = known.Version, known.Version >= 0, len(known.Servers) > 0
	}
	return w
}

// At tells which discovery is followed, and the version of the list that it has told; under 0: none yet.
func (w *Watch) At() (addr string, version int64) {
	if !w.versionKnown {
		return w.addr, -1
	}
	return w.addr, w.version
}

// Follow starts a watch, unless one is on or about to be: after a failure the watch itself says when it asks again.
func (w *Watch) Follow() {
	if !w.polling && w.stopTimer == nil {
		w.poll()
	}
}

// Adapt has lists come another way from the next call on.
func (w *Watch) Adapt(way Way) {
	w.mode = way
	if way.Pushed && !w.polling {
		w.cancelTimer()
		w.poll()
	}
}

// cancelTimer ends the time set for a call, or before one.
func (w *Watch) cancelTimer() {
	if w.stopTimer != nil {
		w.stopTimer()
		w.stopTimer = nil
	}
}

// Move has the watch follow discovery at another address from now on. The list stands as it was told; the service there
// may count its versions anew, so the whole list is asked for. What the old address may still answer is not heard.
func (w *Watch) Move(addr string) {
	if addr == w.addr {
		return
	}
	w.addr, w.version, w.versionKnown = addr, 0, false
	w.close()
	w.cancelTimer()
	w.poll()
}

// pollTimes are how long a watch waits for news, and how long its answer may take beyond that.
func (w *Watch) pollTimes() (waits, answer time.Duration) {
	p := w.timing
	switch {
	case w.mode.Pushed && w.recovering:
		return p.agentRetryInterval, p.agentAnswerTimeout
	case w.mode.Pushed:
		return p.agentPollWait, p.agentAnswerTimeout
	case w.recovering:
		return p.recoveryWait, p.recoveryAnswerTimeout
	}
	// Guards against a watch that fell silent: what it misses counts as told 2 s after its wait.
	return p.pollWait - time.Duration(w.rng.Int64N(int64(p.pollWaitJitter))), min(p.answerTimeout, w.mode.Grace+p.graceMargin)
}

// listTimeout is for an answer that doesn't wait.
func (w *Watch) listTimeout() time.Duration {
	within := min(maxListTimeout, w.mode.Grace+listGraceMargin)
	if w.recovering {
		within = min(within, w.timing.recoveryAnswerTimeout)
	}
	return within
}

// backoff is how long a failed call has the next one wait: longer after several, for the sake of a service that has too
// many callers, and drawn, so that nodes that failed together don't come back together.
func (w *Watch) backoff() time.Duration {
	if w.mode.Pushed {
		return w.timing.agentRetryInterval
	}
	most := w.timing.initialBackoff
	for n := 1; n < w.failures && most < w.timing.maxBackoff; n++ {
		most *= 2
	}
	most = min(most, w.timing.maxBackoff)
	return most/2 + time.Duration(w.rng.Int64N(int64(most/2)))
}

func (w *Watch) poll() {
	w.polling, w.longPoll = true, w.versionKnown
	waits, answer := w.pollTimes()
	path, until := "/v1/servers", w.listTimeout()
	if w.mode.Pushed {
		until = answer
	}
	if w.versionKnown {
		path, until = fmt.Sprintf("/v1/servers?after=%d&wait_ms=%d", w.version, waits.Milliseconds()), waits+answer
	}
	w.request = "GET " + path + " HTTP/1.1\r\nHost: " + w.addr + "\r\nAccept: application/json\r\n\r\n"
	w.response = response{}
	now := w.loop.Now()
	w.deadline = now.Add(until)
	w.stopTimer = w.loop.At(w.deadline, w.onTimeout)
	w.reused = w.conn != nil
	if w.conn == nil {
		w.conn = w.loop.Dial(w.addr, now.Add(min(connectTimeout, until)), w)
	} else {
		w.conn.Write([]byte(w.request))
	}
}

// OnConnect sends the call.
func (w *Watch) OnConnect() {
	w.connected = true
	w.conn.Write([]byte(w.request))
}

// OnData takes the answer.
func (w *Watch) OnData(p []byte) {
	if !w.polling {
		w.close()
		return
	}
	bodiless := !w.response.bodyBegun()
	done, err := w.response.feed(p)
	switch {
	case err != nil:
		w.unreadable(err.Error())
	case done:
		w.onResponse()
	case bodiless && w.response.bodyBegun():
		w.limitBodyTime()
	}
}

// limitBodyTime guards against an answer that never ends: what it holds may be all of the news, which counts as told.
func (w *Watch) limitBodyTime() {
	by := w.loop.Now().Add(w.timing.bodyTimeout)
	if by.After(w.deadline) {
		return
	}
	w.cancelTimer()
	w.stopTimer = w.loop.At(by, func() {
		w.stopTimer = nil
		w.unreadable("an answer that does not end")
	})
}

func (w *Watch) onResponse() {
	if w.response.status != 200 {
		w.pollFailed(fmt.Sprintf("status %d", w.response.status))
		return
	}
	var l List
	err := json.Unmarshal(w.response.body, &l)
	var hosts []edge.ServerEntry
	if err == nil {
		hosts, err = l.Hosts()
	}
	if err == nil && l.Full && len(hosts) == 0 && w.serversSeen {
		// Guards against a discovery that lost its state, which would have a whole fleet forgotten at once.
		w.pollFailed("list: whole, but without hosts; the known ones stand")
		return
	}
	if err != nil {
		w.unreadable("list: " + err.Error())
		return
	}
	w.cancelTimer()
	w.polling, w.recovering, w.lastUnreadable, w.failures = false, false, false, 0
	if w.response.close {
		w.close()
	}
	if w.versionKnown && !l.Full && l.Version < w.version {
		// Guards against a discovery that came back with an older state: what changed since its version is not all that differs.
		zap.L().Warn("discovery_version_fell", zap.String("address", w.addr), zap.Int64("from", w.version), zap.Int64("to", l.Version))
		w.versionKnown = false
		w.poll()
		return
	}
	w.serversSeen = w.serversSeen || len(hosts) > 0
	w.version, w.versionKnown = l.Version, true
	kind := choice.ListChange
	if l.Full {
		kind = choice.ListFull
	}
	w.notify(kind, hosts)
	w.poll() // at once: a watch lasts only while its next call follows soon
}

// onTimeout ends a call that got no answer in time. A watch is opened anew at once: silence is a broken connection, and says
// nothing of a service that would be spared by a pause. One that is silent again may be.
func (w *Watch) onTimeout() {
	w.stopTimer = nil
	if !w.longPoll && !w.mode.Pushed {
		w.pollFailed("no answer in time")
		return
	}
	zap.L().Warn("discovery_watch_silent", zap.String("address", w.addr))
	again := w.recovering
	w.recovering = true
	w.close()
	if again && !w.mode.Pushed { // guards a service that is behind: who has given up must not ask it all the more
		w.polling = false
		w.pollAfterBackoff()
		return
	}
	w.poll()
}

func (w *Watch) pollAfterBackoff() {
	w.failures++
	w.stopTimer = w.loop.At(w.loop.Now().Add(w.backoff()), func() {
		w.stopTimer = nil
		w.poll()
	})
}

// unreadable ends a call whose answer can't be read. What was written counts as told, so it is asked for again at once; one
// that is spoilt again is a failed call.
func (w *Watch) unreadable(why string) {
	if w.lastUnreadable || !w.polling {
		w.pollFailed(why)
		return
	}
	zap.L().Warn("discovery_answer_unreadable", zap.String("address", w.addr), zap.String("cause", why))
	w.lastUnreadable, w.recovering = true, true
	w.cancelTimer()
	w.close()
	w.poll()
}

// pollFailed ends a call without an answer. It is made again after a pause, whatever the module says: its pauses hang on settings
// that may allow minutes without a call. The module hears of it, but for an agent's, and may ask as well.
func (w *Watch) pollFailed(why string) {
	zap.L().Warn("discovery_call_failed", zap.String("address", w.addr), zap.String("cause", why))
	w.close()
	if !w.polling {
		return
	}
	w.cancelTimer()
	w.polling, w.recovering, w.lastUnreadable = false, true, false
	w.pollAfterBackoff()
	if !w.mode.Pushed {
		w.notify(choice.ListUnavailable, nil)
	}
}

func (w *Watch) close() {
	if w.conn != nil {
		w.conn.End()
	}
	w.conn, w.connected = nil, false
}

// OnEnd fails the call in hand.
func (w *Watch) OnEnd(err error) {
	if err == io.EOF && w.polling && w.response.endsAnswer() {
		w.response.close = true
		w.onResponse()
		return
	}
	idle := !w.polling
	retry := w.polling && w.reused && !w.response.begun()
	if w.polling && w.response.begun() {
		w.unreadable("connection ended amid an answer: " + err.Error())
		return
	}
	w.close()
	if retry { // a kept connection may end just as a call goes out on it: that's no failed call
		w.cancelTimer()
		w.poll()
		return
	}
	if !idle {
		w.pollFailed("connection ended: " + err.Error())
	}
}

// OnDrained is of no use here.
func (w *Watch) OnDrained() {}
