package failover

import "time"

// StepInterval is the time between two calls of Planner.Step, by which recovery ramps advance.
const StepInterval = time.Second / 4

// Timing of evidence and plans.
const (
	evidenceLifetime = 3 * time.Second // older evidence is not used
	planInterval     = time.Second     // between two plans, and from the start to the first one
	calmPlanInterval = 5 * time.Second // the same, where nothing urgent has changed
	proposalTimeout  = 3 * time.Second // a proposal that is not committed by then is made anew
	crossZoneMargin  = time.Second     // added to a grant's lifetime before it counts as ended on all nodes
)

// How long state is kept.
const (
	flapPeriod        = time.Minute      // a lost zone recovers at most once in it
	lostNodeMemory    = time.Minute      // then a lost node keeps no part by plans from before its loss
	demandMemory      = time.Minute      // time constant by which demand before a failure decays
	peakMemory        = 2 * time.Minute  // time constant by which a peak of the load decays
	suspicionDuration = 20 * time.Second // after all zones looked lost: nodes eject servers for 16 s at most
)

// When attempts or servers count as failing.
const (
	failingFraction = 0.5 // of the attempts on a path, or of a zone's servers: more are a failure
	minAttempts     = 4   // on a path: fewer are no evidence
)

// How free capacity is divided.
const (
	lostZoneFraction      = 0.05 // of a lost zone's capacity, for its own nodes, which so detect its recovery
	ownFreeFraction       = 0.1  // of the capacity that no demand needs: for the zone's own clients
	standbyFraction       = 0.85 // of the rest: standby for other zones; the remainder is leased out
	unmetReserveFraction  = 0.8  // of what guests need and have no grant for yet: leased out meanwhile
	tightRegionFraction   = 0.8  // of a region's capacity: above this demand some is reserved for regional classes
	regionLoadHeadroom    = 1.3  // times the load of regional classes: what is reserved for them then
	constrainedFraction   = 0.05 // of a zone's capacity: a plan that misses its targets by more is soon replaced
	negligibleGrant       = 1e-3 // load
	negligibleLoad        = 1e-6 // load, or part of a load
	negligibleCapacity    = 1e-9 // load
	placementRounds       = 8    // rounds in which zones share capacity that others don't need
	grantSearchIterations = 40   // bisection steps, enough for a float's precision
)
