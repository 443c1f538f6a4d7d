package agent

import (
	"fmt"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/policy"
)

// rolloutRetry is how long after its proposal a step of a rollout that is not decided is proposed anew.
const rolloutRetry = time.Second

// rolloutStep is the end of a proposal's id that moves a change on: the same step gets the same id, whoever proposes
// it.
type rolloutStep string

const (
	stepCanary  rolloutStep = "tried"
	stepDecided rolloutStep = "decided"
	stepGivenUp rolloutStep = "given-up"
	stepAborted rolloutStep = "aborted" // by an operator
)

// proposalID is the id of a proposal that moves the change of an entry on.
func (s rolloutStep) proposalID(entry uint64) string {
	return fmt.Sprintf("policy-%d-%s", entry, string(s))
}

// stepTo is the step that leads to a state from one with a change on its way.
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

// committedPolicy is the policy as the log has it, at a voter.
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

// newestPolicy is the state as the log has it, at a voter. An entry that this version can't read leaves the one before.
func (a *Agent) newestPolicy() (state *policy.State, entry uint64) {
	committed := &a.committedPolicy
	newest := a.follower.Newest(policy.Kind)
	if newest.Number != committed.entry {
		state, err := policy.Decode(newest.Data)
		if err == nil {
			*committed = committedPolicy{state: state, entry: newest.Number}
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

// leaderNotice is what this node tells of the policy as the leader.
func (a *Agent) leaderNotice() policy.LeaderNotice {
	if a.options.Policy == nil {
		return policy.LeaderNotice{}
	}
	state, entry := a.newestPolicy()
	notice := policy.NoticeOf(entry, state)
	notice.Window = uint32(a.options.Policy.Rules.Window / time.Millisecond)
	return notice
}

// startRollouts starts to move changes on, where the fleet has a policy. It has the number that planRules was called
// with.
func (a *Agent) startRollouts() {
	current, _ := a.newestPolicy()
	if a.options.Policy == nil {
		return
	}
	a.rollout.controller = policy.NewRollout(a.options.Policy.Rules)
	a.rollout.statuses = map[int]policy.MemberStatus{}
	a.rollout.rulesNumber = current.Number
}

// observePolicyStatus takes a member's report.
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

// members are all nodes of the list, as the leader knows them.
func (a *Agent) members() (members []policy.Member) {
	view := a.planner.Cut()
	for i := range a.options.List.Len() {
		node := a.options.List.Node(i)
		status, heard := a.rollout.statuses[i]
		members = append(members, policy.Member{
			Name: node.Name, Node: i, Zone: node.Zone, Live: view.Live(i), Heard: heard, Status: status,
		})
	}
	return members
}

// advanceRollout moves a change on, at the leader, and has plans made by the rules of the policy in force.
func (a *Agent) advanceRollout(now time.Duration) {
	rollout := &a.rollout
	if a.options.Policy == nil || rollout.controller == nil {
		return
	}
	state, entry := a.newestPolicy()
	if state.Number != rollout.rulesNumber {
		rollout.rulesNumber = state.Number
		a.planner = failover.NewPlanner(a.options.List, a.planRules(), a.planHistory, now)
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
	err := a.voter.Propose(agree.Proposal{
		ID: stepTo(next).proposalID(entry), Kind: policy.Kind, Replaces: entry, Data: next.Encode(),
	})
	if err != nil {
		a.options.Log("fleet_policy_not_proposed", "error", err.Error())
	}
}
