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
	connectTime = 500 * time.Millisecond
	listTime    = 4 * time.Second         // for an answer that does not wait,
	listSpare   = 2500 * time.Millisecond // but no longer than this beyond the grace: a new discovery's list counts as told 4 s after SIGHUP
)

// pace is how long calls wait, and for what.
type pace struct {
	wait   time.Duration // a watch waits so long for news at the most,
	spread time.Duration // less by up to this, so that watches that began together don't end together
	answer time.Duration // for its answer after that, at the most;
	spare  time.Duration // beyond the grace: what is told by the next call still comes in time
	body   time.Duration // for the rest of an answer whose body has begun

	// After a call that failed or was given up. What changes counts as told 6 s after the service can be reached again, so a call
	// that was begun too early, the longest pause and the call that brings the news have to fit in there.
	lostWait   time.Duration // a watch waits no longer than this until one is answered,
	lostAnswer time.Duration // and is given up so long after that; a whole list, too
	firstPause time.Duration // at most, after the first failure; twice as long after each further one,
	mostPause  time.Duration // up to this

	// Of an agent that lists are pushed to: what it has counts as told, so what it doesn't answer is asked for at once.
	agentWait   time.Duration
	agentRetry  time.Duration // the wait after a call without an answer, and the pause after one that failed
	agentAnswer time.Duration
}

var usual = pace{wait: 10 * time.Second, spread: 2 * time.Second, answer: 1500 * time.Millisecond, spare: 500 * time.Millisecond, body: 2 * time.Second,
	lostWait: 100 * time.Millisecond, lostAnswer: 2400 * time.Millisecond, firstPause: 750 * time.Millisecond, mostPause: 2 * time.Second,
	agentWait: time.Second, agentRetry: 100 * time.Millisecond, agentAnswer: 150 * time.Millisecond}

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

var states = map[string]choice.ServerState{"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone}

// Hosts are the list's entries.
func (l List) Hosts() ([]edge.ServerEntry, error) {
	var out []edge.ServerEntry
	for _, e := range l.Servers {
		state, ok := states[e.State]
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
		for name, s := range states {
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
	loop    *loop.Loop
	addr    string
	news    func(choice.ListKind, []edge.ServerEntry)
	rng     *rand.Rand
	way     Way
	pace    pace
	version int64
	have    bool // version is one of discovery's
	hosts   bool // some host was ever told
	conn    *loop.Conn
	up      bool
	calling bool
	call    string // written once the connection is up
	reused  bool   // the call went out on a connection that had served one before
	waits   bool   // the call may wait for news
	lost    bool   // the last call failed, had no answer or one that could not be read
	fails   int    // calls that failed since the last answer
	spoilt  bool   // the last answer could not be read
	in      response
	until   time.Time // the call in hand is given up
	stop    func()    // of the call in hand, or of the pause before the next one
}

// Way is how the settings have lists come to a node.
type Way struct {
	Pushed bool          // to an agent beside it, which answers at once; else they are asked of a service for all nodes
	Grace  time.Duration // for what still goes to a host after it was told to drain
}

// New makes a Watch that starts from the known list and tells news. The seed spreads the ends of watches.
func New(l *loop.Loop, addr string, known *List, way Way, seed uint64, news func(choice.ListKind, []edge.ServerEntry)) *Watch {
	w := &Watch{loop: l, addr: addr, way: way, pace: usual, news: news, rng: rand.New(rand.NewPCG(seed, 2))}
	if known != nil {
		w.version, w.have, w.hosts = known.Version, known.Version >= 0, len(known.Servers) > 0
	}
	return w
}

// At tells which discovery is followed, and the version of the list that it has told; under 0: none yet.
func (w *Watch) At() (addr string, version int64) {
	if !w.have {
		return w.addr, -1
	}
	return w.addr, w.version
}

// Follow starts a watch, unless one is on or about to be: after a failure the watch itself says when it asks again.
func (w *Watch) Follow() {
	if !w.calling && w.stop == nil {
		w.ask()
	}
}

// Adapt has lists come another way from the next call on.
func (w *Watch) Adapt(way Way) {
	w.way = way
	if way.Pushed && !w.calling {
		w.cancelTimer()
		w.ask()
	}
}

// cancelTimer ends the time set for a call, or before one.
func (w *Watch) cancelTimer() {
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
}

// Move has the watch follow discovery at another address from now on. The list stands as it was told; the service there
// may count its versions anew, so the whole list is asked for. What the old address may still answer is not heard.
func (w *Watch) Move(addr string) {
	if addr == w.addr {
		return
	}
	w.addr, w.version, w.have = addr, 0, false
	w.close()
	w.cancelTimer()
	w.ask()
}

// times are how long a watch waits for news, and how long its answer may take beyond that.
func (w *Watch) times() (waits, answer time.Duration) {
	p := w.pace
	switch {
	case w.way.Pushed && w.lost:
		return p.agentRetry, p.agentAnswer
	case w.way.Pushed:
		return p.agentWait, p.agentAnswer
	case w.lost:
		return p.lostWait, p.lostAnswer
	}
	// Guards against a watch that fell silent: what it misses counts as told 2 s after its wait.
	return p.wait - time.Duration(w.rng.Int64N(int64(p.spread))), min(p.answer, w.way.Grace+p.spare)
}

// listWithin is for an answer that doesn't wait.
func (w *Watch) listWithin() time.Duration {
	within := min(listTime, w.way.Grace+listSpare)
	if w.lost {
		within = min(within, w.pace.lostAnswer)
	}
	return within
}

// pauseAfterFailure is how long a failed call has the next one wait: longer after several, for the sake of a service that has too
// many callers, and drawn, so that nodes that failed together don't come back together.
func (w *Watch) pauseAfterFailure() time.Duration {
	if w.way.Pushed {
		return w.pace.agentRetry
	}
	most := w.pace.firstPause
	for n := 1; n < w.fails && most < w.pace.mostPause; n++ {
		most *= 2
	}
	most = min(most, w.pace.mostPause)
	return most/2 + time.Duration(w.rng.Int64N(int64(most/2)))
}

func (w *Watch) ask() {
	w.calling, w.waits = true, w.have
	waits, answer := w.times()
	path, until := "/v1/servers", w.listWithin()
	if w.way.Pushed {
		until = answer
	}
	if w.have {
		path, until = fmt.Sprintf("/v1/servers?after=%d&wait_ms=%d", w.version, waits.Milliseconds()), waits+answer
	}
	w.call = "GET " + path + " HTTP/1.1\r\nHost: " + w.addr + "\r\nAccept: application/json\r\n\r\n"
	w.in = response{}
	now := w.loop.Now()
	w.until = now.Add(until)
	w.stop = w.loop.At(w.until, w.silent)
	w.reused = w.conn != nil
	if w.conn == nil {
		w.conn = w.loop.Dial(w.addr, now.Add(min(connectTime, until)), w)
	} else {
		w.conn.Write([]byte(w.call))
	}
}

// OnConnect sends the call.
func (w *Watch) OnConnect() {
	w.up = true
	w.conn.Write([]byte(w.call))
}

// OnData takes the answer.
func (w *Watch) OnData(p []byte) {
	if !w.calling {
		w.close()
		return
	}
	bodiless := !w.in.bodyBegun()
	done, err := w.in.feed(p)
	switch {
	case err != nil:
		w.unreadable(err.Error())
	case done:
		w.answered()
	case bodiless && w.in.bodyBegun():
		w.endsSoon()
	}
}

// endsSoon guards against an answer that never ends: what it holds may be all of the news, which counts as told.
func (w *Watch) endsSoon() {
	by := w.loop.Now().Add(w.pace.body)
	if by.After(w.until) {
		return
	}
	w.cancelTimer()
	w.stop = w.loop.At(by, func() {
		w.stop = nil
		w.unreadable("an answer that does not end")
	})
}

func (w *Watch) answered() {
	if w.in.status != 200 {
		w.failed(fmt.Sprintf("status %d", w.in.status))
		return
	}
	var l List
	err := json.Unmarshal(w.in.body, &l)
	var hosts []edge.ServerEntry
	if err == nil {
		hosts, err = l.Hosts()
	}
	if err == nil && l.Full && len(hosts) == 0 && w.hosts {
		// Guards against a discovery that lost its state, which would have a whole fleet forgotten at once.
		w.failed("list: whole, but without hosts; the known ones stand")
		return
	}
	if err != nil {
		w.unreadable("list: " + err.Error())
		return
	}
	w.cancelTimer()
	w.calling, w.lost, w.spoilt, w.fails = false, false, false, 0
	if w.in.close {
		w.close()
	}
	if w.have && !l.Full && l.Version < w.version {
		// Guards against a discovery that came back with an older state: what changed since its version is not all that differs.
		zap.L().Warn("discovery_version_fell", zap.String("address", w.addr), zap.Int64("from", w.version), zap.Int64("to", l.Version))
		w.have = false
		w.ask()
		return
	}
	w.hosts = w.hosts || len(hosts) > 0
	w.version, w.have = l.Version, true
	kind := choice.ListChange
	if l.Full {
		kind = choice.ListFull
	}
	w.news(kind, hosts)
	w.ask() // at once: a watch lasts only while its next call follows soon
}

// silent ends a call that got no answer in time. A watch is opened anew at once: silence is a broken connection, and says
// nothing of a service that would be spared by a pause. One that is silent again may be.
func (w *Watch) silent() {
	w.stop = nil
	if !w.waits && !w.way.Pushed {
		w.failed("no answer in time")
		return
	}
	zap.L().Warn("discovery_watch_silent", zap.String("address", w.addr))
	again := w.lost
	w.lost = true
	w.close()
	if again && !w.way.Pushed { // guards a service that is behind: who has given up must not ask it all the more
		w.calling = false
		w.askAfterPause()
		return
	}
	w.ask()
}

func (w *Watch) askAfterPause() {
	w.fails++
	w.stop = w.loop.At(w.loop.Now().Add(w.pauseAfterFailure()), func() {
		w.stop = nil
		w.ask()
	})
}

// unreadable ends a call whose answer can't be read. What was written counts as told, so it is asked for again at once; one
// that is spoilt again is a failed call.
func (w *Watch) unreadable(why string) {
	if w.spoilt || !w.calling {
		w.failed(why)
		return
	}
	zap.L().Warn("discovery_answer_unreadable", zap.String("address", w.addr), zap.String("cause", why))
	w.spoilt, w.lost = true, true
	w.cancelTimer()
	w.close()
	w.ask()
}

// failed ends a call without an answer. It is made again after a pause, whatever the module says: its pauses hang on settings
// that may allow minutes without a call. The module hears of it, but for an agent's, and may ask as well.
func (w *Watch) failed(why string) {
	zap.L().Warn("discovery_call_failed", zap.String("address", w.addr), zap.String("cause", why))
	w.close()
	if !w.calling {
		return
	}
	w.cancelTimer()
	w.calling, w.lost, w.spoilt = false, true, false
	w.askAfterPause()
	if !w.way.Pushed {
		w.news(choice.ListUnavailable, nil)
	}
}

func (w *Watch) close() {
	if w.conn != nil {
		w.conn.End()
	}
	w.conn, w.up = nil, false
}

// OnEnd fails the call in hand.
func (w *Watch) OnEnd(err error) {
	if err == io.EOF && w.calling && w.in.endsAnswer() {
		w.in.close = true
		w.answered()
		return
	}
	idle := !w.calling
	retry := w.calling && w.reused && !w.in.begun()
	if w.calling && w.in.begun() {
		w.unreadable("connection ended amid an answer: " + err.Error())
		return
	}
	w.close()
	if retry { // a kept connection may end just as a call goes out on it: that's no failed call
		w.cancelTimer()
		w.ask()
		return
	}
	if !idle {
		w.failed("connection ended: " + err.Error())
	}
}

// OnDrained is of no use here.
func (w *Watch) OnDrained() {}
