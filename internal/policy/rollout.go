package policy

import "time"

// Rollout moves a change from stage to stage. The leader owns one from the moment it begins to lead; what a leader
// before it has observed of a canary is lost, and the new one begins the observation anew.
type Rollout struct {
	rules Rules

	// Of the newest entry of the log; the rest starts anew with each.
	entry             uint64
	entrySeen         time.Duration // when this leader first saw the entry
	unreachableSince  time.Duration // since when a live member's acknowledgement is missing; 0: none is
	canaryServedSince time.Duration // when all live members of the canary served by the change; 0: they didn't yet
	traffic           map[int]*memberTraffic
}

// NewRollout is that of a leader that begins to lead.
func NewRollout(rules Rules) *Rollout {
	return &Rollout{rules: rules, traffic: map[int]*memberTraffic{}}
}

// Step decides how a state goes on: the state to propose to the log, or nil while there is nothing to decide. entry is
// that of state, document that of the change in progress, or nil where this leader could not read it. members are all
// nodes of the list, in its order.
func (r *Rollout) Step(
	now time.Duration, entry uint64, state *State, document *Document, members []Member,
) *State {
	change := state.Change
	if change == nil {
		return nil
	}
	if entry != r.entry {
		r.restart(now, entry)
	}
	acks := acknowledgementsOf(members, entry, change)
	if acks.rejectedBy != nil {
		return state.abortFor(rejectedByMember{member: acks.rejectedBy.Name, reason: acks.rejectedBy.Status.Reason})
	}
	if acks.missing != nil { // with a canary as well: a member that came meanwhile has to answer
		return r.awaitAcknowledgement(now, state, acks.missing)
	}
	r.unreachableSince = 0
	if change.Stage == StageChecking && !change.Canary.isNone() {
		return state.StartCanary()
	}
	if change.Stage == StageCanary {
		passed, failure := r.judgeCanary(now, change, members)
		if failure != nil {
			return state.abortFor(failure)
		}
		if !passed {
			return nil
		}
	}
	if document == nil || !state.acceptsBase(document.Base) {
		return state.abortFor(basesInUse{})
	}
	return state.Commit(document.Base, acks.oldestKnown)
}

func (r *Rollout) restart(now time.Duration, entry uint64) {
	r.entry = entry
	r.entrySeen = now
	r.unreachableSince = 0
	r.canaryServedSince = 0
	clear(r.traffic)
}

// awaitAcknowledgement aborts the change where live members have not answered for too long.
func (r *Rollout) awaitAcknowledgement(now time.Duration, state *State, missing *Member) *State {
	if r.unreachableSince == 0 {
		r.unreachableSince = now
	}
	if now-r.unreachableSince > r.rules.AnswerTimeout {
		return state.abortFor(memberUnreachable{member: missing.Name, timeout: r.rules.AnswerTimeout})
	}
	return nil
}
