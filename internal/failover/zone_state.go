package failover

import (
	"fmt"
	"slices"
	"time"
)

// zoneState is what the planner knows of a zone.
type zoneState struct {
	zoneLifecycle
	capacity capacityEstimate
	demand   demandEstimate
	report   zoneReport
}

// zoneLifecycle is a zone's state and what its next transition depends on.
type zoneLifecycle struct {
	state        State
	since        time.Duration // in this state
	healthySince time.Duration // while lost: its servers answer since then; 0: they don't
	returnedAt   time.Duration // when its last recovery began; 0: never
	flaps        int           // losses in a row within flapPeriod of a recovery; operators see it in the plan
	ramp         float64       // fraction of its capacity that is in use again, while it is Returning
}

// zoneReport is the newest evidence of a zone's nodes.
type zoneReport struct {
	summary    EvidenceSummary
	at         time.Duration // 0: none came
	aggregator int           // node that sent it
}

// fresh reports whether the evidence is no older than evidenceLifetime.
func (r *zoneReport) fresh(now time.Duration) bool { return r.at > 0 && now-r.at <= evidenceLifetime }

// newZoneState begins where the newest plan, if there is one, left a zone.
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
		if place := slices.Index(newest.Classes, class.Name); place >= 0 {
			state.demand.start(i, float64(planned.Demand[place]))
		}
	}
	return state
}

// usable is what a plan may grant of a zone's capacity.
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

// advanceRamp puts a further fraction of a returning zone's capacity into use.
func (z *zoneLifecycle) advanceRamp(part float64) {
	if z.state == Returning {
		z.ramp = min(1, z.ramp+part)
	}
}

// stateChange is a zone's change of state, with its cause, for operators.
type stateChange struct {
	zone  string
	state State
	cause string
}

func (c stateChange) String() string { return fmt.Sprintf("%s %s: %s", c.zone, c.state, c.cause) }

// Causes of changes that don't come of evidence.
const (
	causeDrainOrdered = "an operator's order"
	causeDrainRevoked = "the order to drain it was taken back"
	causeAllLookLost  = "every zone looks lost, which is suspect: there is nowhere else to go"
	causeRampEnded    = "all of its room is given back"
)

// advanceState moves a zone's state on. changed says whether it changed.
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

// returnSuspect moves a lost zone to Returning while all zones look lost, with all of its capacity at once: nothing
// indicates that its servers were restarted, and nodes send those in slow start little load anyway.
func (p *Planner) returnSuspect(zone string, now time.Duration) (change stateChange, changed bool) {
	state := p.zoneStates[zone]
	if state.returnedAt != 0 && now-state.returnedAt < flapPeriod {
		return stateChange{}, false
	}
	state.returnedAt = now
	state.ramp = 1
	return p.enterState(zone, Returning, causeAllLookLost, now)
}

// loseZone moves a zone to Lost, and counts the losses in a row that came within flapPeriod of a recovery.
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
		// Servers without recent attempts are not healthy: their ejection has merely ended.
		if !p.answers(zone, now) {
			return stateChange{}, false
		}
		state.healthySince = now
	}
	healthyFor := now - state.healthySince
	if healthyFor < p.rules.RecoveryDelay {
		return stateChange{}, false
	}
	// At most one reversal in a flap period, however often the zone comes and goes.
	if state.returnedAt > 0 && now-state.returnedAt < flapPeriod {
		return stateChange{}, false
	}
	state.returnedAt = now
	state.ramp = 0
	cause := fmt.Sprintf("its hosts answer for %v", healthyFor.Round(time.Second))
	return p.enterState(zone, Returning, cause, now)
}
