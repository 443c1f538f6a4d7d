package agent

import (
	"fmt"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/policy"
)

// rolloutRetry is the time after which a step that was proposed and not decided is proposed again.
const rolloutRetry = time.Second

// rolloutStep is the last part of the id of a proposal that advances a change. The same step of a change has the same
// id, whoever proposes it, so that it is decided once.
type rolloutStep string

const (
	stepCanary  rolloutStep = "tried"
	stepDecided rolloutStep = "decided"
	stepGivenUp rolloutStep = "given-up"
	stepAborted rolloutStep = "aborted" // by an operator
)

// proposalID is the id of the proposal for this step of the change in an entry.
func (s rolloutStep) proposalID(entry uint64) string {
	return fmt.Sprintf("policy-%d-%s", entry, string(s))
}

// stepTo is the step from a state with a pending change to the next state.
func stepTo(next *policy.State) rolloutStep {
	switch {
	case next.Change != nil:
		return stepCanary
	case next.Ended[len(next.Ended)-1].Accepted:
		return stepDecided
	default:
		return stepGivenUp
	}
}

// committedPolicy is the newest policy in the log, at a voter.
type committedPolicy struct {
	state *policy.State
	entry uint64 // of state
}

// rollout is the leader's part in a change of the policy.
type rollout struct {
	controller  *policy.Rollout             // nil: this node has not led yet
	statuses    map[int]policy.MemberStatus // by node, as it reported last
	proposedAt  time.Duration               // when a step was proposed last; 0: never
	rulesNumber uint64                      // of the policy whose rules the planner has
}

// newestPolicy is the newest state in the log, at a voter. An entry that this version can't decode is skipped.
func (a *Agent) newestPolicy() (state *policy.State, entry uint64) {
	committed := &a.committedPolicy
	newest := a.follower.Newest(policy.Kind)
	if newest.Index != committed.entry {
		state, err := policy.Decode(newest.Data)
		if err == nil {
			*committed = committedPolicy{state: state, entry: newest.Index}
		}
	}
	return committed.state, committed.entry
}

// logCommittedPolicy logs what the log has decided since the last call, at a voter.
func (a *Agent) logCommittedPolicy() {
	if a.options.Policy == nil {
		return
	}
	before := a.committedPolicy.state
	state, entry := a.newestPolicy()
	if state.Number != before.Number {
		a.logPolicy("fleet_policy_committed", state, entry)
	}
	if ended := len(state.Ended); ended > 0 && before.Change != nil && state.Ended[ended-1].ID == before.Change.ID {
		outcome := state.Ended[ended-1]
		a.options.Log("fleet_policy_ended", "id", outcome.ID, "number", outcome.Number,
			"taken", outcome.Accepted, "why", outcome.Reason)
	}
	if isOnTrial(state.Change) && !isOnTrial(before.Change) {
		a.options.Log("fleet_policy_trial", "id", state.Change.ID, "number", state.Change.Number)
	}
}

func isOnTrial(change *policy.Change) bool {
	return change != nil && change.Stage == policy.StageCanary
}

// leaderNotice is the leader's summary of the policy, which it sends with its answers; empty in a fleet without a
// policy. Nodes derive their leases to serve from it.
func (a *Agent) leaderNotice() policy.LeaderNotice {
	if a.options.Policy == nil {
		return policy.LeaderNotice{}
	}
	state, entry := a.newestPolicy()
	notice := policy.NoticeOf(entry, state)
	notice.Window = uint32(a.options.Policy.Rules.Window / time.Millisecond)
	return notice
}

// startRollouts starts the leader's part in changes of the policy, if the fleet has one.
func (a *Agent) startRollouts() {
	current, _ := a.newestPolicy()
	if a.options.Policy == nil {
		return
	}
	a.rollout.controller = policy.NewRollout(a.options.Policy.Rules)
	a.rollout.statuses = map[int]policy.MemberStatus{}
	a.rollout.rulesNumber = current.Number
}

// observePolicyStatus records a member's report.
func (a *Agent) observePolicyStatus(node int, status policy.MemberStatus) {
	if a.rollout.controller == nil {
		return
	}
	if known := a.rollout.statuses[node]; status.Entry < known.Entry && status.Arrived >= known.Arrived {
		return // the other aggregator reported it before
	}
	a.rollout.statuses[node] = status
	a.rollout.controller.Observe(node, status)
}

// members are all nodes of the list, with what they reported to this leader.
func (a *Agent) members() (members []policy.Member) {
	view := a.planner.CutDetector()
	for i := range a.options.List.Len() {
		node := a.options.List.Node(i)
		status, heard := a.rollout.statuses[i]
		members = append(members, policy.Member{
			Name: node.Name, Node: i, Zone: node.Zone, Live: view.IsLive(i), HasStatus: heard, Status: status,
		})
	}
	return members
}

// advanceRollout proposes the next step of the pending change, at the leader. After a change of the policy in force it
// starts a planner with its rules.
func (a *Agent) advanceRollout(now time.Duration) {
	rollout := &a.rollout
	if a.options.Policy == nil || rollout.controller == nil {
		return
	}
	state, entry := a.newestPolicy()
	if state.Number != rollout.rulesNumber {
		rollout.rulesNumber = state.Number
		a.startPlanner(now)
	}
	isProposed := rollout.proposedAt > 0 && now-rollout.proposedAt < rolloutRetry
	if state.Change == nil || isProposed {
		return
	}
	if a.localPolicy.entry != entry { // what is not on this node's disk yet it can't judge
		return
	}
	next := rollout.controller.Step(now, entry, state, a.localPolicy.document, a.members())
	if next == nil {
		return
	}
	rollout.proposedAt = now
	err := a.voter.Propose(consensus.Proposal{
		ID: stepTo(next).proposalID(entry), Kind: policy.Kind, Replaces: entry, Data: next.Encode(),
	})
	if err != nil {
		a.options.Log("fleet_policy_not_proposed", "error", err.Error())
	}
}
