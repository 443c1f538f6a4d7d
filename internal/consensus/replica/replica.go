package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"spurwinch/internal/consensus"
)

// Times are in ticks of consensus.TickInterval.
const (
	electionTicks  = 12 // without a message of a leader, and up to as many more by chance, until an election
	heartbeatTicks = 3
	helloTicks     = 10 // between two hellos of a replica that is not a member of a log

	maxMessageSize     = 512 << 10 // bytes of entries in one message
	maxInflight        = 64        // messages to a replica that it has not answered
	maxUncommittedSize = 4 << 20   // bytes of proposals that are not committed
)

// Replica is one replica of a log.
type Replica struct {
	self        int // its number among the replicas
	replicas    int // how many there are
	incarnation uint64
	logID       uint64 // 0: there is no log yet
	raft        *raft.RawNode
	storage     *raft.MemoryStorage // what has been persisted, as Raft reads it
	state       consensus.State     // what the log up to applied has come to
	applied     uint64              // index
	confState   *raftpb.ConfState   // the members at applied
	peers       []peer              // by number
	ticks       int
	messages    []consensus.Message // to be sent with the next call of Persisted
	results     []consensus.ProposalResult
	persisting  persisting
	unstored    bool        // the incarnation, or the log's beginning, is not persisted yet
	ready       *raft.Ready // what is being persisted of Raft
	reads       reads
	err         error // why the replica has stopped
}

// peer is the state of another replica by its newest message.
type peer struct {
	incarnation uint64 // 0: no message of it was received
	logID       uint64 // 0: it has no log
}

// persisting is the kind of the record that is being persisted.
type persisting uint8

const (
	persistingNothing   persisting = iota // there is none
	persistingMessages                    // an empty record: only messages wait
	persistingBeginning                   // the incarnation, and the log's beginning where there is one
	persistingReady                       // what Raft has ready
)

// reads is how far the calls of ConfirmLeadership have come.
type reads struct {
	calls     uint64
	confirmed uint64           // the newest call that was confirmed
	waiting   []raft.ReadState // confirmed, but what was decided before is not all applied yet
}

// New makes replica number self of a number of replicas, with the records that were persisted, oldest first. rng
// draws the incarnation of a replica that has none.
func New(self, replicas int, records []consensus.Record, rng *rand.Rand) (replica *Replica, err error) {
	if replicas < 1 || replicas > consensus.MaxReplicas || self < 0 || self >= replicas {
		return nil, fmt.Errorf("%w: number %d of %d, at most %d are possible",
			ErrInvalidReplica, self, replicas, consensus.MaxReplicas)
	}
	replica = &Replica{
		self:     self,
		replicas: replicas,
		peers:    make([]peer, replicas),
		storage:  raft.NewMemoryStorage(),
		state:    consensus.State{Newest: map[consensus.Kind]consensus.Entry{}},
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %w", ErrInconsistentRecords, &PanicError{Cause: cause})
		}
	}()
	if err := replica.load(records); err != nil {
		return nil, err
	}
	if replica.incarnation == 0 {
		replica.incarnation = rng.Uint64()>>9 | 1
		replica.unstored = true
	}
	if replica.logID != 0 {
		return replica, replica.start()
	}
	return replica, nil
}

// start starts Raft on what is in storage.
func (r *Replica) start() error {
	snapshot, err := r.storage.Snapshot()
	if err != nil {
		return fmt.Errorf("read the snapshot: %w", err)
	}
	if err := r.restore(snapshot); err != nil {
		return err
	}
	r.raft, err = raft.NewRawNode(&raft.Config{
		ID:                        raftID(r.self, r.incarnation),
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxMessageSize,
		MaxInflightMsgs:           maxInflight,
		MaxUncommittedEntriesSize: maxUncommittedSize,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    silentLogger{},
	})
	if err != nil {
		return fmt.Errorf("start raft: %w", err)
	}
	return nil
}

// Tick has to be called each consensus.TickInterval.
func (r *Replica) Tick() {
	if r.err != nil {
		return
	}
	defer r.stopOnPanic()
	r.ticks++
	if r.raft != nil {
		r.raft.Tick()
		r.reconfigure()
	}
	if !r.unstored && r.ticks%helloTicks == 1 && (r.raft == nil || !r.isMember()) {
		r.broadcastHello()
		r.bootstrap()
	}
}

// Propose proposes an entry to the log. How the proposal ended is in the results of Persisted, or later in Result;
// a proposal may also be lost without a result, and then the same one can be made again. The error is a
// consensus.ErrInvalidProposal, consensus.ErrNotLeader or raft.ErrProposalDropped.
func (r *Replica) Propose(proposal consensus.Proposal) (err error) {
	if err := proposal.Check(); err != nil {
		return err
	}
	if r.err != nil || !r.IsLeader() {
		return consensus.ErrNotLeader
	}
	defer r.stopOnPanic()
	if err := r.raft.Propose(consensus.Encode(proposal)); err != nil {
		return fmt.Errorf("propose %s: %w", proposal.ID, err)
	}
	return nil
}

// ConfirmLeadership has a majority of the replicas confirm that this one still leads, and returns the number of the
// call. ConfirmedCall is, later, the newest call that was confirmed: the replica led when that call was made.
func (r *Replica) ConfirmLeadership() (call uint64) {
	if !r.IsLeader() {
		return r.reads.calls
	}
	defer r.stopOnPanic()
	r.reads.calls++
	r.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, r.reads.calls))
	return r.reads.calls
}

// ConfirmedCall is the newest call of ConfirmLeadership that a majority confirmed.
func (r *Replica) ConfirmedCall() uint64 { return r.reads.confirmed }

// IsLeader reports whether this replica leads, as far as it knows: one that was suspended learns of another leader only
// afterwards. What it proposes until then is not committed.
func (r *Replica) IsLeader() bool {
	return r.err == nil && r.raft != nil && !r.unstored && r.raft.BasicStatus().RaftState == raft.StateLeader
}

// Leader is the number of the replica that leads, as far as known; -1: none.
func (r *Replica) Leader() int {
	if r.raft == nil {
		return -1
	}
	return replicaOf(r.raft.BasicStatus().Lead)
}

// Term is Raft's term, which counts elections; 0: there is no log yet.
func (r *Replica) Term() uint64 {
	if r.raft == nil {
		return 0
	}
	return r.raft.BasicStatus().GetTerm()
}

// State is the state of what this replica knows to be committed. The caller must not change it.
func (r *Replica) State() consensus.State { return r.state }

// Result is how a proposal ended; false: it has not, or that is no longer remembered.
func (r *Replica) Result(id string) (consensus.ProposalResult, bool) { return r.state.Result(id) }

// Err is why this replica has stopped for good; nil: it runs. It neither votes nor leads until the process starts
// it anew.
func (r *Replica) Err() error { return r.err }
