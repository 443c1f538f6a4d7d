package failover

import (
	"fmt"
	"slices"
	"time"
)

// zoneState is what the planner knows about a zone.
type zoneState struct {
	zoneLifecycle
	capacity capacityEstimate
	demand   demandEstimate
	report   zoneReport
}

// zoneLifecycle holds a zone's state and the values on which its next transition depends.
type zoneLifecycle struct {
	state        State
	since        time.Duration // when it entered this state
	healthySince time.Duration // when its servers began to answer, while it is Lost; 0: they don't answer
	returnedAt   time.Duration // when its last recovery began; 0: never
	flaps        int           // consecutive losses within flapPeriod of a recovery; operators see it in the plan
	ramp         float64       // fraction of its capacity that plans use again, while it is Returning
}

// zoneReport is the newest evidence from a zone's nodes, summed by one of the zone's aggregators.
type zoneReport struct {
	summary    EvidenceSummary
	at         time.Duration // when it was received; 0: never
	aggregator int           // index of the node that sent it
}

// fresh reports whether evidence was received and is not older than evidenceLifetime.
func (r *zoneReport) fresh(now time.Duration) bool { return r.at > 0 && now-r.at <= evidenceLifetime }

// newZoneState returns a zone's state with the values of the newest plan, if there is one.
func newZoneState(zone string, classes []Class, newest *Plan, now time.Duration) *zoneState {
	state := &zoneState{zoneLifecycle: zoneLifecycle{since: now}, demand: newDemandEstimate(len(classes), now)}
	if newest == nil || newest.zoneIndex(zone) < 0 {
		return state
	}
	planned := &newest.Zones[newest.zoneIndex(zone)]
	state.state = planned.State
	state.flaps = planned.Flaps
	state.returnedAt = now
	state.capacity.capacity = float64(planned.Capacity)
	for i, class := range classes {
		if index := slices.Index(newest.Classes, class.Name); index >= 0 {
			state.demand.start(i, float64(planned.Demand[index]))
		}
	}
	return state
}

// usable returns the part of a zone's capacity that a plan may grant.
func (z *zoneState) usable() float64 {
	switch z.state {
	case Lost, Drained:
		return 0
	case Returning:
		return z.capacity.capacity * z.ramp
	case Healthy:
	}
	return z.capacity.capacity
}

// advanceRamp adds a fraction to the capacity of a returning zone that plans may use.
func (z *zoneLifecycle) advanceRamp(fraction float64) {
	if z.state == Returning {
		z.ramp = min(1, z.ramp+fraction)
	}
}

// stateChange is a zone's change of state, with its cause, for operators.
type stateChange struct {
	zone  string
	state State
	cause string
}

func (c stateChange) String() string { return fmt.Sprintf("%s %s: %s", c.zone, c.state, c.cause) }

// Causes of state changes that don't follow from evidence about the zone's servers.
const (
	causeDrainOrdered = "an operator's order"
	causeDrainRevoked = "the order to drain it was taken back"
	causeAllLookLost  = "every zone looks lost, which is suspect: there is nowhere else to go"
	causeRampEnded    = "all of its room is given back"
)

// advanceState moves a zone to its next state if a transition is due. changed tells whether the state changed.
func (p *Planner) advanceState(zone string, now time.Duration) (change stateChange, changed bool) {
	state := p.zoneStates[zone]
	cause, failing := p.zoneFailure(zone, now)
	drained := slices.Contains(p.orders.Drained, zone)
	switch {
	case drained && state.state == Drained:
		return stateChange{}, false
	case drained:
		return p.enterState(zone, Drained, causeDrainOrdered, now)
	case state.state == Drained:
		state.ramp = 0
		return p.enterState(zone, Returning, causeDrainRevoked, now)
	case p.suspect && state.state == Lost:
		return p.returnSuspect(zone, now)
	case p.suspect && failing:
		return stateChange{}, false
	case failing && state.state != Lost:
		return p.loseZone(zone, cause, now)
	case state.state == Lost:
		return p.recoverZone(zone, failing, now)
	case state.state == Returning && state.ramp >= 1:
		return p.enterState(zone, Healthy, causeRampEnded, now)
	}
	return stateChange{}, false
}

func (p *Planner) enterState(zone string, state State, cause string, now time.Duration) (stateChange, bool) {
	lifecycle := &p.zoneStates[zone].zoneLifecycle
	lifecycle.state = state
	lifecycle.since = now
	lifecycle.healthySince = 0
	return stateChange{zone: zone, state: state, cause: cause}, true
}

// returnSuspect moves a lost zone to Returning while the planner distrusts evidence that all zones are lost. Plans may
// use all of its capacity at once: nothing indicates that its servers were restarted, and nodes send little load to
// servers in slow start anyway.
func (p *Planner) returnSuspect(zone string, now time.Duration) (change stateChange, changed bool) {
	state := p.zoneStates[zone]
	if state.returnedAt != 0 && now-state.returnedAt < flapPeriod {
		return stateChange{}, false
	}
	state.returnedAt = now
	state.ramp = 1
	return p.enterState(zone, Returning, causeAllLookLost, now)
}

// loseZone moves a zone to Lost, and counts consecutive losses within flapPeriod of a recovery.
func (p *Planner) loseZone(zone, cause string, now time.Duration) (change stateChange, changed bool) {
	state := p.zoneStates[zone]
	if state.returnedAt > 0 && now-state.returnedAt < flapPeriod {
		state.flaps++
	} else {
		state.flaps = 0
	}
	return p.enterState(zone, Lost, cause, now)
}

// recoverZone moves a lost zone to Returning once its servers have answered for Rules.RecoveryDelay.
func (p *Planner) recoverZone(zone string, failing bool, now time.Duration) (change stateChange, changed bool) {
	state := p.zoneStates[zone]
	if _, seen := p.viewZone(zone, now); failing || !seen {
		state.healthySince = 0
		return stateChange{}, false
	}
	if state.healthySince == 0 {
		// Without recent successful attempts the servers don't count as healthy: their ejection may merely have ended.
		if !p.serversAnswer(zone, now) {
			return stateChange{}, false
		}
		state.healthySince = now
	}
	healthyFor := now - state.healthySince
	if healthyFor < p.rules.RecoveryDelay {
		return stateChange{}, false
	}
	// A zone recovers at most once in a flap period, however often it comes and goes.
	if state.returnedAt > 0 && now-state.returnedAt < flapPeriod {
		return stateChange{}, false
	}
	state.returnedAt = now
	state.ramp = 0
	cause := fmt.Sprintf("its hosts answer for %v", healthyFor.Round(time.Second))
	return p.enterState(zone, Returning, cause, now)
}
