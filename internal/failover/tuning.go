package failover

import "time"

// Timing of evidence and plans.
const (
	evidenceLifetime = 3 * time.Second // older evidence says nothing of now
	stepInterval     = time.Second / 4 // between two calls of Planner.Step
	planInterval     = time.Second     // between two plans, and the first one's wait for evidence
	calmPlanInterval = 5 * time.Second // the same, where nothing presses
	proposalTimeout  = 3 * time.Second // a proposal that is not decided by then is made anew
	crossZoneMargin  = time.Second     // on top of a grant's lifetime, before it is taken for ended everywhere
)

// How long things are remembered.
const (
	flapPeriod        = time.Minute      // a zone comes back at most once in it
	lostNodeMemory    = time.Minute      // of a node out of the view: then nothing is kept for it but a lost one's part
	demandMemory      = time.Minute      // what clients wanted before a failure fades in it
	peakMemory        = 2 * time.Minute  // the largest load of late fades in it
	suspicionDuration = 20 * time.Second // after every zone looked lost: nodes keep servers ejected for 16 s at most
)

// From which part of failures on something counts as failing.
const (
	failingFraction = 0.5 // of the attempts on a path, or of a zone's servers
	minAttempts     = 4   // on a path: fewer say nothing of it
)

// How free capacity is divided.
const (
	lostZoneFraction      = 0.05 // of a lost zone's capacity, for its own nodes: somebody must see when it is back
	ownFreeFraction       = 0.1  // of the capacity that nobody needs: for the zone's own clients
	standbyFraction       = 0.85 // of the rest: stands by for other zones; what is left is leased out
	unmetReserveFraction  = 0.8  // of what guests need and have no grant for yet: is leased out meanwhile
	tightRegionFraction   = 0.8  // of a region's capacity: from this demand on capacity is kept for classes that stay
	regionLoadHeadroom    = 1.3  // times the load of classes that stay, that is kept for them then
	constrainedFraction   = 0.05 // of a zone's capacity: a plan that misses more of its targets is made anew soon
	negligibleGrant       = 1e-3 // load
	negligibleLoad        = 1e-6 // load, or part of a load
	negligibleCapacity    = 1e-9 // load
	placementRounds       = 8    // in which zones share capacity that others leave
	grantSearchIterations = 40   // halvings: more than a float's precision asks for
)
