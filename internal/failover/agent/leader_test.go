package agent

import (
	"math/rand/v2"
	"testing"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
)

// leadingVoter is a voter that is always the leader and records the plans proposed to it. It commits nothing itself.
type leadingVoter struct {
	Voter // nil: methods that are not overridden must not be called
	plans []*failover.Plan
}

func (v *leadingVoter) Tick()                     {}
func (v *leadingVoter) IsLeader() bool            { return true }
func (v *leadingVoter) Term() uint64              { return 1 }
func (v *leadingVoter) ConfirmLeadership() uint64 { return 1 }
func (v *leadingVoter) Ready() (record consensus.Record, replacesAll, ok bool) {
	return consensus.Record{}, false, false
}

func (v *leadingVoter) Compact() (record consensus.Record, ok bool) { return consensus.Record{}, false }
func (v *leadingVoter) Err() error                                  { return nil }
func (v *leadingVoter) Result(string) (result consensus.ProposalResult, ok bool) {
	return consensus.ProposalResult{}, false
}

// Propose records a proposed plan and ignores other proposals.
func (v *leadingVoter) Propose(proposal consensus.Proposal) error {
	if proposal.Kind != failover.PlanKind {
		return nil
	}
	plan, err := failover.DecodePlan(proposal.Data)
	if err != nil {
		return err
	}
	v.plans = append(v.plans, plan)
	return nil
}

// newLeader returns an agent whose voter is the leader, in a fleet with a policy.
func newLeader(t *testing.T) (*Agent, *leadingVoter) {
	t.Helper()
	list, err := membership.NewList([]membership.Node{{Name: "a", Zone: "y"}, {Name: "v", Zone: "z", Voter: true}})
	if err != nil {
		t.Fatal(err)
	}
	voter := &leadingVoter{}
	class := policy.Class{Name: "c", Priority: 1}
	agent, err := New(Options{
		List:    list,
		Self:    list.Index("v"),
		Key:     []byte("key"),
		Rules:   failover.Rules{UtilizationLimit: 0.85, GrantLifetime: 10 * time.Second},
		Classes: []string{"c"},
		Voter:   func(int, int, []consensus.Record, *rand.Rand) (Voter, error) { return voter, nil },
		Policy: &Policy{Read: func([]byte) (*policy.Document, error) {
			return &policy.Document{Classes: []policy.Class{class}}, nil
		}},
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return agent, voter
}

// healthySummary returns a summary with the evidence of one node, which finds the servers of its own zone healthy.
func healthySummary(node int, zone string) failover.EvidenceSummary {
	return failover.EvidenceSummary{
		Zone:     zone,
		Classes:  []string{"c"},
		Arrived:  []float32{1},
		Rejected: []float32{0},
		Zones: []failover.ZoneEvidence{{
			Zone: zone, Nodes: 1, Ready: 10, Capacity: 10, Load: 1, Cost: 0.1, Attempts: 10, OwnLoad: []float32{10},
		}},
		Nodes: []failover.NodeStatus{{Node: node}},
	}
}

// runUntil calls the agent's Tick at each tick from one time to another. The agent receives evidence from all zones,
// and its records reach the disk at once.
func runUntil(agent *Agent, from, to time.Duration) {
	list := agent.options.List
	for now := from; now < to; now += consensus.TickInterval {
		for node := range list.Len() {
			agent.observeSummary(node, healthySummary(node, list.Node(node).Zone), false, now)
		}
		agent.Tick(now)
		for {
			if _, _, ok := agent.NextRecord(); !ok {
				break
			}
			agent.Persisted(now)
		}
		agent.TakeMessages()
	}
}

// TestDrainOutlastsPolicyChange checks that a zone that operators have drained stays drained when a policy change
// replaces the planner by one with new rules.
func TestDrainOutlastsPolicyChange(t *testing.T) {
	agent, voter := newLeader(t)
	orders := failover.OperatorOrders{Drained: []string{"y"}}
	ordersEntry := consensus.Entry{Index: 1, Kind: failover.OperatorOrdersKind, ID: "drain", Data: orders.Encode()}
	agent.acceptEntry(1, ordersEntry, fromOwnVoter, 0)
	const changed = 10 * time.Second
	runUntil(agent, 0, changed)
	checkDrained(t, "before the policy changed", voter.plans)

	state := &policy.State{Number: 1, LastNumber: 1, Documents: []policy.VersionedDocument{{Number: 1}}}
	entry := consensus.Entry{Index: 2, Kind: policy.Kind, ID: "policy", Data: state.Encode()}
	agent.acceptEntry(1, entry, fromOwnVoter, changed)
	voter.plans = nil
	runUntil(agent, changed, 2*changed)
	checkDrained(t, "after the policy changed", voter.plans)
}

// checkDrained checks that zone y is drained in the newest plan.
func checkDrained(t *testing.T, when string, plans []*failover.Plan) {
	t.Helper()
	if len(plans) == 0 {
		t.Fatalf("plans proposed %s: got none, want at least one", when)
	}
	for _, zone := range plans[len(plans)-1].Zones {
		if zone.Name == "y" && zone.State != failover.Drained {
			t.Errorf("state of zone y %s: got %v, want %v", when, zone.State, failover.Drained)
		}
	}
}
