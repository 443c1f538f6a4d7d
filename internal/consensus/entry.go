package consensus

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TickInterval is the time between two calls of the Tick method of a replica (package replica).
	TickInterval = 50 * time.Millisecond
	// MaxReplicas is the maximum number of replicas of a log.
	MaxReplicas = 7
	// MaxData is the maximum size of an entry's data, in bytes.
	MaxData = 256 << 10
	// MaxKinds is the maximum number of kinds of entries in a log.
	MaxKinds = 16

	maxProposalID = 64 // bytes
)

// Kind identifies the purpose of an entry. The newest entry of a kind replaces the earlier entries of that kind.
type Kind uint8

// Entry is one committed entry of the log whose proposal was accepted.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64   // index in the log, starting at 1; 0 means that the log has no entry of this kind yet
	Kind  Kind
	ID    string // ID of the proposal
	Data  []byte
}

// Digest is a hash of the whole entry. Nodes compare digests to detect that one index has two different contents.
func (e Entry) Digest() uint64 {
	var fixed [17]byte
	binary.BigEndian.PutUint64(fixed[:8], e.Index)
	binary.BigEndian.PutUint64(fixed[8:16], uint64(len(e.ID)))
	fixed[16] = byte(e.Kind)
	hash := xxhash.New()
	_, _ = hash.Write(fixed[:]) // writing to a hash never fails, here and below
	_, _ = hash.WriteString(e.ID)
	_, _ = hash.Write(e.Data)
	return hash.Sum64()
}

// Proposal is a proposed entry of the log.
type Proposal struct {
	_    struct{} `cbor:",toarray"`
	ID   string   // idempotency key, unique in the log: a second proposal with the same ID has no effect
	Kind Kind
	// Replaces is the index of the newest entry of the kind, or 0 if there is none. The proposal is rejected if a
	// different entry is the newest one when the proposal is applied.
	Replaces uint64
	Data     []byte
}

// Check returns an ErrInvalidProposal if the proposal is malformed, so that every log would reject it.
func (p Proposal) Check() error {
	switch {
	case p.ID == "" || len(p.ID) > maxProposalID:
		return fmt.Errorf("%w: id of %d bytes, must be 1 to %d", ErrInvalidProposal, len(p.ID), maxProposalID)
	case p.Kind == 0:
		return fmt.Errorf("%w: kind must not be 0", ErrInvalidProposal)
	case len(p.Data) > MaxData:
		return fmt.Errorf("%w: %d bytes of data, must be at most %d", ErrInvalidProposal, len(p.Data), MaxData)
	}
	return nil
}

// ProposalResult is the outcome of a proposal that the log has committed.
type ProposalResult struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Kind  Kind
	Index uint64 // index in the log
	// Accepted is true if the proposal became the newest entry of its kind. A proposal is rejected if its Replaces is
	// not the index of the newest entry, or if it has a new kind and the log already has MaxKinds kinds.
	Accepted bool
}
