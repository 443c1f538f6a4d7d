package replica

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"spurwinch/internal/consensus"
)

// envelope is the format of all messages between replicas. An envelope without a Raft message is a hello: replicas use
// hellos to exchange their identities while one of them is not a voter of a log.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // incarnation of the sender
	LogID       uint64   // log of the sender; 0 means that it has none
	Raft        []byte   // raftpb.Message; empty in a hello
}

// raftID returns the ID of a replica in Raft. It combines the replica's number with its incarnation, which changes when
// the replica loses its disk.
func raftID(replica int, incarnation uint64) uint64 { return incarnation<<8 | uint64(replica+1) }

// replicaNumber returns the number of the replica to which a Raft ID belongs. It returns -1 for the Raft ID 0, which
// means no replica.
func replicaNumber(id uint64) int { return int(id&0xff) - 1 }

func (r *Replica) send(to int, raftMessage []byte) {
	data := consensus.Encode(envelope{Incarnation: r.incarnation, LogID: r.logID, Raft: raftMessage})
	r.messages = append(r.messages, consensus.Message{To: to, Data: data})
}

// sendRaft queues Raft's messages for sending.
func (r *Replica) sendRaft(messages []*raftpb.Message) {
	for _, message := range messages {
		r.send(replicaNumber(message.GetTo()), mustMarshal(message))
		if message.GetType() == raftpb.MsgSnap {
			// If the snapshot is lost, Raft sends it again after the next heartbeat.
			r.raft.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
		}
	}
}

// mustMarshal encodes a value that Raft created. It panics on an error, which cannot occur for such a value.
func mustMarshal(message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return encoded
}

func (r *Replica) broadcastHello() {
	for i := range r.replicaCount {
		if i != r.self {
			r.send(i, nil)
		}
	}
}

// Receive processes a message from another replica. It drops an invalid message and returns an ErrInvalidMessage, which
// the caller only needs to log.
func (r *Replica) Receive(from int, data []byte) error {
	if r.err != nil || from < 0 || from >= r.replicaCount || from == r.self {
		return nil
	}
	var message envelope
	if err := consensus.Decode(data, &message); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	defer r.stopOnPanic()
	newIncarnation := r.peers[from].incarnation != message.Incarnation
	r.peers[from] = peer{incarnation: message.Incarnation, logID: message.LogID}
	if len(message.Raft) == 0 {
		r.receiveHello(from, message.LogID, newIncarnation)
		return nil
	}
	return r.receiveRaft(from, message)
}

// receiveHello handles a hello. newIncarnation is true for the first message from the sender's incarnation.
func (r *Replica) receiveHello(from int, logID uint64, newIncarnation bool) {
	switch {
	case logID == 0 && !r.initialRecordPending:
		// Two replicas without a log answer only the first hello of each other's incarnation. If they answered every
		// hello, the exchange would never end.
		if r.logID != 0 || newIncarnation {
			r.send(from, nil)
		}
	case r.logID == 0:
		r.join(logID)
	case logID != 0 && logID != r.logID && r.raft != nil && r.applied <= firstIndex &&
		r.raft.BasicStatus().GetTerm() <= firstTerm:
		// This replica created a log that no other replica joined. This happens when two replicas received hellos from
		// different incarnations of a third replica.
		r.err = &TwoLogsError{Own: r.logID, Other: logID}
	}
}

func (r *Replica) receiveRaft(from int, received envelope) error {
	if r.logID == 0 {
		r.join(received.LogID)
	}
	if r.raft == nil || r.initialRecordPending || received.LogID != r.logID {
		return nil
	}
	message := &raftpb.Message{}
	if err := proto.Unmarshal(received.Raft, message); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	if replicaNumber(message.GetFrom()) != from || message.GetTo() != raftID(r.self, r.incarnation) ||
		raft.IsLocalMsg(message.GetType()) {
		return nil // from or to an earlier incarnation, or of a type that replicas do not send
	}
	err := r.raft.Step(message)
	if err != nil && !errors.Is(err, raft.ErrProposalDropped) && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("%w: %w", ErrInvalidMessage, err)
	}
	return nil
}
