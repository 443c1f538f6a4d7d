// Package agent is a node's part in its fleet: it tells what it sees, sums what others of its zone see, votes where it is a voter, makes
// plans where it leads, and says what the module is to go by. All of it is one state machine: messages, time and what the disk said go
// in; messages, records and plans come out. The laboratory plays hundreds of them in simulated time, the node plays one on sockets.
package agent

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurwinch/choice"
	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

const (
	lookEvery     = 100 * time.Millisecond // at what the module sees: what is refused now can be lent room for now
	evidenceEvery = 500 * time.Millisecond
	sumEvery      = 500 * time.Millisecond
	planStep      = 250 * time.Millisecond
	ackEvery      = 200 * time.Millisecond
	heads         = 2               // of a zone, that a node tells
	deafAfter     = 3 * time.Second // a head that has not answered so long is passed over
	retryHead     = 5 * time.Second
	staleAfter    = 3 * time.Second // evidence that may have been on its way so long says nothing of now
	heardFor      = 2500 * time.Millisecond
	processGone   = 2 * time.Second // a node's process that is not heard so long may have been followed by another
	stoodStill    = time.Second
	mostOut       = 4096 // messages that wait to be sent, which the node does after each callback; what comes on top is lost, as on the way
)

// Options are what an agent stands on.
type Options struct {
	List      *membership.List
	Self      int
	Key       []byte
	Rules     failover.Rules
	Classes   []string // of the module, by index
	ComeAgain time.Duration
	Kept      []agree.Record // what the disk has, oldest first
	Seed      uint64
	Log       func(event string, fields ...any) // names and values in turn
	Voter     NewVoter                          // nil: this program doesn't vote
	Policy    *Policy                           // nil: each node goes by its own files
}

// Voter is one of those who agree on the log: internal/agree/voter.
type Voter interface {
	Tick()
	Receive(from int, data []byte) error
	Ready() (rec agree.Record, whole, ok bool)
	Kept() (out []agree.Message, decided []agree.Decided)
	Fold() (rec agree.Record, ok bool)
	Propose(p agree.Proposal) error
	Confirm() (call uint64)
	Confirmed() uint64
	State() agree.State
	Ended(id string) (agree.Decided, bool)
	Leads() bool
	Leader() int
	Term() uint64
	Broken() error
}

// NewVoter makes voter number self of n with what its disk kept.
type NewVoter func(self, n int, kept []agree.Record, rng *rand.Rand) (Voter, error)

// Message is for another node.
type Message struct {
	To   int
	Data []byte
}

// Agent is one node's part. Its methods belong to one goroutine; now is the node's own monotonic time.
type Agent struct {
	o       Options
	list    uint32
	zone    string
	rng     *rand.Rand
	process uint32
	clock   uint64
	peers   map[int]*peer
	out     []Message
	follow  *agree.Follower
	dirty   bool // entries that the disk doesn't have yet
	watch   *membership.Watch

	voter   Voter
	planner *failover.Planner
	saving  *saving
	acks    []due // sums that wait for a confirmation, oldest first
	last    time.Duration
	next    struct{ tick, beat, look, evidence, sum, plan, ack time.Duration }
	seen    choice.News // since the last evidence

	told    map[int]*told // evidence of this zone's nodes, as a head
	lead    time.Duration // when the one that leads was surely there, by this node's clock
	leadNow bool          // lead is known
	ackPlan uint64        // its newest plan then
	lease   time.Duration // crossings are allowed until then

	lender *failover.Lender
	loans  map[string]*loaned // by zone
	had    map[string]float64 // told load that stood here of late, at most, by class
	stay   float64            // told load of classes that must stay in the region, and have no place in the own zone
	saw    time.Duration      // when the module last told what it saw

	pol policyPart

	mode    failover.Mode
	plan    *failover.Plan
	number  uint64
	changed bool
	knows   failover.Knows
	Counts  Counts
}

// Counts are for operators.
type Counts struct{ Sent, SentBytes, Taken, Foreign, Spoilt, Late, Dropped uint64 }

type peer struct {
	process uint32
	at      time.Duration // when it was last heard
	clock   uint64        // the newest of that process
	newest  map[kind]uint64
	sent    time.Duration // of evidence: the first that is not answered yet; 0: none
	deaf    time.Duration // as a head: since when it doesn't answer; 0: it does
	asked   map[uint64]time.Duration
}

type told struct {
	sum   failover.Sum
	at    time.Duration
	fresh bool // not in a sum yet
	stale bool
}

type saving struct {
	rec     agree.Record
	whole   bool
	ofVoter bool
}

type due struct {
	call uint64
	to   int
	at   uint64
}

// New begins a node's part in its fleet.
func New(o Options, now time.Duration) (*Agent, error) {
	if o.Self < 0 || o.Self >= o.List.Len() {
		return nil, fmt.Errorf("this node is not in the list")
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	a := &Agent{o: o, zone: o.List.Node(o.Self).Zone, rng: rand.New(rand.NewPCG(o.Seed, 9)), peers: map[int]*peer{}, told: map[int]*told{}, last: now,
		lender: failover.NewLender(now), loans: map[string]*loaned{}, had: map[string]float64{}, saw: now}
	a.list, a.process = digestOf(o.List), a.rng.Uint32()|1
	var log uint64
	var entries []agree.Entry
	for _, r := range o.Kept {
		if len(r.Newest) > 0 {
			entries = r.Newest
		}
		if r.Log != 0 {
			log = r.Log
		}
	}
	a.follow = agree.Follow(log, entries)
	a.watch = membership.NewWatch(o.List, o.Self, now)
	if place := o.List.Voter(o.Self); place >= 0 {
		if o.Voter == nil {
			return nil, fmt.Errorf("%s is a voter, and this program does not vote", o.List.Node(o.Self).Name)
		}
		v, err := o.Voter(place, len(o.List.Voters()), o.Kept, a.rng)
		if err != nil {
			return nil, err
		}
		a.voter = v
	}
	spread := func(every time.Duration) time.Duration { return now + time.Duration(a.rng.Int64N(int64(every))) }
	a.next.tick, a.next.beat, a.next.look, a.next.evidence = now, spread(membership.BeatEvery), spread(lookEvery), spread(evidenceEvery)
	a.next.sum, a.next.plan, a.next.ack = spread(sumEvery), spread(planStep), now
	a.changed = true
	a.pol.init()
	a.adoptPolicy(a.follow.Newest(policy.Kind))
	if e := a.follow.Newest(failover.PlanKind); e.Number > 0 { // as the disk has it
		if p, err := failover.DecodePlan(e.Data); err == nil {
			a.plan, a.number = p, e.Number
			a.knows.Add(e.Number, p, now)
		}
	}
	a.goBy(now)
	return a, nil
}

// digestOf tells lists of nodes apart.
func digestOf(l *membership.List) uint32 {
	h := xxhash.New()
	for i := range l.Len() {
		n := l.Node(i)
		fmt.Fprintf(h, "%q %q %q %v\n", n.Name, n.Zone, n.Region, n.Voter)
	}
	return uint32(h.Sum64())
}

// Out takes the messages to send.
func (a *Agent) Out() []Message { m := a.out; a.out = nil; return m }

// Use is what the module is to go by, where that has changed since the last call.
func (a *Agent) Use() (choice.ZonePlan, bool) {
	if !a.changed {
		return choice.ZonePlan{}, false
	}
	a.changed = false
	return failover.Use(a.mode, a.plan, a.o.Self, a.zone, a.o.Classes, a.o.ComeAgain, failover.Borrowed{Loans: a.lent(), Stay: a.stay}), true
}

// Adapt takes in the module's classes after a change of settings.
func (a *Agent) Adapt(classes []string) { a.o.Classes, a.changed = classes, true }

func (a *Agent) peer(i int) *peer {
	p := a.peers[i]
	if p == nil {
		p = &peer{newest: map[kind]uint64{}}
		a.peers[i] = p
	}
	return p
}

func (a *Agent) send(to int, k kind, body []byte, now time.Duration) uint64 {
	a.clock = max(a.clock+1, micros(now))
	if to == a.o.Self {
		return a.clock
	}
	if len(a.out) >= mostOut {
		a.Counts.Dropped++
		return a.clock
	}
	m := seal(a.o.Key, a.list, header{kind: k, from: a.o.Self, to: to, process: a.process, clock: a.clock, echo: a.peer(to).clock}, body)
	a.out = append(a.out, Message{to, m})
	a.Counts.Sent++
	a.Counts.SentBytes += uint64(len(m))
	return a.clock
}

// Receive takes a message. What is no node's of this fleet is counted and dropped.
func (a *Agent) Receive(p []byte, now time.Duration) {
	h, body, err := open(a.o.Key, a.list, p)
	switch {
	case errors.Is(err, errForeign):
		a.Counts.Foreign++
		return
	case err != nil || h.to != a.o.Self || h.from == a.o.Self || h.from >= a.o.List.Len():
		a.Counts.Spoilt++
		return
	}
	o := a.peer(h.from)
	if o.process != h.process {
		if o.process != 0 && now-o.at < processGone {
			a.Counts.Late++ // of a process that is gone, or of one whose forerunner is still heard
			return
		}
		*o = peer{process: h.process, newest: map[kind]uint64{}}
	}
	o.at, o.clock = now, max(o.clock, h.clock)
	switch h.kind {
	case beat, evidence, sum, news, borrow: // only the newest counts, once
		if h.clock <= o.newest[h.kind] {
			a.Counts.Late++
			return
		}
		o.newest[h.kind] = h.clock
	}
	a.Counts.Taken++
	stale := h.echo == 0 || micros(now)-min(micros(now), h.echo) > micros(staleAfter)
	switch h.kind {
	case beat:
		a.watch.Heard(h.from, now)
	case evidence:
		a.hearEvidence(h, body, stale, now)
	case word:
		a.hearWord(h, body, now)
	case sum:
		a.hearSum(h, body, stale, now)
	case ack:
		a.hearAck(h, body, now)
	case news:
		var d agree.Digest
		if decoding.Unmarshal(body, &d) == nil {
			a.lacks(h.from, d, now)
		}
	case fetch:
		var kinds []agree.Kind
		if decoding.Unmarshal(body, &kinds) == nil {
			for _, k := range kinds[:min(len(kinds), agree.MostKinds)] {
				a.give(h.from, k, now)
			}
		}
	case give:
		var g giveBody
		if decoding.Unmarshal(body, &g) == nil {
			a.take(g.Log, g.Entry, h.from, now)
		}
	case borrow:
		a.hearBorrow(h, body, now)
	case loan:
		a.hearLoan(h, body, now)
	case raftWord:
		if a.voter != nil {
			if from := a.o.List.Voter(h.from); from >= 0 {
				if err := a.voter.Receive(from, body); err != nil {
					a.o.Log("fleet_voter_message", "from", a.o.List.Node(h.from).Name, "error", err.Error())
				}
			}
		}
	}
	a.work(now)
}

// Tick tells the time; it is called about each agree.Tick.
func (a *Agent) Tick(now time.Duration) {
	if now-a.last > stoodStill { // this process was stopped, or its machine: what it knew to be so may not be so any more
		a.o.Log("fleet_stood_still", "for", (now - a.last).Round(time.Millisecond).String())
		a.planner, a.acks = nil, nil
	}
	a.last = now
	a.watch.Tick(now)
	for ; a.next.tick <= now; a.next.tick += agree.Tick {
		if now-a.next.tick > stoodStill { // ticks that were missed are not made up for
			a.next.tick = now
		}
		if a.voter != nil {
			a.voter.Tick()
		}
	}
	if a.due(&a.next.beat, membership.BeatEvery, now) {
		for _, w := range a.o.List.Watchers(a.o.Self) {
			a.send(w, beat, nil, now)
		}
	}
	if a.due(&a.next.sum, sumEvery, now) {
		a.sendSum(now)
	}
	a.leadOn(now)
	a.loansEnd(now)
	a.goBy(now)
	a.work(now)
}

func (a *Agent) due(at *time.Duration, every, now time.Duration) bool {
	if now < *at {
		return false
	}
	*at = max(*at+every, now+every/2)
	return true
}

// Wants says that it is time for what the module saw: Tell is to be called.
func (a *Agent) Wants(now time.Duration) bool { return now >= a.next.look }

// Tell takes what the module saw since the last call.
func (a *Agent) Tell(n choice.News, now time.Duration) {
	a.due(&a.next.look, lookEvery, now)
	a.seen = failover.Since(a.seen, n)
	if a.due(&a.next.evidence, evidenceEvery, now) {
		a.tell(a.seen, now)
		a.seen = choice.News{}
	}
	a.borrow(n, now)
	a.work(now)
}

// tell sends evidence to the heads of this zone.
func (a *Agent) tell(n choice.News, now time.Duration) {
	s := failover.Tell(a.zone, a.o.Classes, n, failover.Word{Node: a.o.Self, Plan: a.number, Silent: a.watch.Silent(now),
		Policy: a.policyWord(now)})
	body := s.Encode()
	chosen := a.heads(now)
	if len(chosen) < heads || slices.Contains(chosen, a.o.Self) {
		a.hold(a.o.Self, s, false, now)
	}
	for _, h := range chosen {
		if h == a.o.Self {
			continue
		}
		p := a.peer(h)
		at := a.send(h, evidence, body, now)
		if p.sent == 0 {
			p.sent = now
		}
		if p.asked == nil || len(p.asked) > 32 {
			p.asked = map[uint64]time.Duration{}
		}
		p.asked[at] = now
	}
}

// heads are the nodes of this zone that sum its evidence now, as this node sees it: the first ones in an order that is the same for all,
// of those that answer.
func (a *Agent) heads(now time.Duration) (chosen []int) {
	for _, h := range a.order() {
		p := a.peer(h)
		if h != a.o.Self {
			if p.sent > 0 && now-p.sent > deafAfter && p.deaf == 0 {
				p.deaf = now
			}
			if p.deaf > 0 {
				if now-p.deaf < retryHead {
					continue
				}
				p.deaf, p.sent = 0, 0 // it may be back: one more go
			}
		}
		if chosen = append(chosen, h); len(chosen) == heads {
			break
		}
	}
	return chosen
}

func (a *Agent) order() []int {
	all := slices.Clone(a.o.List.InZone(a.zone))
	slices.SortFunc(all, func(x, y int) int { return cmp.Compare(a.o.List.Key(x, x), a.o.List.Key(y, y)) })
	return all
}

func (a *Agent) hold(node int, s failover.Sum, stale bool, now time.Duration) {
	old := a.told[node]
	if old != nil && old.fresh { // what is not in a sum yet goes into the next one
		add := func(to, from []float32) {
			for i := range min(len(to), len(from)) {
				to[i] += from[i]
			}
		}
		if slices.Equal(old.sum.Classes, s.Classes) {
			add(s.Arrived, old.sum.Arrived)
			add(s.Refused, old.sum.Refused)
		}
		for i, r := range s.Rows {
			for _, q := range old.sum.Rows {
				if q.Zone == r.Zone {
					s.Rows[i].Attempts, s.Rows[i].Failed = r.Attempts+q.Attempts, r.Failed+q.Failed
				}
			}
		}
	}
	a.told[node] = &told{sum: s, at: now, fresh: true, stale: stale}
}

func (a *Agent) hearEvidence(h header, body []byte, stale bool, now time.Duration) {
	s, err := failover.DecodeSum(body)
	if err != nil || s.Zone != a.zone || len(s.Words) != 1 || s.Words[0].Node != h.from {
		a.Counts.Spoilt++
		return
	}
	a.hold(h.from, s, stale, now)
	w := wordBody{Answer: h.clock, Age: -1, Plan: a.ackPlan, Digest: a.follow.Digest(), Policy: a.pol.told}
	if a.leadNow {
		w.Age = int64((now - a.lead) / time.Microsecond)
	}
	a.send(h.from, word, encode(w), now)
}

func (a *Agent) hearWord(h header, body []byte, now time.Duration) {
	var w wordBody
	if decoding.Unmarshal(body, &w) != nil {
		return
	}
	p := a.peer(h.from)
	at, ok := p.asked[w.Answer]
	if !ok {
		return // of an evidence that was not sent, or answered before
	}
	delete(p.asked, w.Answer)
	p.sent, p.deaf = 0, 0
	if w.Age >= 0 {
		// The one that leads was there when this evidence left, less the age that the head tells: the way back is on the safe side.
		a.led(at-time.Duration(w.Age)*time.Microsecond, w.Plan, w.Policy)
	}
	a.lacks(h.from, w.Digest, now)
}

// led takes in that the one that leads was surely there at a time of this node's clock, with that newest plan and policy.
func (a *Agent) led(at time.Duration, plan uint64, told policy.Told) {
	if !a.leadNow || at > a.lead {
		a.pol.told = told
		a.lead, a.leadNow, a.ackPlan = at, true, max(a.ackPlan, plan)
	}
	if a.plan != nil && a.ackPlan <= a.number {
		a.lease = max(a.lease, a.lead+time.Duration(float64(a.plan.Life)*float64(time.Second)))
	}
}

// sendSum tells the voters what this node knows of its zone.
func (a *Agent) sendSum(now time.Duration) {
	var all failover.Sum
	stale := true
	for _, i := range a.o.List.InZone(a.zone) {
		t := a.told[i]
		if t == nil || now-t.at > heardFor {
			delete(a.told, i)
			continue
		}
		s := t.sum
		if !t.fresh {
			s.Arrived, s.Refused = make([]float32, len(s.Classes)), make([]float32, len(s.Classes))
			s.Rows = slices.Clone(s.Rows)
			for k := range s.Rows {
				s.Rows[k].Attempts, s.Rows[k].Failed = 0, 0
			}
		}
		if t.stale { // it shows who is there
			s.Rows = nil
		} else {
			stale = false
		}
		t.fresh = false
		if all.Zone == "" {
			all.Zone = a.zone
		}
		all.Add(s)
	}
	if all.Zone == "" {
		return
	}
	body := append([]byte{0}, all.Encode()...)
	if stale {
		body[0] = 1
	}
	for _, v := range a.o.List.Voters() {
		if v == a.o.Self {
			a.leaderHears(a.o.Self, all, stale, now)
			a.acks = append(a.acks, due{to: v, at: micros(now)})
			continue
		}
		p := a.peer(v)
		at := a.send(v, sum, body, now)
		if p.asked == nil || len(p.asked) > 32 {
			p.asked = map[uint64]time.Duration{}
		}
		p.asked[at] = now
	}
}

func (a *Agent) hearSum(h header, body []byte, stale bool, now time.Duration) {
	if a.voter == nil || !a.voter.Leads() || len(body) < 1 {
		return
	}
	s, err := failover.DecodeSum(body[1:])
	if err != nil || a.o.List.Node(h.from).Zone != s.Zone {
		a.Counts.Spoilt++
		return
	}
	a.leaderHears(h.from, s, stale || body[0] == 1, now)
	if len(a.acks) < 4096 {
		a.acks = append(a.acks, due{to: h.from, at: h.clock})
	}
}

func (a *Agent) leaderHears(head int, s failover.Sum, stale bool, now time.Duration) {
	if a.planner != nil {
		a.planner.Hear(head, s, stale, now)
		for _, w := range s.Words {
			if w.Policy != nil && w.Node >= 0 && w.Node < a.o.List.Len() && a.o.List.Node(w.Node).Zone == s.Zone {
				a.hearPolicy(w.Node, *w.Policy)
			}
		}
	}
}

func (a *Agent) hearAck(h header, body []byte, now time.Duration) {
	var k ackBody
	if a.o.List.Voter(h.from) < 0 || decoding.Unmarshal(body, &k) != nil {
		return
	}
	p := a.peer(h.from)
	if at, ok := p.asked[k.Answer]; ok {
		delete(p.asked, k.Answer)
		plan := uint64(0)
		for _, d := range k.Digest.Kinds {
			if d.Kind == failover.PlanKind {
				plan = d.Number
			}
		}
		a.led(at, plan, k.Policy)
	}
	a.lacks(h.from, k.Digest, now)
}

// leadOn is what the voter that leads does from time to time.
func (a *Agent) leadOn(now time.Duration) {
	if a.voter == nil {
		return
	}
	if !a.voter.Leads() {
		if a.planner != nil {
			a.o.Log("fleet_leads_no_more", "term", a.voter.Term())
		}
		a.planner, a.acks = nil, nil
		return
	}
	if a.planner == nil {
		e := a.follow.Newest(failover.PlanKind)
		a.planner = failover.NewPlanner(a.o.List, a.rules(), a.knows, now)
		current, _ := a.newestPolicy()
		a.pol.lead(a.o.Policy, current.Number)
		if o, err := failover.DecodeOrders(a.follow.Newest(failover.OrdersKind).Data); err == nil {
			a.planner.Order(o)
		}
		a.o.Log("fleet_leads", "term", a.voter.Term(), "plan", e.Number)
	}
	if a.due(&a.next.ack, ackEvery, now) && len(a.acks) > 0 {
		call := a.voter.Confirm()
		for i := range a.acks {
			if a.acks[i].call == 0 {
				a.acks[i].call = call
			}
		}
	}
	if a.due(&a.next.plan, planStep, now) {
		a.drivePolicy(now)
		if p := a.planner.Step(now); p != nil {
			err := a.voter.Propose(agree.Proposal{ID: fmt.Sprintf("plan-%08x-%d", a.process, micros(now)), Kind: failover.PlanKind,
				Replaces: a.follow.Newest(failover.PlanKind).Number, Data: p.Encode()})
			if err != nil {
				a.o.Log("fleet_plan_not_proposed", "error", err.Error())
			}
		}
	}
}

// acknowledge answers the sums that came before a confirmed call.
func (a *Agent) acknowledge(now time.Duration) {
	n := 0
	for _, k := range a.acks {
		if k.call == 0 || k.call > a.voter.Confirmed() {
			break
		}
		n++
		d := a.follow.Digest()
		if k.to == a.o.Self {
			a.led(time.Duration(k.at)*time.Microsecond, a.follow.Newest(failover.PlanKind).Number, a.tellsPolicy())
			continue
		}
		a.send(k.to, ack, encode(ackBody{Answer: k.at, Digest: d, Policy: a.tellsPolicy()}), now)
	}
	a.acks = a.acks[n:]
}

// lacks asks another node for what it has and this one doesn't.
func (a *Agent) lacks(from int, d agree.Digest, now time.Duration) {
	kinds, err := a.follow.Lacks(d)
	if err != nil {
		a.o.Log("fleet_log_conflict", "from", a.o.List.Node(from).Name, "error", err.Error())
		return
	}
	if len(kinds) > 0 {
		a.send(from, fetch, encode(kinds), now)
	}
}

func (a *Agent) give(to int, k agree.Kind, now time.Duration) {
	if e := a.follow.Newest(k); e.Number > 0 {
		a.send(to, give, encode(giveBody{Log: a.follow.Log(), Entry: e}), now)
	}
}

// take takes an entry in and passes it on: a head to the nodes that tell it, the one that leads to the heads.
func (a *Agent) take(log uint64, e agree.Entry, from int, now time.Duration) {
	taken, err := a.follow.Take(log, e)
	if err != nil {
		name := "its own log"
		if from >= 0 {
			name = a.o.List.Node(from).Name
		}
		a.o.Log("fleet_log_conflict", "from", name, "error", err.Error())
		return
	}
	if !taken {
		return
	}
	a.dirty = true
	switch e.Kind {
	case failover.PlanKind:
		p, err := failover.DecodePlan(e.Data)
		if err != nil {
			a.o.Log("fleet_plan_unreadable", "number", e.Number, "error", err.Error())
			return
		}
		a.knows.Add(e.Number, p, now)
		if a.planner != nil {
			a.planner.Newest(e.Number, p, now)
		}
	case failover.OrdersKind:
		if o, err := failover.DecodeOrders(e.Data); err == nil && a.planner != nil {
			a.planner.Order(o)
		}
		a.o.Log("fleet_orders_taken", "number", e.Number)
	}
	body := encode(giveBody{Log: log, Entry: e})
	for _, to := range a.below(now) {
		if to != from {
			a.send(to, give, body, now)
		}
	}
	a.goBy(now)
}

// adopt has the node go by a plan that its disk has: after a crash it must not go by an older one than it told others of.
func (a *Agent) adopt(kept []agree.Entry, now time.Duration) {
	for _, e := range kept {
		a.adoptPolicy(e)
		if e.Kind != failover.PlanKind || e.Number <= a.number {
			continue
		}
		p, err := failover.DecodePlan(e.Data)
		if err != nil {
			continue // told when it came
		}
		a.plan, a.number, a.changed = p, e.Number, true
		a.o.Log("fleet_plan_taken", "number", e.Number, "digest", fmt.Sprintf("%016x", e.Digest()), "why", p.Why, "plan", e.Data)
	}
	a.goBy(now)
}

// below are the nodes that wait for this one's word: those that send it evidence, and for the one that leads the heads as well.
func (a *Agent) below(now time.Duration) (all []int) {
	for i, t := range a.told {
		if i != a.o.Self && now-t.at <= heardFor {
			all = append(all, i)
		}
	}
	if a.planner != nil {
		for i, p := range a.peers {
			if p.newest[sum] > 0 && now-p.at <= heardFor {
				all = append(all, i)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// goBy settles which mode this node is in.
func (a *Agent) goBy(now time.Duration) {
	m := failover.Alone
	switch {
	case a.plan != nil && now < a.lease:
		m = failover.Planned
	case a.plan != nil:
		m = failover.Ground
	}
	if m != a.mode || a.changed {
		a.changed = true
		if m != a.mode {
			a.o.Log("fleet_mode", "mode", m.String(), "plan", a.number)
		}
		a.mode = m
	}
}

// work carries out what the voter has to do, as far as the disk allows.
func (a *Agent) work(now time.Duration) {
	for range 64 {
		if a.saving != nil {
			return
		}
		if a.voter != nil {
			if rec, ok := a.voter.Fold(); ok {
				rec.Newest = a.follow.All()
				a.saving = &saving{rec: rec, whole: true}
				return
			}
			if rec, _, ok := a.voter.Ready(); ok {
				if !rec.Empty() {
					a.saving = &saving{rec: rec, ofVoter: true}
					return
				}
				a.kept(now)
				continue
			}
			if err := a.voter.Broken(); err != nil {
				a.o.Log("fleet_voter_broken", "error", err.Error())
				a.voter = nil
			}
		}
		if a.dirty {
			a.dirty = false
			a.saving = &saving{rec: agree.Record{Log: a.follow.Log(), Newest: a.follow.All()}}
		}
		return
	}
}

// Save gives the record that must be on disk next; whole says that it replaces all others. Kept is to be called when it is there.
func (a *Agent) Save() (rec agree.Record, whole, ok bool) {
	if a.saving == nil {
		return rec, false, false
	}
	return a.saving.rec, a.saving.whole, true
}

// Kept says that the record of Save is on disk.
func (a *Agent) Kept(now time.Duration) {
	if s := a.saving; s != nil {
		a.saving = nil
		a.adopt(s.rec.Newest, now)
		if s.ofVoter && a.voter != nil {
			a.kept(now)
		}
	}
	a.work(now)
}

func (a *Agent) kept(now time.Duration) {
	out, decided := a.voter.Kept()
	for _, m := range out {
		if m.To >= 0 && m.To < len(a.o.List.Voters()) {
			a.send(a.o.List.Voters()[m.To], raftWord, m.Data, now)
		}
	}
	if s := a.voter.State(); s.Log != 0 {
		for _, k := range sortedKinds(s.Newest) {
			if e := s.Newest[k]; e.Number > a.follow.Newest(k).Number {
				a.take(s.Log, e, -1, now)
			}
		}
	}
	a.committed()
	for _, d := range decided {
		if a.planner != nil {
			a.o.Log("fleet_decided", "id", d.ID, "number", d.Number, "taken", d.Taken)
		}
	}
	if a.planner != nil {
		a.acknowledge(now)
	}
}

func sortedKinds(m map[agree.Kind]agree.Entry) (all []agree.Kind) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// Leads says whether this node makes the plans now, as far as it knows.
func (a *Agent) Leads() bool { return a.planner != nil && a.voter != nil && a.voter.Leads() }

// Mode is what this node goes by, and by which plan.
func (a *Agent) Mode() (failover.Mode, uint64) { return a.mode, a.number }
