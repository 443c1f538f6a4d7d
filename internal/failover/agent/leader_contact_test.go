package agent

import (
	"testing"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
)

// modeAt returns the agent's mode at a time.
func modeAt(agent *Agent, now time.Duration) failover.Mode {
	agent.updateMode(now)
	mode, _ := agent.Mode()
	return mode
}

// confirmLeaderByAck has an aggregator reply to evidence that was sent at sentAt. In the reply, age is the time since
// the leader was last confirmed.
func confirmLeaderByAck(agent *Agent, sentAt, now, age time.Duration, plan uint64) {
	agent.peer(1).pending = map[uint64]time.Duration{42: sentAt}
	ack := evidenceAck{EvidenceClock: 42, LeaderAge: int64(age / time.Microsecond), LeaderPlan: plan}
	agent.dispatch(header{kind: kindEvidenceAck, from: 1}, encode(ack), false, now)
}

// TestGrantsExpireWithoutConfirmedLeader checks that a node uses grants in other zones only for the plan's
// GrantLifetime after a time, by the node's own clock, at which the leader certainly led. The time that messages took
// shortens the use of the grants.
func TestGrantsExpireWithoutConfirmedLeader(t *testing.T) {
	agent := newTestAgent(t)
	plan := &failover.Plan{
		Zones:          []failover.Zone{{Name: "z", Nodes: 2, Listed: 2, Capacity: 5, Demand: []float32{}}},
		AdmitFractions: [][]int{{}},
		EarlierLoads:   [][]float32{{0}},
		GrantLifetime:  10,
	}
	agent.acceptEntry(7, consensus.Entry{Index: 3, Kind: failover.PlanKind, Data: plan.Encode()}, 1, time.Second)
	if _, number := agent.Mode(); number != 0 {
		t.Errorf("plan in effect before it is on disk: got %d, want 0", number)
	}
	agent.advance(time.Second)
	agent.Persisted(time.Second)
	if mode := modeAt(agent, 2*time.Second); mode != failover.OwnZoneOnly {
		t.Errorf("mode without a leader: got %v, want %v", mode, failover.OwnZoneOnly)
	}
	confirmLeaderByAck(agent, 2*time.Second, 5*time.Second, time.Second, 3) // counts as confirmed at 1 s
	for at, want := range map[time.Duration]failover.Mode{
		5 * time.Second:          failover.Planned,
		10900 * time.Millisecond: failover.Planned,
		11100 * time.Millisecond: failover.OwnZoneOnly,
	} {
		if mode := modeAt(agent, at); mode != want {
			t.Errorf("mode at %v: got %v, want %v", at, mode, want)
		}
	}
	confirmLeaderByAck(agent, 20*time.Second, 21*time.Second, 0, 4) // the leader has a newer plan than this node
	if mode := modeAt(agent, 21*time.Second); mode != failover.OwnZoneOnly {
		t.Errorf("mode when the leader has a newer plan: got %v, want %v", mode, failover.OwnZoneOnly)
	}
	confirmLeaderByAck(agent, 20*time.Second, 21*time.Second, -time.Microsecond, 3)
	if mode := modeAt(agent, 21*time.Second); mode != failover.OwnZoneOnly {
		t.Errorf("mode after a reply without a leader: got %v, want %v", mode, failover.OwnZoneOnly)
	}
}
