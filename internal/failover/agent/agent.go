package agent

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"spurwinch/choice"
	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

// suspendThreshold is the time between two ticks above which this process, or its machine, was suspended.
const suspendThreshold = time.Second

// Errors of New, which the node's operator has to mend in its settings.
var (
	ErrNotListed = errors.New("this node is not in the list")
	ErrNoVoter   = errors.New("this program does not vote")
)

// Options are what an agent is made of.
type Options struct {
	List       *membership.List
	Self       int // this node's number in List
	Key        []byte
	Rules      failover.Rules
	Classes    []string // of the load balancer, by index
	RetryAfter time.Duration
	Records    []consensus.Record // what the disk has, oldest first
	Seed       uint64
	Log        func(event string, fields ...any) // names and values in turn
	Voter      NewVoter                          // nil: this program doesn't vote
	Policy     *Policy                           // nil: each node uses its own files
}

// Agent is one node's part in its fleet. Its methods belong to one goroutine; now is the node's own monotonic time.
type Agent struct {
	options    Options
	listDigest uint32
	zone       string
	rng        *rand.Rand

	incarnation uint32 // drawn at the start of this process
	clock       uint64 // of the last message sent
	peers       map[int]*peer
	outbox      []Message

	lastTick time.Duration
	schedule schedule
	detector *membership.FailureDetector

	follower      *consensus.Follower
	unsaved       bool           // the follower has entries that the disk doesn't have yet
	pendingRecord *pendingRecord // that the disk is writing; nil: none

	observed choice.Observations   // since the last evidence was sent
	evidence map[int]*nodeEvidence // of this zone's nodes, as one of its aggregators

	voter            Voter             // nil: this node doesn't vote
	planner          *failover.Planner // nil: this node doesn't lead
	pendingAcks      []pendingAck      // summaries that wait for a confirmation, oldest first
	leader           leaderContact
	grantsValidUntil time.Duration // end of the grants into other zones, by this node's clock

	leaseOwner  *failover.LeaseOwner
	leaseHolder leaseHolder

	localPolicy     localPolicy
	committedPolicy committedPolicy
	rollout         rollout

	mode            failover.Mode
	plan            *failover.Plan // on this node's disk; nil: none
	planNumber      uint64
	planHistory     failover.PlanHistory
	zonePlanChanged bool // since ZonePlan was called last

	// Counts are for operators.
	Counts Counts
}

// Counts are an agent's messages, for operators.
type Counts struct {
	Sent      uint64 `json:"Sent"`
	SentBytes uint64 `json:"SentBytes"`
	Accepted  uint64 `json:"Taken"`   // received and handled
	Foreign   uint64 `json:"Foreign"` // of a fleet with another list of nodes
	Corrupt   uint64 `json:"Spoilt"`  // corrupt, of another key, or not for this node
	Late      uint64 `json:"Late"`    // replayed, older than one before, or of a process that has ended
	Dropped   uint64 `json:"Dropped"` // for want of space in the outbox
}

// New starts a node's part in its fleet.
func New(options Options, now time.Duration) (*Agent, error) {
	if options.Self < 0 || options.Self >= options.List.Len() {
		return nil, ErrNotListed
	}
	if options.Log == nil {
		options.Log = func(string, ...any) {}
	}
	rng := rand.New(rand.NewPCG(options.Seed, 9))
	agent := &Agent{
		options:         options,
		listDigest:      digestOf(options.List),
		zone:            options.List.Node(options.Self).Zone,
		rng:             rng,
		incarnation:     rng.Uint32() | 1,
		peers:           map[int]*peer{},
		lastTick:        now,
		detector:        membership.NewFailureDetector(options.List, options.Self, now),
		follower:        restoreFollower(options.Records),
		evidence:        map[int]*nodeEvidence{},
		leaseOwner:      failover.NewLeaseOwner(now),
		leaseHolder:     newLeaseHolder(now),
		localPolicy:     localPolicy{state: &policy.State{}},
		committedPolicy: committedPolicy{state: &policy.State{}},
		rollout:         rollout{statuses: map[int]policy.MemberStatus{}},
		zonePlanChanged: true,
	}
	if err := agent.startVoter(); err != nil {
		return nil, err
	}
	agent.schedule = newSchedule(agent.rng, now)
	agent.adoptPolicy(agent.follower.Newest(policy.Kind))
	agent.restorePlan(now)
	agent.updateMode(now)
	return agent, nil
}

// digestOf identifies a list of nodes.
func digestOf(list *membership.List) uint32 {
	digest := xxhash.New()
	for i := range list.Len() {
		node := list.Node(i)
		_, _ = fmt.Fprintf(digest, "%q %q %q %v\n", node.Name, node.Zone, node.Region, node.Voter) // a hash never fails
	}
	return uint32(digest.Sum64())
}

// UpdateClasses replaces the load balancer's classes after a change of settings.
func (a *Agent) UpdateClasses(classes []string) {
	a.options.Classes = classes
	a.zonePlanChanged = true
}

// Tick does what is due at a time. It is to be called about every consensus.TickInterval.
func (a *Agent) Tick(now time.Duration) {
	if now-a.lastTick > suspendThreshold { // what this process knew before it was suspended may not be so any more
		a.options.Log("fleet_process_suspended", "for", (now - a.lastTick).Round(time.Millisecond).String())
		a.planner = nil
		a.pendingAcks = nil
	}
	a.lastTick = now
	a.detector.Tick(now)
	a.tickVoter(now)
	if isDue(&a.schedule.heartbeat, membership.HeartbeatInterval, now) {
		for _, watcher := range a.options.List.Watchers(a.options.Self) {
			a.send(watcher, kindHeartbeat, nil, now)
		}
	}
	if isDue(&a.schedule.summary, summaryInterval, now) {
		a.sendSummary(now)
	}
	a.tickLeader(now)
	a.expireLeases(now)
	a.updateMode(now)
	a.advance(now)
}
