package agent

import (
	"testing"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
)

// modeAt is the mode that the agent is in at a time.
func modeAt(agent *Agent, now time.Duration) failover.Mode {
	agent.updateMode(now)
	mode, _ := agent.Mode()
	return mode
}

// confirmLeaderBy has an aggregator answer evidence: the leader was there for the last time age before the evidence
// was sent.
func confirmLeaderBy(agent *Agent, sentAt, now, age time.Duration, plan uint64) {
	agent.peer(1).pending = map[uint64]time.Duration{42: sentAt}
	ack := evidenceAck{EvidenceClock: 42, LeaderAge: int64(age / time.Microsecond), LeaderPlan: plan}
	agent.dispatch(header{kind: kindEvidenceAck, from: 1}, encode(ack), false, now)
}

// TestGrantsAreValidWhileTheLeaderIsConfirmed holds how long a node goes by grants into other zones: as long as the
// leader was surely there, by this node's own clock, and the age of the message is counted
// against it.
func TestGrantsAreValidWhileTheLeaderIsConfirmed(t *testing.T) {
	agent := newTestAgent(t)
	plan := &failover.Plan{
		Zones:          []failover.Zone{{Name: "z", Nodes: 2, Listed: 2, Capacity: 5, Demand: []float32{}}},
		AdmitFractions: [][]int{{}},
		EarlierLoads:   [][]float32{{0}},
		GrantLifetime:  10,
	}
	agent.acceptEntry(7, consensus.Entry{Index: 3, Kind: failover.PlanKind, Data: plan.Encode()}, 1, time.Second)
	if _, number := agent.Mode(); number != 0 {
		t.Errorf("goes by plan %d before its disk has it, wanted none", number)
	}
	agent.advance(time.Second)
	agent.Persisted(time.Second)
	if mode := modeAt(agent, 2*time.Second); mode != failover.OwnZoneOnly {
		t.Errorf("without a leader: mode %v, wanted %v", mode, failover.OwnZoneOnly)
	}
	confirmLeaderBy(agent, 2*time.Second, 5*time.Second, time.Second, 3) // the leader was there at 1 s
	for at, want := range map[time.Duration]failover.Mode{
		5 * time.Second:          failover.Planned,
		10900 * time.Millisecond: failover.Planned,
		11100 * time.Millisecond: failover.OwnZoneOnly,
	} {
		if mode := modeAt(agent, at); mode != want {
			t.Errorf("at %v: mode %v, wanted %v", at, mode, want)
		}
	}
	confirmLeaderBy(agent, 20*time.Second, 21*time.Second, 0, 4) // there is a newer plan, which this node doesn't have
	if mode := modeAt(agent, 21*time.Second); mode != failover.OwnZoneOnly {
		t.Errorf("by an old plan, when a newer one is known: mode %v, wanted %v", mode, failover.OwnZoneOnly)
	}
	confirmLeaderBy(agent, 20*time.Second, 21*time.Second, -time.Microsecond, 3)
	if mode := modeAt(agent, 21*time.Second); mode != failover.OwnZoneOnly {
		t.Errorf("by an aggregator that knows no leader: mode %v, wanted %v", mode, failover.OwnZoneOnly)
	}
}
