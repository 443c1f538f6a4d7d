package replica

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/consensus"
)

// envelope is the form of all messages between replicas. Without a message of Raft it is a hello, by which replicas
// exchange their identities while one of them is not a member of a log.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the sender
	LogID       uint64   // 0: it has no log
	Raft        []byte   // raftpb.Message; none: a hello
}

// raftID is a replica's id in Raft: its number and its incarnation, which changes with its disk.
func raftID(replica int, incarnation uint64) uint64 { return incarnation<<8 | uint64(replica+1) }

// replicaOf is the number of the replica that an id in Raft is of; -1: of none.
func replicaOf(id uint64) int { return int(id&0xff) - 1 }

func (r *Replica) send(to int, raftMessage []byte) {
	data := consensus.Encode(envelope{Incarnation: r.incarnation, LogID: r.logID, Raft: raftMessage})
	r.messages = append(r.messages, consensus.Message{To: to, Data: data})
}

// sendRaft sends Raft's messages.
func (r *Replica) sendRaft(messages []*raftpb.Message) {
	for _, message := range messages {
		r.send(replicaOf(message.GetTo()), mustMarshal(message))
		if message.GetType() == raftpb.MsgSnap {
			// One that is lost is sent again after the next heartbeat.
			r.raft.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
		}
	}
}

// mustMarshal encodes what Raft made, which can be encoded.
func mustMarshal(message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return encoded
}

func (r *Replica) broadcastHello() {
	for i := range r.replicas {
		if i != r.self {
			r.send(i, nil)
		}
	}
}

// Receive takes a message of another replica. The error, an ErrInvalidMessage, is for the log: the message is dropped.
func (r *Replica) Receive(from int, data []byte) error {
	if r.err != nil || from < 0 || from >= r.replicas || from == r.self {
		return nil
	}
	var message envelope
	if err := consensus.Unmarshal(data, &message); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	defer r.stopOnPanic()
	isNew := r.peers[from].incarnation != message.Incarnation
	r.peers[from] = peer{incarnation: message.Incarnation, logID: message.LogID}
	if len(message.Raft) == 0 {
		r.receiveHello(from, message.LogID, isNew)
		return nil
	}
	return r.receiveRaft(from, message)
}

// receiveHello handles a hello; isNew says that it is the first message of the sender's incarnation.
func (r *Replica) receiveHello(from int, logID uint64, isNew bool) {
	switch {
	case logID == 0 && !r.unstored:
		// Two replicas without a log answer each other once: answers to each hello would never end.
		if r.logID != 0 || isNew {
			r.send(from, nil)
		}
	case r.logID == 0:
		r.join(logID)
	case logID != 0 && logID != r.logID && r.raft != nil && r.applied <= firstIndex &&
		r.raft.BasicStatus().GetTerm() <= firstTerm:
		// This replica began a log that nobody joined: two replicas received hellos of different incarnations of a
		// third.
		r.err = &TwoLogsError{Own: r.logID, Other: logID}
	}
}

func (r *Replica) receiveRaft(from int, received envelope) error {
	if r.logID == 0 {
		r.join(received.LogID)
	}
	if r.raft == nil || r.unstored || received.LogID != r.logID {
		return nil
	}
	message := &raftpb.Message{}
	if err := proto.Unmarshal(received.Raft, message); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	if replicaOf(message.GetFrom()) != from || message.GetTo() != raftID(r.self, r.incarnation) ||
		raft.IsLocalMsg(message.GetType()) {
		return nil // from an earlier incarnation, or to one
	}
	err := r.raft.Step(message)
	if err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	return nil
}
