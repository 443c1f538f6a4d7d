package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"spurwinch/internal/consensus"
)

// fault is what a schedule does to a replica or to all.
type fault string

const (
	faultCrash     fault = "crash"
	faultStall     fault = "stall"
	faultPartition fault = "partition"
	faultHeal      fault = "heal"
	faultDiskLost  fault = "disk lost"
	faultPropose   fault = "propose"
)

// TestReplicasAgree draws schedules of faults: no index has two contents, none goes back, no proposal ends in two
// ways, what was decided stays, and the log goes on once the faults end.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, rapid.Uint64().Draw(t, "seed"))
		simulation.loss = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "loss")
		simulation.run(60)
		faults := &schedule{simulation: simulation}
		for range rapid.IntRange(5, 25).Draw(t, "faults") {
			faults.play()
			simulation.run(simulation.rng.IntN(60))
		}
		simulation.partition = 0
		simulation.loss = 0
		simulation.run(400)
		checkProgress(t, simulation)
	})
}

// schedule plays faults that are drawn.
type schedule struct {
	*simulation
	proposed  int
	disksLost int
}

func (s *schedule) play() {
	node := s.replicas[rapid.IntRange(0, simulatedReplicas-1).Draw(s.t, "replica")]
	faults := []fault{faultCrash, faultStall, faultPartition, faultHeal, faultDiskLost, faultPropose}
	switch rapid.SampledFrom(faults).Draw(s.t, "fault") {
	case faultCrash:
		if s.rng.IntN(2) == 0 && node.pending != nil {
			s.persist(node) // it was on the disk, and no message was sent
		}
		node.pending = nil
		node.down = s.now + 1 + s.rng.IntN(40)
	case faultStall:
		node.stalled = s.now + 100
	case faultPartition:
		s.partition = 1 + s.rng.IntN(2)
	case faultHeal:
		s.partition = 0
	case faultDiskLost:
		// One at a time: a majority keeps its disks. The next one only after this one is a member again.
		if s.disksLost < 2 && s.healthy() {
			s.disksLost++
			node.disk = nil
			node.pending = nil
			node.down = s.now + 1
			node.highest = 0
		}
	case faultPropose:
		if leader := s.leader(); leader != nil {
			s.proposed++
			// One that is not taken, or not decided, changes nothing.
			_ = leader.Propose(consensus.Proposal{
				ID:       fmt.Sprint(s.proposed),
				Kind:     1,
				Replaces: leader.State().Newest[1].Index,
				Data:     []byte{byte(s.proposed)},
			})
		}
	}
}

// checkProgress wants all results that were returned to be known still, and all replicas to learn of a new entry.
func checkProgress(t *rapid.T, simulation *simulation) {
	leader := simulation.leader()
	if leader == nil {
		t.Fatalf("nobody leads after the faults")
	}
	for id, before := range simulation.results {
		if result, ok := leader.Result(id); !ok || result != before {
			t.Fatalf("proposal %s ended as %+v, %v, wanted %+v as before", id, result, ok, before)
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
			t.Fatalf("replica %d has %q at index %d, wanted \"last\"", i, newest.Data, newest.Index)
		}
	}
}

// TestNewErrors holds the errors for what is not a replica's.
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
		{"not one of them", 3, 3, nil, ErrInvalidReplica},
		{"unreadable snapshot", 0, 1, []consensus.Record{{LogID: 1, Snapshot: unreadable}}, ErrInconsistentRecords},
		{"unreadable hard state", 0, 1, []consensus.Record{{LogID: 1, HardState: unreadable}}, ErrInconsistentRecords},
		{
			"unreadable entry", 0, 1,
			[]consensus.Record{{LogID: 1, Entries: [][]byte{unreadable}}},
			ErrInconsistentRecords,
		},
	} {
		if _, err := New(test.self, test.replicas, test.records, rng); !errors.Is(err, test.want) {
			t.Errorf("%s: New gives %v, wanted %v", test.name, err, test.want)
		}
	}
}

// TestNewPanic has Raft panic on a commit index that its log does not have.
func TestNewPanic(t *testing.T) {
	hardState := []byte{0x08, 1, 0x18, 9} // term 1, commit 9
	records := []consensus.Record{{Incarnation: 1, LogID: 1, HardState: hardState}}
	_, err := New(0, 1, records, rand.New(rand.NewPCG(1, 1)))
	var cause *PanicError
	if !errors.Is(err, ErrInconsistentRecords) || !errors.As(err, &cause) {
		t.Errorf("New gives %v, wanted %v with a PanicError", err, ErrInconsistentRecords)
	}
}

// TestNotReady holds what a replica without a log answers.
func TestNotReady(t *testing.T) {
	replica, err := New(0, 3, nil, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := replica.Propose(consensus.Proposal{ID: "a", Kind: 1}); !errors.Is(err, consensus.ErrNotLeader) {
		t.Errorf("Propose gives %v, wanted %v", err, consensus.ErrNotLeader)
	}
	if err := replica.Propose(consensus.Proposal{}); !errors.Is(err, consensus.ErrInvalidProposal) {
		t.Errorf("Propose of nothing gives %v, wanted %v", err, consensus.ErrInvalidProposal)
	}
	if err := replica.Receive(1, []byte{0xff}); !errors.Is(err, ErrInvalidMessage) {
		t.Errorf("Receive of what is no message gives %v, wanted %v", err, ErrInvalidMessage)
	}
	if leader := replica.Leader(); leader != -1 || replica.IsLeader() || replica.Term() != 0 {
		t.Errorf("leader %d, leads %v, term %d, wanted -1, false and 0", leader, replica.IsLeader(), replica.Term())
	}
}

// TestHellosEnd has two replicas without a log wait for a third one: each sends the other a hello, and then nothing
// more is sent until the next tick.
func TestHellosEnd(t *testing.T) {
	const rounds = 20
	present := newReplicas(t, 2, 3)
	for _, replica := range present {
		replica.Tick()
	}
	var inFlight []message
	for range rounds {
		inFlight = playRound(t, present, inFlight)
	}
	if len(inFlight) > 0 {
		t.Errorf("after %d rounds the replicas still send %d messages, wanted none", rounds, len(inFlight))
	}
	for i, replica := range present {
		got := replica.peers[1-i].incarnation
		if want := present[1-i].incarnation; got != want {
			t.Errorf("replica %d knows the other as incarnation %x, wanted %x", i, got, want)
		}
	}
}

// newReplicas makes the first few of a number of replicas, with new disks.
func newReplicas(t *testing.T, present, replicas int) (all []*Replica) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range present {
		replica, err := New(i, replicas, nil, rng)
		if err != nil {
			t.Fatal(err)
		}
		persistAll(t, replica)
		all = append(all, replica)
	}
	return all
}

// playRound delivers messages to the replicas that are there, and gives what they send then.
func playRound(t *testing.T, present []*Replica, inFlight []message) (sent []message) {
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
