package failover

import "time"

// StepInterval is the time between two calls of Planner.Step. Each call advances the recovery ramps by this time.
const StepInterval = time.Second / 4

// Timing of evidence and plans.
const (
	evidenceLifetime    = 3 * time.Second // older evidence is not used
	planInterval        = time.Second     // between two plans, and from the planner's start to its first plan
	minorChangeInterval = 5 * time.Second // between two plans if nothing urgent has changed
	proposalTimeout     = 3 * time.Second // the planner may replace a proposal that is not committed within this time
	crossZoneMargin     = time.Second     // added to a grant's lifetime before the grant counts as expired on all nodes
)

// How long state is kept.
const (
	flapPeriod        = time.Minute      // a lost zone recovers at most once in this period
	lostNodeMemory    = time.Minute      // how long a lost node's shares under plans from before its loss count
	demandMemory      = time.Minute      // time constant of the decay of the demand before a failure
	peakMemory        = 2 * time.Minute  // time constant of the decay of a peak load
	suspicionDuration = 20 * time.Second // distrust of evidence after all zones looked lost; ejections last up to 16 s
)

// When attempts or servers count as failing.
const (
	failingFraction = 0.5 // of the attempts on a path, or of a zone's servers; above it the path or zone fails
	minAttempts     = 4   // on a path; fewer attempts are not conclusive
)

// How capacity is divided and allocated.
const (
	lostZoneFraction      = 0.05 // of a lost zone's capacity, for its own nodes' attempts, which detect its recovery
	ownFreeFraction       = 0.1  // of the capacity that no demand needs, for the zone's own clients
	standbyFraction       = 0.85 // of the rest, granted to other zones as standby; the remainder is leased out
	unmetReserveFraction  = 0.8  // of the guest load that has no grant yet; leased out meanwhile
	tightRegionFraction   = 0.8  // of a region's capacity; above this demand some is reserved for regional classes
	regionLoadHeadroom    = 1.3  // reservation for regional classes, as a multiple of their load
	constrainedFraction   = 0.05 // of a zone's capacity; a plan that misses its targets by more is soon replaced
	negligibleGrant       = 1e-3 // load
	negligibleLoad        = 1e-6 // load, or fraction of a load
	negligibleCapacity    = 1e-9 // load
	placementRounds       = 8    // rounds in which zones share the capacity that others don't need
	grantSearchIterations = 40   // bisection steps, enough for the precision of a float
)
