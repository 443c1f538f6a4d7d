// Package cluster speaks HTTP/1.1 with discovery: it watches the list of upstream hosts, asks again when told, and
// reads the list in discovery's form.
package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"

	"go.uber.org/zap"
)

const (
	wait        = 10 * time.Second // a watch waits so long for news
	answerTime  = 1500 * time.Millisecond
	connectTime = 500 * time.Millisecond
	listTime    = 4 * time.Second // for an answer that does not wait
)

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
func (l List) Hosts() ([]edge.UpstreamHost, error) {
	var out []edge.UpstreamHost
	for _, e := range l.Servers {
		state, ok := states[e.State]
		if !ok || e.ID == "" {
			return nil, fmt.Errorf("entry %q has state %q", e.ID, e.State)
		}
		size := 1.0
		if e.Weight != nil {
			size = *e.Weight
		}
		out = append(out, edge.UpstreamHost{Addr: e.Addr, Server: choice.Server{ID: choice.ServerID(e.ID), Zone: e.Zone,
			Kind: e.Kind, Cell: e.Cell, State: state, Size: size, Started: time.Duration(e.StartedMS) * time.Millisecond}})
	}
	return out, nil
}

// ListOf is a whole list of hosts in discovery's form. A version under 0 is none of discovery's.
func ListOf(version int64, hosts []edge.UpstreamHost) List {
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
	news    func(choice.ListKind, []edge.UpstreamHost)
	version int64
	have    bool // version is one of discovery's
	hosts   bool // some host was ever told
	conn    *loop.Conn
	up      bool
	calling bool
	call    string // written once the connection is up
	reused  bool   // the call went out on a connection that had served one before
	in      response
	stop    func()
}

// New makes a Watch that starts from the known list and tells news.
func New(l *loop.Loop, addr string, known *List, news func(choice.ListKind, []edge.UpstreamHost)) *Watch {
	w := &Watch{loop: l, addr: addr, news: news}
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

// Follow starts a watch, unless one is on.
func (w *Watch) Follow() {
	if !w.calling {
		w.ask()
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
	if w.calling {
		w.stop()
	}
	w.ask()
}

func (w *Watch) ask() {
	w.calling = true
	path, until := "/v1/servers", listTime
	if w.have {
		path, until = fmt.Sprintf("/v1/servers?after=%d&wait_ms=%d", w.version, wait.Milliseconds()), wait+answerTime
	}
	w.call = "GET " + path + " HTTP/1.1\r\nHost: " + w.addr + "\r\nAccept: application/json\r\n\r\n"
	w.in = response{}
	now := w.loop.Now()
	w.stop = w.loop.At(now.Add(until), func() { w.failed("no answer in time") })
	w.reused = w.conn != nil
	if w.conn == nil {
		w.conn = w.loop.Dial(w.addr, now.Add(connectTime), w)
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
	done, err := w.in.feed(p)
	switch {
	case err != nil:
		w.failed(err.Error())
	case done:
		w.answered()
	}
}

func (w *Watch) answered() {
	if w.in.status != 200 {
		w.failed(fmt.Sprintf("status %d", w.in.status))
		return
	}
	var l List
	err := json.Unmarshal(w.in.body, &l)
	var hosts []edge.UpstreamHost
	if err == nil {
		hosts, err = l.Hosts()
	}
	if err == nil && l.Full && len(hosts) == 0 && w.hosts {
		// Guards against a discovery that lost its state, which would have a whole fleet forgotten at once.
		err = errors.New("whole, but without hosts; the known ones stand")
	}
	if err != nil {
		w.failed("list: " + err.Error())
		return
	}
	w.hosts = w.hosts || len(hosts) > 0
	w.stop()
	w.calling = false
	if w.in.close {
		w.close()
	}
	w.version, w.have = l.Version, true
	kind := choice.ListChange
	if l.Full {
		kind = choice.ListWhole
	}
	w.news(kind, hosts)
	w.ask() // at once: a watch lasts only while its next call follows soon
}

// failed ends a call without an answer; the module says when to ask again.
func (w *Watch) failed(why string) {
	zap.L().Warn("discovery_call_failed", zap.String("address", w.addr), zap.String("cause", why))
	w.close()
	if w.calling {
		w.stop()
		w.calling = false
		w.news(choice.ListLost, nil)
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
	w.close()
	if retry { // a kept connection may end just as a call goes out on it: that's no failed call
		w.stop()
		w.ask()
		return
	}
	if !idle {
		w.failed("connection ended: " + err.Error())
	}
}

// OnDrained is of no use here.
func (w *Watch) OnDrained() {}
