package replica

import (
	crypto "crypto/rand"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"spurwinch/internal/consensus"
)

// simulatedReplicas is the number of replicas in a simulation.
const simulatedReplicas = 3

// simulation runs replicas in simulated time, whose unit is one tick. Messages are lost, delayed and duplicated.
// Replicas stall, crash before or after a record is on their disk, and lose their disks.
type simulation struct {
	t        *rapid.T
	rng      *rand.Rand
	replicas []*node
	inFlight []message
	now      int                                 // in ticks
	digests  map[uint64]uint64                   // digest of each entry that any replica ever knew, by index
	results  map[string]consensus.ProposalResult // by proposal ID
	loss     float64                             // probability that a message is lost
	// partition separates the replicas with lower numbers from the others: messages pass only within each of the two
	// groups. 0 means that the network is not partitioned.
	partition int
}

// node is a replica with its disk.
type node struct {
	replica      *Replica
	disk         []consensus.Record
	pending      *consensus.Record // record that is being persisted
	persistedAt  int               // time at which the pending record is on disk
	stalledUntil int               // the process is suspended until this time
	downUntil    int               // the process restarts at this time
	newestIndex  uint64            // newest index that checkConsistency has seen
}

type message struct {
	due      int // earliest time of arrival
	from, to int
	data     []byte
}

// seededReader implements io.Reader with the bytes of a random generator.
type seededReader struct{ *rand.Rand }

func (s seededReader) Read(random []byte) (int, error) {
	for i := range random {
		random[i] = byte(s.Uint64())
	}
	return len(random), nil
}

// seedRaft makes Raft draw its election timeouts from a seeded generator until the end of the test.
func seedRaft(tb testing.TB, seed uint64) {
	tb.Helper()
	before := crypto.Reader
	crypto.Reader = seededReader{rand.New(rand.NewPCG(seed, 2))}
	tb.Cleanup(func() { crypto.Reader = before })
}

func newSimulation(t *rapid.T, seed uint64) *simulation {
	crypto.Reader = seededReader{rand.New(rand.NewPCG(seed, 2))} // Raft draws its election timeouts from crypto.Reader
	created := &simulation{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		digests: map[uint64]uint64{},
		results: map[string]consensus.ProposalResult{},
	}
	for i := range simulatedReplicas {
		created.replicas = append(created.replicas, &node{})
		created.start(i)
	}
	return created
}

func (s *simulation) start(i int) {
	node := s.replicas[i]
	replica, err := New(i, simulatedReplicas, node.disk, s.rng)
	if err != nil {
		s.t.Fatalf("start replica %d: %v", i, err)
	}
	node.replica = replica
	node.pending = nil
}

func (s *simulation) run(ticks int) {
	for range ticks {
		s.tick()
	}
}

// tick advances the time by one tick: it restarts crashed replicas, delivers messages and runs the replicas.
func (s *simulation) tick() {
	s.now++
	for i, node := range s.replicas {
		if node.downUntil == s.now {
			s.start(i)
		}
	}
	sent := s.inFlight
	s.inFlight = nil
	for _, m := range sent {
		s.deliver(m)
	}
	for i, node := range s.replicas {
		if node.downUntil > s.now || node.stalledUntil > s.now {
			continue
		}
		node.replica.Tick()
		s.advanceReplica(i)
		if err := node.replica.Err(); err != nil {
			s.t.Fatalf("replica %d stopped with an error: %v", i, err)
		}
	}
}

// deliver delivers a message if it is due and its receiver is running. The message is lost if the receiver is down or
// in the other partition, and waits if the receiver is stalled.
func (s *simulation) deliver(arriving message) {
	receiver := s.replicas[arriving.to]
	switch {
	case arriving.due > s.now:
		s.inFlight = append(s.inFlight, arriving)
	case receiver.downUntil > s.now || (arriving.from < s.partition) != (arriving.to < s.partition):
	case receiver.stalledUntil > s.now:
		arriving.due = receiver.stalledUntil
		s.inFlight = append(s.inFlight, arriving)
	default:
		if err := receiver.replica.Receive(arriving.from, arriving.data); err != nil {
			s.t.Fatalf("Receive on replica %d of a message from replica %d: %v", arriving.to, arriving.from, err)
		}
		s.advanceReplica(arriving.to)
	}
}

// advanceReplica runs a replica until it waits for its disk or for messages.
func (s *simulation) advanceReplica(i int) {
	node := s.replicas[i]
	for range 100 {
		if node.pending != nil {
			if node.persistedAt > s.now {
				return
			}
			s.persist(node)
			s.publish(i)
		}
		if record, ok := node.replica.Compact(); ok {
			node.disk = []consensus.Record{record}
		}
		record, _, ok := node.replica.Ready()
		if !ok {
			return
		}
		node.pending = &record
		node.persistedAt = s.now + s.rng.IntN(3)
	}
}

// persist appends the pending record of a node to its disk, unless the record is empty. The node then has no pending
// record.
func (s *simulation) persist(node *node) {
	if !node.pending.Empty() {
		node.disk = append(node.disk, *node.pending)
	}
	node.pending = nil
}

// publish sends the messages and stores the results that a replica returns once its record is persisted.
func (s *simulation) publish(i int) {
	node := s.replicas[i]
	messages, results := node.replica.Persisted()
	for _, m := range messages {
		s.send(i, m)
	}
	for _, result := range results {
		if before, ok := s.results[result.ID]; ok && before != result {
			s.t.Fatalf("proposal %s has two results: %+v and %+v", result.ID, before, result)
		}
		s.results[result.ID] = result
	}
	s.checkConsistency(node)
}

// send sends a message with a random delay. The message may be lost or duplicated.
func (s *simulation) send(from int, outgoing consensus.Message) {
	if s.rng.Float64() < s.loss {
		return
	}
	delay := 1 + s.rng.IntN(3)
	if s.rng.Float64() < 0.05 {
		delay += s.rng.IntN(60)
	}
	s.inFlight = append(s.inFlight, message{s.now + delay, from, outgoing.To, outgoing.Data})
	if s.rng.Float64() < 0.05 {
		s.inFlight = append(s.inFlight, message{s.now + delay + s.rng.IntN(40), from, outgoing.To, outgoing.Data})
	}
}

// checkConsistency compares the newest entries of a replica with all entries that any replica ever knew.
func (s *simulation) checkConsistency(node *node) {
	for _, entry := range node.replica.State().Newest {
		if before, ok := s.digests[entry.Index]; ok && before != entry.Digest() {
			s.t.Fatalf("index %d has two contents, with digests %x and %x", entry.Index, before, entry.Digest())
		}
		s.digests[entry.Index] = entry.Digest()
		if entry.Index < node.newestIndex {
			s.t.Fatalf("the newest index decreased from %d to %d", node.newestIndex, entry.Index)
		}
		node.newestIndex = entry.Index
	}
}

// leader returns the running leader with the highest term, or nil if there is none.
func (s *simulation) leader() (leader *Replica) {
	for _, node := range s.replicas {
		if node.downUntil <= s.now && node.stalledUntil <= s.now && node.replica.IsLeader() &&
			(leader == nil || node.replica.Term() > leader.Term()) {
			leader = node.replica
		}
	}
	return leader
}

// allCaughtUp reports whether all replicas are running, connected and voters, and have applied nearly all entries that
// the leader has applied.
func (s *simulation) allCaughtUp() bool {
	leader := s.leader()
	if leader == nil || s.partition != 0 {
		return false
	}
	for _, node := range s.replicas {
		replica := node.replica
		if node.downUntil > s.now || node.stalledUntil > s.now || replica.raft == nil || !replica.isVoter() ||
			replica.applied+2 < leader.applied || len(leader.raft.Status().Config.Voters.IDs()) != simulatedReplicas {
			return false
		}
	}
	return true
}

// describe logs the state of all replicas when a test fails.
func (s *simulation) describe() {
	for i, node := range s.replicas {
		replica := node.replica
		s.t.Logf("replica %d: %x applied %d initialRecordPending %v persisting %v messages %d log %x %+v peers %+v",
			i, raftID(i, replica.incarnation), replica.applied, replica.initialRecordPending, replica.persisting,
			len(replica.messages), replica.logID, replica.raft.Status(), replica.peers)
	}
}
