package consensus

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TickInterval is the time between two calls of a replica's Tick.
	TickInterval = 50 * time.Millisecond
	// MaxReplicas bounds the replicas of a log.
	MaxReplicas = 7
	// MaxData bounds an entry's data, in bytes.
	MaxData = 256 << 10
	// MaxKinds bounds how many kinds of entries a log has.
	MaxKinds = 16

	maxProposalID = 64 // bytes
)

// Kind is what an entry is used for. A log has one newest entry of each kind.
type Kind uint8

// Entry is one decided entry.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64   // index in the log, from 1; 0: there is no entry of this kind yet
	Kind  Kind
	ID    string // of the proposal
	Data  []byte
}

// Digest is a hash of all that an entry has. Nodes compare it to find two contents of one index.
func (e Entry) Digest() uint64 {
	var fixed [17]byte
	binary.BigEndian.PutUint64(fixed[:8], e.Index)
	binary.BigEndian.PutUint64(fixed[8:16], uint64(len(e.ID)))
	fixed[16] = byte(e.Kind)
	hash := xxhash.New()
	_, _ = hash.Write(fixed[:]) // a hash never fails to write, here and below
	_, _ = hash.WriteString(e.ID)
	_, _ = hash.Write(e.Data)
	return hash.Sum64()
}

// Proposal is a proposed entry of the log.
type Proposal struct {
	_        struct{} `cbor:",toarray"`
	ID       string   // idempotency key, unique in the log: proposing an id a second time changes nothing
	Kind     Kind
	Replaces uint64 // index of the newest entry of the kind; the proposal is rejected where another one is the newest
	Data     []byte
}

// Check returns an ErrInvalidProposal for a proposal that every log rejects.
func (p Proposal) Check() error {
	switch {
	case p.ID == "" || len(p.ID) > maxProposalID:
		return fmt.Errorf("%w: an id of %d bytes, 1 to %d are possible", ErrInvalidProposal, len(p.ID), maxProposalID)
	case p.Kind == 0:
		return fmt.Errorf("%w: kind 0", ErrInvalidProposal)
	case len(p.Data) > MaxData:
		return fmt.Errorf("%w: %d bytes of data, at most %d are possible", ErrInvalidProposal, len(p.Data), MaxData)
	}
	return nil
}

// ProposalResult is how a proposal ended.
type ProposalResult struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Kind  Kind
	Index uint64 // index in the log
	// Accepted says that the entry was decided. Other proposals were rejected: they replaced another entry than the
	// newest, or the log has as many kinds as it may have.
	Accepted bool
}
