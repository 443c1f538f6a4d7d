package choice

import (
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one node. The goroutine that calls Step owns it.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // time of the current step; never decreases
	actions  []Action      // actions of the current step
	started  bool

	servers   []*serverEntry // sorted by ID
	kinds     map[string]*serverKind
	kindOrder []*serverKind // the same kinds, in the order first seen

	requests       map[RequestID]*requestEntry
	awaitingChecks []*requestEntry // requests that wait for health checks, oldest first
	openByTenant   []int           // connections of this node, by index in Settings.Tenants

	units           loadUnits
	average         fleetAverage
	totalBaseWeight float64 // sum over ready servers
	arrivals        arrivalRate
	admission       admissionControl
	slowStart       slowStartBudget
	groups          groupTable
	inference       inferenceState
	reservations    peerReservations
	zones           zoneTable

	// fleetNodes is the number of nodes in the settings, each counted once per process (Settings.Processes).
	// settings.Nodes is the same number, except while a plan with ZonePlan.LiveNodes is in force: it then
	// has the nodes of the plan, counted in the same way.
	fleetNodes       int
	initialCost      float64       // load of a mean connection before anything is learned
	inFlightReported bool          // load reports include the number of connections in flight
	messageObjective time.Duration // strictest latency objective of a message; 0: none
	failedPolls      int           // consecutive failed polls of the server list
	costsStale       bool          // connections came from another process, so costs must be recomputed
}

// New returns the balancer of one node. The balancer does nothing before its first Step. If the settings are invalid,
// New returns the error of Settings.Check.
func New(settings Settings, seed uint64, now time.Duration) (*Balancer, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	balancer := &Balancer{
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          now,
		kinds:        map[string]*serverKind{},
		requests:     map[RequestID]*requestEntry{},
		units:        loadUnits{mean: 1},
		arrivals:     arrivalRate{at: now},
		admission:    admissionControl{passRate: 1, meanPriority: settings.Classes[0].Priority},
		groups:       groupTable{load: map[uint64]float64{}},
		reservations: peerReservations{pending: map[uint16]pendingPeerRequest{}, clocks: map[int]clockOffset{}},
		zones:        zoneTable{ownLoad: map[zoneClass]float64{}, attempts: map[string]*zoneAttempts{}},
	}
	// The initial tokens depend on the seed, so that nodes that start together don't spend their budget at the same
	// time.
	balancer.slowStart.common = tokenBucket{tokens: uniformFromHash(seed), refilledAt: now}
	balancer.applySettings(settings)
	return balancer, nil
}

// applySettings applies settings that the caller has validated. Requests in progress keep the class that they arrived
// with. The balancer keeps learned values unless the meaning of reports changes. The tables of tenants and classes only
// grow.
func (b *Balancer) applySettings(settings Settings) {
	b.messageObjective = settings.shortestMessageObjective()
	if settings.Reports == NoReports { // without reports, health checks can't show overload
		settings.DelaysObserved = true
	}
	b.initialCost = defaultInitialCost
	if settings.InitialCost > 0 && finite(settings.InitialCost) {
		b.initialCost = settings.InitialCost
	}
	settings.Nodes = max(1, settings.Nodes)
	settings.Limits.MaxAttempts = max(1, settings.Limits.MaxAttempts)
	b.reservations.setNodes(settings.Nodes)
	for len(b.openByTenant) < len(settings.Tenants) {
		b.openByTenant = append(b.openByTenant, 0)
	}
	b.zones.admitNewClasses(len(settings.Classes))
	processes := max(1, settings.Processes)
	b.fleetNodes = settings.Nodes * processes
	if b.zones.plan != nil && b.zones.plan.LiveNodes > 0 {
		settings.Nodes = b.zones.plan.LiveNodes
	}
	settings.Nodes *= processes // the processes of a node share its quota in the same way as nodes share the fleet
	meaningChanged := len(b.settings.Classes) > 0 && b.settings.meaning() != settings.meaning()
	b.settings = settings
	if meaningChanged {
		b.resetEstimates()
		b.updateCosts()
	}
}
