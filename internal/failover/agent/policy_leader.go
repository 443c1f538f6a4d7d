package agent

import (
	"fmt"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/policy"
)

// rolloutRetry is the time after which the leader proposes a step again that the log has not committed.
const rolloutRetry = time.Second

// rolloutStep is the last part of the ID of a proposal that advances a change. A step of a change has the same ID
// whichever node proposes it, so that it is committed only once.
type rolloutStep string

const (
	stepCanary            rolloutStep = "tried"    // the canary starts
	stepCommitted         rolloutStep = "decided"  // the change is committed
	stepAbortedByRollout  rolloutStep = "given-up" // the rollout aborts the change
	stepAbortedByOperator rolloutStep = "aborted"  // an operator aborts the change
)

// proposalID returns the ID of the proposal for this step of the change that is pending in a log entry.
func (s rolloutStep) proposalID(entry uint64) string {
	return fmt.Sprintf("policy-%d-%s", entry, string(s))
}

// stepTo returns the step that leads from a state with a pending change to the next state.
func stepTo(next *policy.State) rolloutStep {
	switch {
	case next.Change != nil:
		return stepCanary
	case next.Ended[len(next.Ended)-1].Accepted:
		return stepCommitted
	default:
		return stepAbortedByRollout
	}
}

// committedPolicy is the newest policy in a voter's log.
type committedPolicy struct {
	state *policy.State
	entry uint64 // index of the log entry with state
}

// rollout is the leader's state for rolling out policy changes.
type rollout struct {
	controller  *policy.Rollout             // nil: this node has not been the leader yet
	statuses    map[int]policy.MemberStatus // newest reported status by node
	proposedAt  time.Duration               // when the last step was proposed; 0: never
	rulesNumber uint64                      // number of the policy whose rules the planner uses
}

// newestPolicy returns the newest state in a voter's log. It skips an entry that this version can't decode.
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

// logCommittedPolicy logs, at a voter, the policies and outcomes committed since the last call.
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
	if isInCanary(state.Change) && !isInCanary(before.Change) {
		a.options.Log("fleet_policy_trial", "id", state.Change.ID, "number", state.Change.Number)
	}
}

func isInCanary(change *policy.Change) bool {
	return change != nil && change.Stage == policy.StageCanary
}

// leaderNotice returns the summary of the policy that the leader sends with its replies. Nodes derive from the summary
// how long they may serve by their policy. The summary is empty in a fleet without a policy.
func (a *Agent) leaderNotice() policy.LeaderNotice {
	if a.options.Policy == nil {
		return policy.LeaderNotice{}
	}
	state, entry := a.newestPolicy()
	notice := policy.NewLeaderNotice(entry, state)
	notice.Window = uint32(a.options.Policy.Rules.Window / time.Millisecond)
	return notice
}

// startRollouts starts the rollout of policy changes at a new leader, if the fleet has a policy.
func (a *Agent) startRollouts() {
	current, _ := a.newestPolicy()
	if a.options.Policy == nil {
		return
	}
	a.rollout.controller = policy.NewRollout(a.options.Policy.Rules)
	a.rollout.statuses = map[int]policy.MemberStatus{}
	a.rollout.rulesNumber = current.Number
}

// observePolicyStatus records a member's status. It ignores a status of an older log entry, unless the status counts
// fewer arrivals than the recorded one, as it does after the member's process has restarted.
func (a *Agent) observePolicyStatus(node int, status policy.MemberStatus) {
	if a.rollout.controller == nil {
		return
	}
	if known := a.rollout.statuses[node]; status.Entry < known.Entry && status.Arrived >= known.Arrived {
		return // the other aggregator has already reported a newer status
	}
	a.rollout.statuses[node] = status
	a.rollout.controller.Observe(node, status)
}

// members returns all nodes of the list with the statuses that they reported to this leader.
func (a *Agent) members() (members []policy.Member) {
	view := a.planner.CutDetector()
	for i := range a.options.List.Len() {
		node := a.options.List.Node(i)
		status, hasStatus := a.rollout.statuses[i]
		members = append(members, policy.Member{
			Name: node.Name, Node: i, Zone: node.Zone, Live: view.IsLive(i), HasStatus: hasStatus, Status: status,
		})
	}
	return members
}

// advanceRollout proposes, at the leader, the next step of the pending change. When another policy has come into force,
// it replaces the planner by one with the new rules.
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
	if a.localPolicy.entry != entry { // this node can't judge a change that is not on its disk yet
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
