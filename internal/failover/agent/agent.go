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

// suspendThreshold is the time between two ticks above which the agent assumes that this process or its machine was
// suspended.
const suspendThreshold = time.Second

// Errors that New returns if the operator has to correct the node's settings.
var (
	ErrNotListed = errors.New("this node is not in the list of nodes")
	ErrNoVoter   = errors.New("this program cannot run a voter")
)

// Options configures an agent.
type Options struct {
	List       *membership.List
	Self       int // this node's number in List
	Key        []byte
	Rules      failover.Rules
	Classes    []string // names of the load balancer's classes, by index
	RetryAfter time.Duration
	Records    []consensus.Record // records read from disk, oldest first
	Seed       uint64
	Log        func(event string, fields ...any) // fields alternates names and values
	Voter      NewVoter                          // nil: this program can't run a voter
	Policy     *Policy                           // nil: each node uses the policy of its own files
}

// Agent is a node's state machine in its fleet. One goroutine must call all of its methods. Their parameter now is the
// current time of the node's own monotonic clock.
type Agent struct {
	options    Options
	listDigest uint32
	zone       string
	rng        *rand.Rand

	incarnation uint32 // random number that identifies this process, drawn at its start
	clock       uint64 // clock of the last message sent
	peers       map[int]*peer
	outbox      []Message

	lastTick time.Duration
	schedule schedule
	detector *membership.FailureDetector

	follower      *consensus.Follower
	unsaved       bool           // the follower has entries that are not on disk yet
	pendingRecord *pendingRecord // record that the caller has to write to disk; nil: none

	observed choice.Observations   // observations since the last evidence was sent
	evidence map[int]*nodeEvidence // evidence of this zone's nodes, if this node is one of its aggregators

	voter            Voter             // nil: this node is not a voter
	planner          *failover.Planner // nil: this node is not the leader
	pendingAcks      []pendingAck      // summaries to acknowledge once leadership is confirmed, oldest first
	leader           leaderContact
	grantsValidUntil time.Duration // when the grants in other zones expire, by this node's clock

	leaseOwner  *failover.LeaseOwner
	leaseHolder leaseHolder

	localPolicy     localPolicy
	committedPolicy committedPolicy
	rollout         rollout

	mode            failover.Mode
	plan            *failover.Plan // newest plan on this node's disk; nil: none
	planNumber      uint64
	planHistory     failover.PlanHistory
	zonePlanChanged bool // the load balancer's plan has changed since the last call of ZonePlan

	// Counts holds the numbers of messages, for operators.
	Counts Counts
}

// Counts holds the numbers of an agent's messages, for operators.
type Counts struct {
	Sent      uint64 `json:"Sent"`
	SentBytes uint64 `json:"SentBytes"`
	Accepted  uint64 `json:"Taken"`   // received and handled
	Foreign   uint64 `json:"Foreign"` // received from a fleet with another list of nodes
	Corrupt   uint64 `json:"Spoilt"`  // corrupt, authenticated with another key, or not for this node
	Late      uint64 `json:"Late"`    // replayed, older than an earlier message, or sent by a process that has ended
	Dropped   uint64 `json:"Dropped"` // not sent because the outbox was full
}

// New creates an agent that continues from the records read from disk.
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

// digestOf returns a hash that identifies a list of nodes.
func digestOf(list *membership.List) uint32 {
	digest := xxhash.New()
	for i := range list.Len() {
		node := list.Node(i)
		_, _ = fmt.Fprintf(digest, "%q %q %q %v\n", node.Name, node.Zone, node.Region, node.Voter) // a hash never fails
	}
	return uint32(digest.Sum64())
}

// UpdateClasses replaces the names of the load balancer's classes after a change of settings.
func (a *Agent) UpdateClasses(classes []string) {
	a.options.Classes = classes
	a.zonePlanChanged = true
}

// Tick does the periodic work that is due. The caller must call it about every consensus.TickInterval.
func (a *Agent) Tick(now time.Duration) {
	if now-a.lastTick > suspendThreshold { // the leader's state from before the suspension may be out of date
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
