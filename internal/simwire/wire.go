package simwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"spurwinch/choice"
)

type batch struct {
	TsS   *float64 `json:"tsS"`
	Seq   *uint64  `json:"seq"`
	Inbox []event  `json:"inbox"`
}

type event struct {
	Op        string          `json:"op"`
	NodeID    string          `json:"nodeId"`
	OpID      string          `json:"opId"`
	Host      string          `json:"host"`
	Trial     *int            `json:"trial"`
	RttS      float64         `json:"rttS"`
	NoMore    bool            `json:"noMore"`
	RC        string          `json:"rc"`
	Feedback  []*float64      `json:"feedback"`
	Lane      string          `json:"lane"`
	Owner     string          `json:"owner"`
	Object    uint64          `json:"object"`
	Group     uint64          `json:"group"`
	ExpiresIn *float64        `json:"expiresInS"`
	EstimateS float64         `json:"estimateS"`
	Options   int             `json:"options"`
	Token     string          `json:"token"`
	Sort      int             `json:"sort"`
	X         *float64        `json:"x"`
	SrcPeer   *int            `json:"srcPeer"`
	Payload   []byte          `json:"payload"`
	Form      string          `json:"form"`
	Members   []member        `json:"members"`
	Nonce     json.RawMessage `json:"nonce64"`
	Setup     json.RawMessage `json:"setup"`
}

type member struct {
	Host       string   `json:"host"`
	RegionPart string   `json:"regionPart"`
	Shape      string   `json:"shape"`
	Pod        int      `json:"pod"`
	Status     string   `json:"status"`
	Heft       *float64 `json:"heft"`
	StartedAtS float64  `json:"startedAtS"`
}

type step struct {
	Op     string  `json:"op"`
	NodeID string  `json:"nodeId"`
	OpID   string  `json:"opId,omitempty"`
	Host   string  `json:"host,omitempty"`
	CapS   float64 `json:"capS,omitempty"`
	Away   float64 `json:"stayAwayS,omitempty"`
	Trial  *int    `json:"trial,omitempty"`
	Token  string  `json:"token,omitempty"`
	AfterS float64 `json:"afterS,omitempty"`
	Active bool    `json:"active,omitempty"`
	Peer   *int    `json:"peer,omitempty"`
	Data   []byte  `json:"payload,omitempty"`
}

type reply struct {
	Seq   uint64 `json:"seq"`
	Steps []step `json:"steps"`
}

var (
	outcomes = map[string]choice.Outcome{"ok": choice.Served, "error": choice.Failed, "full": choice.Full,
		"timeout": choice.TimedOut, "connect_failed": choice.ConnectFailed, "reset": choice.Reset,
		"cancelled": choice.Cancelled, "moot": choice.NeverSent}
	forms = map[string]choice.ListKind{"incr": choice.ListChange, "total": choice.ListFull,
		"warm_copy": choice.ListCached, "lost": choice.ListUnavailable}
	states = map[string]choice.ServerState{"live": choice.Ready, "quiescing": choice.Draining, "dead": choice.Gone}
)

type node struct {
	balancer         *choice.Balancer
	classes, tenants map[string]int
	events           []choice.Event
}

// Host holds the instances of one process and turns batches into replies.
type Host struct{ nodes map[string]*node }

// NewHost makes a host without instances.
func NewHost() *Host { return &Host{nodes: map[string]*node{}} }

// Handle takes one batch, a line of JSON, and returns its reply, a line of JSON. An error names the batch and what is
// wrong with it; the host is of no use after one.
func (h *Host) Handle(line []byte) ([]byte, error) {
	var in batch
	if err := json.Unmarshal(line, &in); err != nil {
		return nil, fmt.Errorf("malformed batch: %w", err)
	}
	if in.Seq == nil {
		return nil, errors.New("batch without seq")
	}
	if in.TsS == nil {
		return nil, fmt.Errorf("batch %d: no tsS", *in.Seq)
	}
	now := seconds(*in.TsS)
	var order []string // instances in the order of their first event
	out := reply{Seq: *in.Seq, Steps: []step{}}
	for i := range in.Inbox {
		e := &in.Inbox[i]
		if err := h.take(e, now, &order); err != nil {
			return nil, fmt.Errorf("batch %d: event %d (%s): %w", *in.Seq, i, e.Op, err)
		}
	}
	for _, id := range order {
		n := h.nodes[id]
		if n == nil || n.events == nil {
			continue
		}
		for _, a := range n.balancer.Step(now, n.events) {
			out.Steps = append(out.Steps, toStep(id, a))
		}
		n.events = nil
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(out); err != nil {
		return nil, fmt.Errorf("batch %d: reply: %w", *in.Seq, err)
	}
	return buf.Bytes(), nil
}

func (h *Host) take(e *event, now time.Duration, order *[]string) error {
	if e.NodeID == "" {
		return errors.New("no nodeId")
	}
	if e.Op == "Enlist" {
		seed, err := strconv.ParseInt(string(e.Nonce), 10, 64)
		if err != nil {
			u, err := strconv.ParseUint(string(e.Nonce), 10, 64)
			if err != nil {
				return errors.New("nonce64 is missing or no integer")
			}
			seed = int64(u)
		}
		s, err := DecodeSettings(e.Setup)
		if err != nil {
			return err
		}
		b, err := choice.New(s.Settings, uint64(seed), now)
		if err != nil {
			return err
		}
		h.nodes[e.NodeID] = &node{balancer: b, classes: s.ClassByName, tenants: s.TenantByName, events: []choice.Event{}}
		*order = append(*order, e.NodeID)
		return nil
	}
	n := h.nodes[e.NodeID]
	if n == nil {
		return fmt.Errorf("unknown instance %q", e.NodeID)
	}
	if e.Op == "Stop" {
		delete(h.nodes, e.NodeID)
		return nil
	}
	ev, err := n.event(e)
	if err != nil {
		return err
	}
	if n.events == nil {
		*order = append(*order, e.NodeID)
	}
	if ev != nil {
		n.events = append(n.events, ev)
	}
	return nil
}

func (n *node) event(e *event) (choice.Event, error) {
	need := func(ok bool, what string) error {
		if !ok {
			return fmt.Errorf("%s is missing or unknown", what)
		}
		return nil
	}
	outcome, known := outcomes[e.RC]
	switch e.Op {
	case "Registry":
		kind, ok := forms[e.Form]
		if !ok {
			return nil, fmt.Errorf("form %q", e.Form)
		}
		l := choice.ServerList{Kind: kind}
		for _, m := range e.Members {
			state, ok := states[m.Status]
			if !ok || m.Host == "" {
				return nil, fmt.Errorf("entry %q has status %q", m.Host, m.Status)
			}
			size := 1.0
			if m.Heft != nil {
				size = *m.Heft
			}
			l.Servers = append(l.Servers, choice.Server{ID: choice.ServerID(m.Host), Zone: m.RegionPart, Kind: m.Shape,
				Cell: m.Pod, State: state, Size: size, Started: seconds(m.StartedAtS)})
		}
		return l, nil
	case "Inbound":
		return n.request(e)
	case "Carried":
		r, err := n.request(e)
		return choice.OpenConnection{Request: r, Server: choice.ServerID(e.Host)}, errors.Join(err, need(e.Host != "", "host"))
	case "Checked":
		return choice.HealthCheckResult{Server: choice.ServerID(e.Host), Outcome: outcome, Took: seconds(e.RttS),
			Report: row(e.Feedback)}, errors.Join(need(e.Host != "", "host"), need(known, "rc"))
	case "Streaming":
		if e.Trial == nil || e.OpID == "" {
			return nil, errors.New("opId or trial is missing")
		}
		return choice.Established{ID: choice.RequestID(e.OpID), Attempt: *e.Trial, Server: choice.ServerID(e.Host),
			Took: seconds(e.RttS)}, nil
	case "Completed":
		if e.Trial == nil || e.OpID == "" {
			return nil, errors.New("opId or trial is missing")
		}
		return choice.AttemptEnded{ID: choice.RequestID(e.OpID), Attempt: *e.Trial, Server: choice.ServerID(e.Host),
			Outcome: outcome, Took: seconds(e.RttS), Final: e.NoMore, Report: row(e.Feedback)}, need(known, "rc")
	case "HintUpdate":
		if e.X == nil || e.OpID == "" {
			return nil, errors.New("opId or x is missing")
		}
		switch e.Sort {
		case 1:
			trial := 0
			if e.Trial != nil {
				trial = *e.Trial
			}
			return choice.LoadUpdate{ID: choice.RequestID(e.OpID), Attempt: trial, Load: *e.X / 1e6}, nil
		case 2:
			return choice.DelayObservation{ID: choice.RequestID(e.OpID), Server: choice.ServerID(e.Host), Took: seconds(*e.X / 1e3)}, nil
		}
		return nil, nil // a kind of news this version does not know
	case "ClientGone":
		return choice.ClientGone{ID: choice.RequestID(e.OpID)}, need(e.OpID != "", "opId")
	case "NoteFrom":
		from := -1
		if e.SrcPeer != nil {
			from = *e.SrcPeer
		}
		return choice.PeerMessage{From: from, Data: e.Payload}, nil
	case "TimeoutFired":
		return choice.TimerFired{Token: e.Token}, need(e.Token != "", "token")
	}
	return nil, errors.New("unknown op")
}

func (n *node) request(e *event) (choice.Request, error) {
	class, ok := n.classes[e.Lane]
	if e.OpID == "" || !ok {
		return choice.Request{}, fmt.Errorf("opId %q or lane %q is missing or unknown", e.OpID, e.Lane)
	}
	if e.ExpiresIn == nil && e.Op == "Inbound" {
		return choice.Request{}, errors.New("expiresInS is missing")
	}
	r := choice.Request{ID: choice.RequestID(e.OpID), Class: class, Tenant: -1, Key: e.Object, Group: e.Group,
		MidFlow: e.Options&8 != 0, Returned: e.Options&16 != 0}
	if t, ok := n.tenants[e.Owner]; ok {
		r.Tenant = t
	}
	if e.ExpiresIn != nil {
		r.TimeLeft = seconds(*e.ExpiresIn)
	}
	if e.Options&1 != 0 {
		r.Load = e.EstimateS
	}
	return r, nil
}

// row is a load report; a value that is absent is not a number.
func row(in []*float64) []float64 {
	if in == nil {
		return nil
	}
	out := make([]float64, len(in))
	for i, v := range in {
		if out[i] = math.NaN(); v != nil {
			out[i] = *v
		}
	}
	return out
}

func toStep(id string, a choice.Action) step {
	s := step{NodeID: id}
	switch a := a.(type) {
	case choice.StartAttempt:
		s.Op, s.OpID, s.Host, s.CapS = "Route", string(a.ID), string(a.Server), a.Timeout.Seconds()
	case choice.Reject:
		s.Op, s.OpID, s.Away = "OverloadReply", string(a.ID), a.RetryAfter.Seconds()
	case choice.Fail:
		s.Op, s.OpID = "Surrender", string(a.ID)
	case choice.CancelAttempt:
		s.Op, s.OpID, s.Trial = "DropAttempt", string(a.ID), &a.Attempt
	case choice.HealthCheck:
		s.Op, s.Host = "Ping", string(a.Server)
	case choice.Migrate:
		s.Op, s.OpID = "Evict", string(a.ID)
	case choice.SetTimer:
		// an absent afterS is not allowed, so the shortest wait is a microsecond
		s.Op, s.Token, s.AfterS = "Defer", a.Token, max(a.After.Seconds(), 1e-6)
	case choice.SendPeerMessage:
		s.Op, s.Peer, s.Data = "Say", &a.To, a.Data
	case choice.WatchList:
		s.Op, s.Active = "Follow", true
	}
	return s
}
