package policy

import "time"

// Rollout moves a change from stage to stage. A leader creates its Rollout when it begins to lead. The canary
// observations of the previous leader are lost, and the new leader starts the observation again.
type Rollout struct {
	rules Rules

	// The newest log entry with a state. A new entry resets all fields that follow.
	entry             uint64
	entrySeen         time.Duration // when this leader first saw the entry
	unreachableSince  time.Duration // since when a live member's acknowledgement has been missing; 0: none is missing
	canaryServedSince time.Duration // when all live members of the canary had applied the change; 0: not yet
	traffic           map[int]*memberTraffic
}

// NewRollout returns the Rollout of a leader that begins to lead.
func NewRollout(rules Rules) *Rollout {
	return &Rollout{rules: rules, traffic: map[int]*memberTraffic{}}
}

// Step returns the next state to propose to the log, or nil while there is nothing to decide. entry is the log entry
// that carries state. document is the document of the change in progress, or nil if this leader could not read it.
// members holds all nodes of the list, in the order of the list.
func (r *Rollout) Step(
	now time.Duration, entry uint64, state *State, document *Document, members []Member,
) *State {
	change := state.Change
	if change == nil {
		return nil
	}
	if entry != r.entry {
		r.resetForEntry(now, entry)
	}
	acks := collectAcknowledgements(members, entry, change)
	if acks.rejectedBy != nil {
		return state.abortFor(rejectedByMember{member: acks.rejectedBy.Name, reason: acks.rejectedBy.Status.Reason})
	}
	if acks.missing != nil { // in the canary stage too, because a member that has joined since must also answer
		return r.awaitAcknowledgement(now, state, acks.missing)
	}
	r.unreachableSince = 0
	if change.Stage == StageChecking && !change.Canary.isNone() {
		return state.StartCanary()
	}
	if change.Stage == StageCanary {
		passed, failure := r.evaluateCanary(now, change, members)
		if failure != nil {
			return state.abortFor(failure)
		}
		if !passed {
			return nil
		}
	}
	if document == nil || !state.hasRoomForBase(document.Base) {
		return state.abortFor(tooManyBases{})
	}
	return state.Commit(document.Base, acks.oldestKnown)
}

// resetForEntry starts the timers and observations again for a new log entry.
func (r *Rollout) resetForEntry(now time.Duration, entry uint64) {
	r.entry = entry
	r.entrySeen = now
	r.unreachableSince = 0
	r.canaryServedSince = 0
	clear(r.traffic)
}

// awaitAcknowledgement aborts the change if an acknowledgement from a live member has been missing for longer than the
// answer timeout.
func (r *Rollout) awaitAcknowledgement(now time.Duration, state *State, missing *Member) *State {
	if r.unreachableSince == 0 {
		r.unreachableSince = now
	}
	if now-r.unreachableSince > r.rules.AnswerTimeout {
		return state.abortFor(memberUnreachable{member: missing.Name, timeout: r.rules.AnswerTimeout})
	}
	return nil
}
