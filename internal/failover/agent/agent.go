// Package agent is a node's part in its fleet: it tells what it sees, sums what others of its zone see, votes where it is a voter, makes
// plans where it leads, and says what the module is to go by. All of it is one state machine: messages, time and what the disk said go
// in; messages, records and plans come out. The laboratory plays hundreds of them in simulated time, the node plays one on sockets.
package agent

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurwinch/choice"
	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

const (
	lookEvery          = 100 * time.Millisecond // at what the module sees: what is refused now can be lent room for now
	evidenceEvery      = 500 * time.Millisecond
	sumEvery           = 500 * time.Millisecond
	planStep           = 250 * time.Millisecond
	ackEvery           = 200 * time.Millisecond
	aggregatorsPerZone = 2               // that a node sends its evidence
	deafAfter          = 3 * time.Second // an aggregator that has not answered so long is passed over
	retryAggregator    = 5 * time.Second
	staleAfter         = 3 * time.Second // evidence that may have been on its way so long says nothing of now
	heardFor           = 2500 * time.Millisecond
	processGone        = 2 * time.Second // a node's process that is not heard so long may have been followed by another
	stoodStill         = time.Second
	mostSteps          = 64   // of the voter at one callback
	mostAsked          = 32   // messages to a peer whose answers are awaited
	mostAcks           = 4096 // sums that wait for a confirmation
	mostOut            = 4096 // messages that wait to be sent, which the node does after each callback; what comes on top is lost, as on the way
)

// Options are what an agent stands on.
type Options struct {
	List       *membership.List
	Self       int
	Key        []byte
	Rules      failover.Rules
	Classes    []string // of the module, by index
	RetryAfter time.Duration
	Records    []agree.Record // what the disk has, oldest first
	Seed       uint64
	Log        func(event string, fields ...any) // names and values in turn
	Voter      NewVoter                          // nil: this program doesn't vote
	Policy     *Policy                           // nil: each node goes by its own files
}

// Voter is one of those who agree on the log: internal/agree/voter.
type Voter interface {
	Tick()
	Receive(from int, data []byte) error
	Ready() (rec agree.Record, whole, ok bool)
	Kept() (out []agree.Message, decided []agree.ProposalResult)
	Fold() (rec agree.Record, ok bool)
	Propose(p agree.Proposal) error
	Confirm() (call uint64)
	Confirmed() uint64
	State() agree.State
	Ended(id string) (agree.ProposalResult, bool)
	Leads() bool
	Leader() int
	Term() uint64
	Broken() error
}

// NewVoter makes voter number self of n with what its disk kept.
type NewVoter func(self, n int, kept []agree.Record, rng *rand.Rand) (Voter, error)

// Agent is one node's part. Its methods belong to one goroutine; now is the node's own monotonic time.
type Agent struct {
	options    Options
	listDigest uint32
	zone       string
	rng        *rand.Rand
	process    uint32
	clock      uint64
	peers      map[int]*peer
	out        []Message
	follower   *agree.Follower
	unsaved    bool // entries that the disk doesn't have yet
	watch      *membership.Watch

	voter   Voter
	planner *failover.Planner
	saving  *saving
	acks    []pendingAck // sums that wait for a confirmation, oldest first
	last    time.Duration
	next    struct{ tick, beat, look, evidence, sum, plan, ack time.Duration }
	news    choice.Observations // since the last evidence

	reports     map[int]*report // evidence of this zone's nodes, as one that sums it
	leaderSeen  time.Duration   // when the one that leads was surely there, by this node's clock
	leaderKnown bool            // leaderSeen is known
	leaderPlan  uint64          // its newest plan then
	lease       time.Duration   // crossings are allowed until then

	lender *failover.LeaseOwner
	loans  map[string]*loaned // by zone
	had    map[string]float64 // told load that stood here of late, at most, by class
	stay   float64            // told load of classes that must stay in the region, and have no place in the own zone
	saw    time.Duration      // when the module last told what it saw

	pol policyPart

	mode        failover.Mode
	plan        *failover.Plan
	planNumber  uint64
	changed     bool
	planHistory failover.PlanHistory
	Counts      Counts
}

// Counts are for operators.
type Counts struct {
	Sent      uint64 `json:"Sent"`
	SentBytes uint64 `json:"SentBytes"`
	Taken     uint64 `json:"Taken"`
	Foreign   uint64 `json:"Foreign"`
	Spoilt    uint64 `json:"Spoilt"`
	Late      uint64 `json:"Late"`
	Dropped   uint64 `json:"Dropped"`
}

// New begins a node's part in its fleet.
func New(o Options, now time.Duration) (*Agent, error) {
	if o.Self < 0 || o.Self >= o.List.Len() {
		return nil, fmt.Errorf("this node is not in the list")
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	rng := rand.New(rand.NewPCG(o.Seed, 9))
	a := &Agent{options: o, zone: o.List.Node(o.Self).Zone, rng: rng, peers: map[int]*peer{}, reports: map[int]*report{}, last: now,
		lender: failover.NewLeaseOwner(now), loans: map[string]*loaned{}, had: map[string]float64{}, saw: now, changed: true}
	a.listDigest, a.process = digestOf(o.List), rng.Uint32()|1
	a.follower = restoreFollower(o.Records)
	a.watch = membership.NewWatch(o.List, o.Self, now)
	if err := a.startVoter(); err != nil {
		return nil, err
	}
	a.schedule(now)
	a.pol.init()
	a.adoptPolicy(a.follower.Newest(policy.Kind))
	a.restorePlan(now)
	a.updateMode(now)
	return a, nil
}

// restoreFollower begins with the newest entries that the disk has.
func restoreFollower(kept []agree.Record) *agree.Follower {
	var log uint64
	var entries []agree.Entry
	for _, r := range kept {
		if len(r.Newest) > 0 {
			entries = r.Newest
		}
		if r.Log != 0 {
			log = r.Log
		}
	}
	return agree.NewFollower(log, entries)
}

// startVoter begins the node's vote, if it is a voter.
func (a *Agent) startVoter() error {
	o := a.options
	place := o.List.Voter(o.Self)
	if place < 0 {
		return nil
	}
	if o.Voter == nil {
		return fmt.Errorf("%s is a voter, and this program does not vote", o.List.Node(o.Self).Name)
	}
	v, err := o.Voter(place, len(o.List.Voters()), o.Records, a.rng)
	if err != nil {
		return err
	}
	a.voter = v
	return nil
}

// schedule draws when what is done again and again is done first: nodes that start at once are not to send at once.
func (a *Agent) schedule(now time.Duration) {
	spread := func(every time.Duration) time.Duration { return now + time.Duration(a.rng.Int64N(int64(every))) }
	a.next.tick = now
	a.next.beat = spread(membership.BeatEvery)
	a.next.look = spread(lookEvery)
	a.next.evidence = spread(evidenceEvery)
	a.next.sum = spread(sumEvery)
	a.next.plan = spread(planStep)
	a.next.ack = now
}

// restorePlan has the node go by the newest plan that its disk has.
func (a *Agent) restorePlan(now time.Duration) {
	e := a.follower.Newest(failover.PlanKind)
	if e.Number == 0 {
		return
	}
	if p, err := failover.DecodePlan(e.Data); err == nil {
		a.plan, a.planNumber = p, e.Number
		a.planHistory.Add(e.Number, p, now)
	}
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

// ZonePlan is what the module is to go by, where that has changed since the last call.
func (a *Agent) ZonePlan() (choice.ZonePlan, bool) {
	if !a.changed {
		return choice.ZonePlan{}, false
	}
	a.changed = false
	return failover.ZonePlanFor(a.mode, a.plan, a.options.Self, a.zone, a.options.Classes, a.options.RetryAfter, failover.LeasedCapacity{ByZone: a.lent(), InRegionOnly: a.stay}), true
}

// UpdateClasses takes in the module's classes after a change of settings.
func (a *Agent) UpdateClasses(classes []string) { a.options.Classes, a.changed = classes, true }

// Tick tells the time; it is called about each agree.Tick.
func (a *Agent) Tick(now time.Duration) {
	if now-a.last > stoodStill { // this process was stopped, or its machine: what it knew to be so may not be so any more
		a.options.Log("fleet_stood_still", "for", (now - a.last).Round(time.Millisecond).String())
		a.planner, a.acks = nil, nil
	}
	a.last = now
	a.watch.Tick(now)
	a.tickVoter(now)
	if a.isDue(&a.next.beat, membership.BeatEvery, now) {
		for _, w := range a.options.List.Watchers(a.options.Self) {
			a.send(w, beat, nil, now)
		}
	}
	if a.isDue(&a.next.sum, sumEvery, now) {
		a.sendSum(now)
	}
	a.runLeader(now)
	a.loansEnd(now)
	a.updateMode(now)
	a.advance(now)
}

// tickVoter gives the voter its ticks; those that were missed while the process stood still are not made up for.
func (a *Agent) tickVoter(now time.Duration) {
	for ; a.next.tick <= now; a.next.tick += agree.Tick {
		if now-a.next.tick > stoodStill {
			a.next.tick = now
		}
		if a.voter != nil {
			a.voter.Tick()
		}
	}
}

func (a *Agent) isDue(at *time.Duration, every, now time.Duration) bool {
	if now < *at {
		return false
	}
	*at = max(*at+every, now+every/2)
	return true
}

// updateMode settles which mode this node is in.
func (a *Agent) updateMode(now time.Duration) {
	m := failover.Standalone
	switch {
	case a.plan != nil && now < a.lease:
		m = failover.Planned
	case a.plan != nil:
		m = failover.OwnZoneOnly
	}
	if m != a.mode || a.changed {
		a.changed = true
		if m != a.mode {
			a.options.Log("fleet_mode", "mode", m.String(), "plan", a.planNumber)
		}
		a.mode = m
	}
}

// Leads says whether this node makes the plans now, as far as it knows.
func (a *Agent) Leads() bool { return a.planner != nil && a.voter != nil && a.voter.Leads() }

// Mode is what this node goes by, and by which plan.
func (a *Agent) Mode() (failover.Mode, uint64) { return a.mode, a.planNumber }
