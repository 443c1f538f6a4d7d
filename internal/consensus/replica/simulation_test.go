package replica

import (
	crypto "crypto/rand"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"spurwinch/internal/consensus"
)

// simulatedReplicas is how many replicas a simulation has.
const simulatedReplicas = 3

// simulation plays replicas in simulated time, in ticks: messages are lost, late and repeated, replicas stall, crash
// before or after a record is on their disk, and lose their disks.
type simulation struct {
	t         *rapid.T
	rng       *rand.Rand
	replicas  []*node
	inFlight  []message
	now       int
	digests   map[uint64]uint64 // by index, of all entries that any replica ever knew
	results   map[string]consensus.ProposalResult
	loss      float64 // probability that a message is lost
	partition int     // replicas with a number below it hear only one another
}

// node is a replica with its disk.
type node struct {
	replica *Replica
	disk    []consensus.Record
	pending *consensus.Record // what is being persisted
	due     int               // when it is
	stalled int               // until then the process stands still
	down    int               // then the process starts again
	highest uint64            // index of the newest entry
}

type message struct {
	due      int
	from, to int
	data     []byte
}

// seededReader makes a generator a reader of random bytes.
type seededReader struct{ *rand.Rand }

func (s seededReader) Read(random []byte) (int, error) {
	for i := range random {
		random[i] = byte(s.Uint64())
	}
	return len(random), nil
}

// seedRaft has Raft draw its election timeouts from a seed for the time of a test.
func seedRaft(tb testing.TB, seed uint64) {
	tb.Helper()
	before := crypto.Reader
	crypto.Reader = seededReader{rand.New(rand.NewPCG(seed, 2))}
	tb.Cleanup(func() { crypto.Reader = before })
}

func newSimulation(t *rapid.T, seed uint64) *simulation {
	crypto.Reader = seededReader{rand.New(rand.NewPCG(seed, 2))} // Raft draws its election timeouts from there
	played := &simulation{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		digests: map[uint64]uint64{},
		results: map[string]consensus.ProposalResult{},
	}
	for i := range simulatedReplicas {
		played.replicas = append(played.replicas, &node{})
		played.start(i)
	}
	return played
}

func (s *simulation) start(i int) {
	node := s.replicas[i]
	replica, err := New(i, simulatedReplicas, node.disk, s.rng)
	if err != nil {
		s.t.Fatalf("replica %d does not start: %v", i, err)
	}
	node.replica = replica
	node.pending = nil
}

func (s *simulation) run(ticks int) {
	for range ticks {
		s.tick()
	}
}

// tick is one tick of all replicas.
func (s *simulation) tick() {
	s.now++
	for i, node := range s.replicas {
		if node.down == s.now {
			s.start(i)
		}
	}
	sent := s.inFlight
	s.inFlight = nil
	for _, m := range sent {
		s.deliver(m)
	}
	for i, node := range s.replicas {
		if node.down > s.now || node.stalled > s.now {
			continue
		}
		node.replica.Tick()
		s.work(i)
		if err := node.replica.Err(); err != nil {
			s.t.Fatalf("replica %d has stopped: %v", i, err)
		}
	}
}

// deliver has a message arrive, where it is due and its receiver runs.
func (s *simulation) deliver(arriving message) {
	receiver := s.replicas[arriving.to]
	switch {
	case arriving.due > s.now:
		s.inFlight = append(s.inFlight, arriving)
	case receiver.down > s.now || (arriving.from < s.partition) != (arriving.to < s.partition):
	case receiver.stalled > s.now:
		arriving.due = receiver.stalled
		s.inFlight = append(s.inFlight, arriving)
	default:
		if err := receiver.replica.Receive(arriving.from, arriving.data); err != nil {
			s.t.Fatalf("replica %d receives of %d: %v", arriving.to, arriving.from, err)
		}
		s.work(arriving.to)
	}
}

// work has a replica do what it can until it waits for its disk or for messages.
func (s *simulation) work(i int) {
	node := s.replicas[i]
	for range 100 {
		if node.pending != nil {
			if node.due > s.now {
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
		node.due = s.now + s.rng.IntN(3)
	}
}

func (s *simulation) persist(node *node) {
	if !node.pending.Empty() {
		node.disk = append(node.disk, *node.pending)
	}
	node.pending = nil
}

// publish does what follows from a record that is persisted.
func (s *simulation) publish(i int) {
	node := s.replicas[i]
	messages, results := node.replica.Persisted()
	for _, m := range messages {
		s.send(i, m)
	}
	for _, result := range results {
		if before, ok := s.results[result.ID]; ok && before != result {
			s.t.Fatalf("proposal %s ended twice: %+v and %+v", result.ID, before, result)
		}
		s.results[result.ID] = result
	}
	s.check(node)
}

// send has a message arrive late, twice or never.
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

// check holds what a replica knows against all that any replica ever knew.
func (s *simulation) check(node *node) {
	for _, entry := range node.replica.State().Newest {
		if before, ok := s.digests[entry.Index]; ok && before != entry.Digest() {
			s.t.Fatalf("index %d has two contents, of digests %x and %x", entry.Index, before, entry.Digest())
		}
		s.digests[entry.Index] = entry.Digest()
		if entry.Index < node.highest {
			s.t.Fatalf("the newest index went back from %d to %d", node.highest, entry.Index)
		}
		node.highest = entry.Index
	}
}

// leader is the replica that leads by the newest term; nil: none.
func (s *simulation) leader() (leader *Replica) {
	for _, node := range s.replicas {
		if node.down <= s.now && node.stalled <= s.now && node.replica.IsLeader() &&
			(leader == nil || node.replica.Term() > leader.Term()) {
			leader = node.replica
		}
	}
	return leader
}

// healthy says that all replicas vote and know what is decided.
func (s *simulation) healthy() bool {
	leader := s.leader()
	if leader == nil || s.partition != 0 {
		return false
	}
	for _, node := range s.replicas {
		replica := node.replica
		if node.down > s.now || node.stalled > s.now || replica.raft == nil || !replica.isVoter() ||
			replica.applied+2 < leader.applied || len(leader.raft.Status().Config.Voters.IDs()) != simulatedReplicas {
			return false
		}
	}
	return true
}

// describe logs all replicas, for a test that fails.
func (s *simulation) describe() {
	for i, node := range s.replicas {
		replica := node.replica
		s.t.Logf("replica %d: %x applied %d initialRecordPending %v persisting %v messages %d log %x %+v peers %+v",
			i, raftID(i, replica.incarnation), replica.applied, replica.initialRecordPending, replica.persisting,
			len(replica.messages), replica.logID, replica.raft.Status(), replica.peers)
	}
}
