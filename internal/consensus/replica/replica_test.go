package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"spurwinch/internal/consensus"
)

// fault is an event that a schedule injects: a fault of one replica or of the network, its end, or a proposal.
type fault string

const (
	faultCrash     fault = "crash"
	faultStall     fault = "stall"
	faultPartition fault = "partition"
	faultHeal      fault = "heal"
	faultDiskLost  fault = "disk lost"
	faultPropose   fault = "propose"
)

// TestReplicasAgreeUnderFaults runs random schedules of faults. It checks that no index gets two contents, that the
// newest index of a replica never decreases, that no proposal gets two different results, that no result is lost, and
// that the log makes progress after the faults end.
func TestReplicasAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, rapid.Uint64().Draw(t, "seed"))
		simulation.loss = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "loss")
		simulation.run(60)
		faults := &schedule{simulation: simulation}
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			faults.injectFault()
			simulation.run(simulation.rng.IntN(60))
		}
		simulation.partition = 0
		simulation.loss = 0
		simulation.run(400)
		checkProgress(t, simulation)
	})
}

// schedule injects random faults into a simulation.
type schedule struct {
	*simulation
	proposed  int
	disksLost int
}

// injectFault injects one random fault.
func (s *schedule) injectFault() {
	node := s.replicas[rapid.IntRange(0, simulatedReplicas-1).Draw(s.t, "replica")]
	faults := []fault{faultCrash, faultStall, faultPartition, faultHeal, faultDiskLost, faultPropose}
	switch rapid.SampledFrom(faults).Draw(s.t, "fault") {
	case faultCrash:
		if s.rng.IntN(2) == 0 && node.pending != nil {
			s.persist(node) // the record is on disk, but no message was sent
		}
		node.pending = nil
		node.downUntil = s.now + 1 + s.rng.IntN(40)
	case faultStall:
		node.stalledUntil = s.now + 100
	case faultPartition:
		s.partition = 1 + s.rng.IntN(2)
	case faultHeal:
		s.partition = 0
	case faultDiskLost:
		// Only one replica at a time loses its disk, so that a majority always keeps its disks. The next replica loses
		// its disk only after the previous one is a voter again.
		if s.disksLost < 2 && s.allCaughtUp() {
			s.disksLost++
			node.disk = nil
			node.pending = nil
			node.downUntil = s.now + 1
			node.newestIndex = 0
		}
	case faultPropose:
		if leader := s.leader(); leader != nil {
			s.proposed++
			// Proposals that are not accepted or not committed have no effect.
			_ = leader.Propose(consensus.Proposal{
				ID:       fmt.Sprint(s.proposed),
				Kind:     1,
				Replaces: leader.State().Newest[1].Index,
				Data:     []byte{byte(s.proposed)},
			})
		}
	}
}

// checkProgress checks that the leader still knows all returned results, and that all replicas apply a new entry.
func checkProgress(t *rapid.T, simulation *simulation) {
	leader := simulation.leader()
	if leader == nil {
		t.Fatalf("no replica is the leader after the faults")
	}
	for id, before := range simulation.results {
		if result, ok := leader.Result(id); !ok || result != before {
			t.Fatalf("Result of proposal %s: got %+v, %v, want %+v as before", id, result, ok, before)
		}
	}
	last := consensus.Proposal{ID: "last", Kind: 1, Replaces: leader.State().Newest[1].Index, Data: []byte("last")}
	if err := leader.Propose(last); err != nil {
		t.Fatalf("Propose after the faults: %v", err)
	}
	simulation.run(200)
	for i, node := range simulation.replicas {
		if newest := node.replica.State().Newest[1]; string(newest.Data) != "last" {
			simulation.describe()
			t.Fatalf("newest entry of replica %d: got %q at index %d, want \"last\"", i, newest.Data, newest.Index)
		}
	}
}

// TestNewErrors checks the errors for invalid replica numbers and for records that cannot be decoded.
func TestNewErrors(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	unreadable := []byte{0xff}
	for _, test := range []struct {
		name           string
		self, replicas int
		records        []consensus.Record
		want           error
	}{
		{"no replicas", 0, 0, nil, ErrInvalidReplica},
		{"too many replicas", 0, consensus.MaxReplicas + 1, nil, ErrInvalidReplica},
		{"replica number out of range", 3, 3, nil, ErrInvalidReplica},
		{"unreadable snapshot", 0, 1, []consensus.Record{{LogID: 1, Snapshot: unreadable}}, ErrInconsistentRecords},
		{"unreadable hard state", 0, 1, []consensus.Record{{LogID: 1, HardState: unreadable}}, ErrInconsistentRecords},
		{
			"unreadable entry", 0, 1,
			[]consensus.Record{{LogID: 1, Entries: [][]byte{unreadable}}},
			ErrInconsistentRecords,
		},
	} {
		if _, err := New(test.self, test.replicas, test.records, rng); !errors.Is(err, test.want) {
			t.Errorf("%s: New: got error %v, want %v", test.name, err, test.want)
		}
	}
}

// TestNewReturnsErrorWhenRaftPanics makes Raft panic with a commit index beyond the end of the log.
func TestNewReturnsErrorWhenRaftPanics(t *testing.T) {
	hardState := []byte{0x08, 1, 0x18, 9} // term 1, commit 9
	records := []consensus.Record{{Incarnation: 1, LogID: 1, HardState: hardState}}
	_, err := New(0, 1, records, rand.New(rand.NewPCG(1, 1)))
	var cause *PanicError
	if !errors.Is(err, ErrInconsistentRecords) || !errors.As(err, &cause) {
		t.Errorf("New: got error %v, want %v with a PanicError", err, ErrInconsistentRecords)
	}
}

// TestReplicaWithoutLog checks the results of calls to a replica that has no log yet.
func TestReplicaWithoutLog(t *testing.T) {
	replica, err := New(0, 3, nil, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := replica.Propose(consensus.Proposal{ID: "a", Kind: 1}); !errors.Is(err, consensus.ErrNotLeader) {
		t.Errorf("Propose: got error %v, want %v", err, consensus.ErrNotLeader)
	}
	if err := replica.Propose(consensus.Proposal{}); !errors.Is(err, consensus.ErrInvalidProposal) {
		t.Errorf("Propose of an empty proposal: got error %v, want %v", err, consensus.ErrInvalidProposal)
	}
	if err := replica.Receive(1, []byte{0xff}); !errors.Is(err, ErrInvalidMessage) {
		t.Errorf("Receive of an undecodable message: got error %v, want %v", err, ErrInvalidMessage)
	}
	if leader := replica.Leader(); leader != -1 || replica.IsLeader() || replica.Term() != 0 {
		t.Errorf("Leader, IsLeader, Term: got %d, %v, %d, want -1, false and 0",
			leader, replica.IsLeader(), replica.Term())
	}
}

// TestHelloExchangeEndsWithoutLog runs two replicas without a log that wait for a third one. After they have exchanged
// their hellos, they must not send any message until the next tick.
func TestHelloExchangeEndsWithoutLog(t *testing.T) {
	const rounds = 20
	present := newReplicas(t, 2, 3)
	for _, replica := range present {
		replica.Tick()
	}
	var inFlight []message
	for range rounds {
		inFlight = runRound(t, present, inFlight)
	}
	if len(inFlight) > 0 {
		t.Errorf("messages in flight after %d rounds: got %d, want none", rounds, len(inFlight))
	}
	for i, replica := range present {
		got := replica.peers[1-i].incarnation
		if want := present[1-i].incarnation; got != want {
			t.Errorf("incarnation of the peer that replica %d knows: got %x, want %x", i, got, want)
		}
	}
}

// newReplicas creates the first present of replicaCount replicas, with new disks.
func newReplicas(t *testing.T, present, replicaCount int) (replicas []*Replica) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range present {
		replica, err := New(i, replicaCount, nil, rng)
		if err != nil {
			t.Fatal(err)
		}
		persistAll(t, replica)
		replicas = append(replicas, replica)
	}
	return replicas
}

// runRound delivers messages to the present replicas, and returns the messages that they send afterwards.
func runRound(t *testing.T, present []*Replica, inFlight []message) (sent []message) {
	t.Helper()
	for _, arriving := range inFlight {
		if arriving.to >= len(present) {
			continue
		}
		if err := present[arriving.to].Receive(arriving.from, arriving.data); err != nil {
			t.Fatal(err)
		}
	}
	for i, replica := range present {
		if _, _, ok := replica.Ready(); !ok {
			continue
		}
		messages, _ := replica.Persisted()
		for _, outgoing := range messages {
			sent = append(sent, message{from: i, to: outgoing.To, data: outgoing.Data})
		}
	}
	return sent
}
