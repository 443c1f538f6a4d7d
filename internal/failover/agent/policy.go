package agent

import (
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/policy"
)

// maxReasonBytes bounds the reason that a node reports for rejecting a policy.
const maxReasonBytes = 160

// Policy configures an agent of a fleet that keeps its policy in the log.
type Policy struct {
	Rules policy.Rules
	// Read decodes a document and checks it with this node's own code. The error says why this node can't serve by the
	// document.
	Read func(text []byte) (*policy.Document, error)
	// Counts returns how many requests arrived since the process started, and how many of them were rejected or failed.
	Counts func() (arrived, rejected float64)
}

// localPolicy is the policy on this node's disk, and the node's verdict on the pending change.
type localPolicy struct {
	state    *policy.State
	entry    uint64 // index of the log entry with state
	verdict  policy.Verdict
	reason   string           // reason for a rejection
	document *policy.Document // document of the pending change, if this node can serve by it
	rejected uint64           // number of a policy whose document this node can't serve by
}

// adoptPolicy puts a policy entry that is on disk into effect, and checks its pending change.
func (a *Agent) adoptPolicy(entry consensus.Entry) {
	local := &a.localPolicy
	if a.options.Policy == nil || entry.Kind != policy.Kind || entry.Index <= local.entry {
		return
	}
	state, err := policy.Decode(entry.Data)
	if err != nil {
		a.options.Log("fleet_policy_unreadable", "number", entry.Index, "error", err.Error())
		return
	}
	before := local.state
	*local = localPolicy{state: state, entry: entry.Index, verdict: policy.VerdictPending, rejected: local.rejected}
	if change := state.Change; change != nil {
		local.check(a.options.Policy, change)
		a.options.Log("fleet_policy_change", "id", change.ID, "number", change.Number, "step", change.Stage.String(),
			"digest", policy.Digest(change.Text), "verdict", verdictText(local.verdict, local.reason))
	}
	if state.Number != before.Number {
		a.logPolicy("fleet_policy_decided", state, entry.Index)
	}
}

// check decides whether this node can serve by a change, and sets the verdict.
func (p *localPolicy) check(options *Policy, change *policy.Change) {
	document, err := options.Read(change.Text)
	if err != nil {
		p.verdict = policy.VerdictReject
		p.reason = policy.TruncateReason(err.Error(), maxReasonBytes)
		return
	}
	p.verdict = policy.VerdictAccept
	p.document = document
}

// verdictText returns a member's verdict as logs and replies show it.
func verdictText(verdict policy.Verdict, reason string) string {
	switch verdict {
	case policy.VerdictPending:
		return ""
	case policy.VerdictAccept:
		return "yes"
	default:
		return "no: " + reason
	}
}

// logPolicy logs the policy in force.
func (a *Agent) logPolicy(event string, state *policy.State, entry uint64) {
	text, _ := state.Text(state.Number) // without such a document, the digest of an empty text is logged
	a.options.Log(event, "number", state.Number, "digest", policy.Digest(text), "entry", entry)
}

// ActivePolicy returns the policy that this node may serve by, and until when by its own clock. It must be called only
// if Options.Policy is set: a fleet without a policy in the log has no such limit.
func (a *Agent) ActivePolicy() (active policy.ActiveDocument, until time.Duration) {
	local := &a.localPolicy
	active = policy.ActiveFor(a.options.Self, a.zone, local.entry, local.state, a.leader.notice)
	if !a.leader.known {
		return active, 0
	}
	return active, a.leader.confirmedAt + a.options.Policy.Rules.Lease(a.leader.notice)
}

// RejectPolicy records that this node can't serve by the document of the policy with this number.
func (a *Agent) RejectPolicy(number uint64) { a.localPolicy.rejected = number }

// policyStatus returns what this node reports about the policy with its evidence, or nil if the fleet has no policy in
// its log.
func (a *Agent) policyStatus(now time.Duration) *policy.MemberStatus {
	if a.options.Policy == nil {
		return nil
	}
	local := &a.localPolicy
	active, until := a.ActivePolicy()
	isRejected := active.Number != 0 && active.Number == local.rejected
	status := &policy.MemberStatus{
		Entry:         local.entry,
		Verdict:       local.verdict,
		Reason:        local.reason,
		KnownNumber:   local.state.Number,
		AppliedNumber: active.Number,
		MayServe:      active.Known && now < until && !isRejected,
	}
	if a.options.Policy.Counts != nil {
		status.Arrived, status.Rejected = a.options.Policy.Counts()
	}
	return status
}
