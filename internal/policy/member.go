package policy

// Verdict is a member's acknowledgement of a change. The numbers are part of the encoded form.
type Verdict uint8

const (
	// VerdictPending says that the member has not judged the change yet.
	VerdictPending Verdict = iota
	// VerdictAccept says that the member can serve by the change.
	VerdictAccept
	// VerdictReject says that it can't.
	VerdictReject
)

// MemberStatus is what a member reports of the policy to the leader: its acknowledgement of the change in progress, the
// number that it serves by, and its traffic.
type MemberStatus struct {
	_            struct{} `cbor:",toarray"`
	Entry        uint64   // newest entry with a State that is on its disk
	Verdict      Verdict  // on the change of that entry
	Reason       string   // of a VerdictReject
	KnownNumber  uint64   // newest number that its disk knows to be in force
	ServedNumber uint64   // number that it serves under
	MayServe     bool     // it has a lease and the document
	Arrived      float64  // requests since the process began
	Rejected     float64  // of these, rejected or failed
}

// Member is one node of the list, as the leader knows it.
type Member struct {
	Name      string
	Node      int // number in the list of nodes
	Zone      string
	Live      bool // it is in the leader's view of the fleet
	HasStatus bool // this leader has received a status of it
	Status    MemberStatus
}

// hasAcknowledged says whether the leader has a member's verdict on the change of an entry.
func (m *Member) hasAcknowledged(entry uint64) bool {
	return m.HasStatus && m.Status.Entry == entry && m.Status.Verdict != VerdictPending
}

// serves says whether a member serves by a number.
func (m *Member) serves(number uint64) bool {
	return m.Status.MayServe && m.Status.ServedNumber == number
}

// acknowledgements are the members' verdicts on a change, summed up.
type acknowledgements struct {
	rejectedBy  *Member // first live member that can't serve by it; nil: none
	missing     *Member // first live member that has not answered; nil: none
	oldestKnown uint64  // oldest number that any listed member may still have
}

// acknowledgementsOf sums up the members' verdicts on a change that stands in an entry of the log. A member that is not
// live is not waited for, but its number counts: it may serve by its base policy.
func acknowledgementsOf(members []Member, entry uint64, change *Change) acknowledgements {
	sum := acknowledgements{oldestKnown: change.Number}
	for i := range members {
		member := &members[i]
		if member.HasStatus {
			sum.oldestKnown = min(sum.oldestKnown, member.Status.KnownNumber)
		} else {
			sum.oldestKnown = 0 // it may have any
		}
		if !member.Live {
			continue
		}
		acknowledged := member.hasAcknowledged(entry)
		if !acknowledged && sum.missing == nil {
			sum.missing = member
		}
		if acknowledged && member.Status.Verdict == VerdictReject && sum.rejectedBy == nil {
			sum.rejectedBy = member
		}
	}
	return sum
}
