package policy

// Verdict is a member's acknowledgement of a change. Its numeric values are part of the encoded form.
type Verdict uint8

const (
	// VerdictPending means that the member has not evaluated the change yet.
	VerdictPending Verdict = iota
	// VerdictAccept means that the member can apply the change.
	VerdictAccept
	// VerdictReject means that the member can't apply the change.
	VerdictReject
)

// MemberStatus is a member's report to the leader about the policy: its acknowledgement of the change in progress, the
// number of the document that it applies, and its traffic.
type MemberStatus struct {
	_             struct{} `cbor:",toarray"`
	Entry         uint64   // newest log entry with a State that is on the member's disk
	Verdict       Verdict  // the member's verdict on the change in that entry
	Reason        string   // why the verdict is VerdictReject
	KnownNumber   uint64   // number in force according to the newest state on the member's disk
	AppliedNumber uint64   // number of the document that the member applies
	MayServe      bool     // the member has a lease and the document
	Arrived       float64  // requests since the process started
	Rejected      float64  // requests among these that were rejected or failed
}

// Member is one node of the list, as the leader knows it.
type Member struct {
	Name      string
	Node      int // number in the list of nodes
	Zone      string
	Live      bool // the leader's membership view includes the member
	HasStatus bool // this leader has received a status from the member
	Status    MemberStatus
}

// hasAcknowledged reports whether the leader has the member's verdict on the change in an entry.
func (m *Member) hasAcknowledged(entry uint64) bool {
	return m.HasStatus && m.Status.Entry == entry && m.Status.Verdict != VerdictPending
}

// serves reports whether the member applies the document with a number.
func (m *Member) serves(number uint64) bool {
	return m.Status.MayServe && m.Status.AppliedNumber == number
}

// acknowledgements summarizes the members' verdicts on a change.
type acknowledgements struct {
	rejectedBy  *Member // first live member that can't apply it; nil: none
	missing     *Member // first live member that has not answered; nil: none
	oldestKnown uint64  // oldest number that any listed member may still have
}

// collectAcknowledgements summarizes the members' verdicts on the change in a log entry. The leader does not wait for
// members that are not live, but their known numbers count for oldestKnown, since they may still use the base policies
// of these documents.
func collectAcknowledgements(members []Member, entry uint64, change *Change) acknowledgements {
	sum := acknowledgements{oldestKnown: change.Number}
	for i := range members {
		member := &members[i]
		if member.HasStatus {
			sum.oldestKnown = min(sum.oldestKnown, member.Status.KnownNumber)
		} else {
			sum.oldestKnown = 0 // the member may have any number
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
