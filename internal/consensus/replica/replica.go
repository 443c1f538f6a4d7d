package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"spurwinch/internal/consensus"
)

// The unit of the constants named ...Ticks is one tick, consensus.TickInterval.
const (
	// electionTicks is the minimum election timeout: the time without a message from a leader until an election. Raft
	// adds a random delay of up to the same length.
	electionTicks  = 12
	heartbeatTicks = 3
	helloTicks     = 10 // interval between two hellos of a replica that is not a voter of a log

	maxMessageSize      = 512 << 10 // bytes of entries in one message
	maxInflightMessages = 64        // unacknowledged messages to one replica
	maxUncommittedSize  = 4 << 20   // bytes of uncommitted proposals
)

// Replica is one replica of a log.
type Replica struct {
	self         int // number of this replica, from 0
	replicaCount int
	incarnation  uint64
	logID        uint64 // 0 means that there is no log yet
	raft         *raft.RawNode
	storage      *raft.MemoryStorage // persisted log as Raft reads it
	state        consensus.State     // result of applying the log up to applied
	applied      uint64              // index of the last applied entry
	confState    *raftpb.ConfState   // members at index applied
	peers        []peer              // by replica number
	ticks        int
	messages     []consensus.Message // returned by the next call of Persisted
	results      []consensus.ProposalResult
	persisting   persisting
	// initialRecordPending is true while the result of initialRecord is not persisted yet.
	initialRecordPending bool
	ready                *raft.Ready // Raft's changes that are being persisted
	confirmations        leadershipConfirmations
	err                  error // error that stopped the replica; nil while it runs
}

// peer is the state of another replica according to its newest message.
type peer struct {
	incarnation uint64 // 0 means that no message from it was received
	logID       uint64 // 0 means that it has no log
}

// persisting is the kind of the record that is being persisted.
type persisting uint8

const (
	persistingNothing  persisting = iota // no record
	persistingMessages                   // an empty record, because there are only messages to send
	persistingInitial                    // the result of initialRecord
	persistingReady                      // the changes of a raft.Ready
)

// leadershipConfirmations tracks the calls of ConfirmLeadership.
type leadershipConfirmations struct {
	calls     uint64           // number of calls, which is also the number of the newest call
	confirmed uint64           // number of the newest confirmed call
	waiting   []raft.ReadState // calls that a majority confirmed, but whose read index is not applied yet
}

// New creates replica number self of replicaCount replicas from the persisted records, oldest first. If the records
// contain no incarnation, New draws one from rng.
func New(self, replicaCount int, records []consensus.Record, rng *rand.Rand) (replica *Replica, err error) {
	if replicaCount < 1 || replicaCount > consensus.MaxReplicas || self < 0 || self >= replicaCount {
		return nil, fmt.Errorf("%w: number %d of %d replicas: numbers start at 0, at most %d replicas are allowed",
			ErrInvalidReplica, self, replicaCount, consensus.MaxReplicas)
	}
	replica = &Replica{
		self:         self,
		replicaCount: replicaCount,
		peers:        make([]peer, replicaCount),
		storage:      raft.NewMemoryStorage(),
		state:        consensus.State{Newest: map[consensus.Kind]consensus.Entry{}},
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
		replica.incarnation = rng.Uint64()>>9 | 1 // never 0; raftID shifts it left by 8 bits without loss
		replica.initialRecordPending = true
	}
	if replica.logID != 0 {
		return replica, replica.start()
	}
	return replica, nil
}

// start starts Raft from the contents of the storage.
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
		MaxInflightMsgs:           maxInflightMessages,
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

// Tick must be called once every consensus.TickInterval.
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
	if !r.initialRecordPending && r.ticks%helloTicks == 1 && (r.raft == nil || !r.isVoter()) {
		r.broadcastHello()
		r.bootstrap()
	}
}

// Propose proposes an entry to the log. Persisted returns the result of the proposal, and Result returns it later. A
// proposal can be lost without a result; the caller can then propose it again. The error is a
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

// ConfirmLeadership asks a majority of the replicas to confirm that this replica is still the leader, and returns the
// number of the call. Once ConfirmedCall returns that number, this replica is known to have been the leader at the time
// of the call. A higher number proves the same only if the term has not changed since the call. A replica that is not
// the leader asks no other replica and returns the number of its previous call.
func (r *Replica) ConfirmLeadership() (call uint64) {
	if !r.IsLeader() {
		return r.confirmations.calls
	}
	defer r.stopOnPanic()
	r.confirmations.calls++
	r.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, r.confirmations.calls))
	return r.confirmations.calls
}

// ConfirmedCall returns the number of the newest call of ConfirmLeadership that a majority confirmed.
func (r *Replica) ConfirmedCall() uint64 { return r.confirmations.confirmed }

// IsLeader reports whether this replica considers itself the leader. A replica whose process was suspended learns only
// after it resumes that there is another leader. Its proposals until then are not committed.
func (r *Replica) IsLeader() bool {
	return r.err == nil && r.raft != nil && !r.initialRecordPending &&
		r.raft.BasicStatus().RaftState == raft.StateLeader
}

// Leader returns the number of the leader that this replica knows, or -1 if it knows none.
func (r *Replica) Leader() int {
	if r.raft == nil {
		return -1
	}
	return replicaNumber(r.raft.BasicStatus().Lead)
}

// Term returns Raft's term, which counts elections, or 0 if there is no log yet.
func (r *Replica) Term() uint64 {
	if r.raft == nil {
		return 0
	}
	return r.raft.BasicStatus().GetTerm()
}

// State returns the state after all entries that this replica has applied. The caller must not change it.
func (r *Replica) State() consensus.State { return r.state }

// Result returns the result of a proposal. It returns false if the proposal has no result yet, or if the state no
// longer contains the result.
func (r *Replica) Result(id string) (consensus.ProposalResult, bool) { return r.state.Result(id) }

// Err returns the error that stopped this replica permanently, or nil if it is running. A stopped replica neither votes
// nor leads until the process restarts it.
func (r *Replica) Err() error { return r.err }
