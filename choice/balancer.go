package choice

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one node. The goroutine that calls Step owns it.
type Balancer struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // of the present step; never goes back
	actions  []Action      // of the present step
	started  bool

	servers   []*serverEntry // by id
	kinds     map[string]*serverKind
	kindOrder []*serverKind // the same kinds, in the order first seen

	requests       map[RequestID]*requestEntry
	awaitingChecks []*requestEntry // requests that wait for health checks, oldest first
	openByTenant   []int           // connections of this node, index in Settings.Tenants

	units           loadUnits
	average         fleetAverage
	totalBaseWeight float64 // of ready servers
	arrivals        arrivalRate
	admission       admissionControl
	slowStart       slowStartBudget
	groups          groupTable
	inference       inferenceState
	reservations    peerReservations
	zones           zoneTable

	fleetNodes       int     // nodes that share the fleet; settings have those that share the zone of a plan
	initialCost      float64 // load of a mean connection before anything is learned
	inFlightReported bool    // reports have the connections in flight
	messageObjective time.Duration
	failedPolls      int  // of the server list, in a row
	costsStale       bool // connections of another process came: costs are to be set anew
}

// New makes the balancer of one node. It acts first on its first Step. The error is that of Settings.Check.
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
	// Nodes that start together get their budget at different times.
	balancer.slowStart.common = tokenBucket{tokens: chanceOf(seed), refilledAt: now}
	balancer.applySettings(settings)
	return balancer, nil
}

// applySettings takes in settings that were checked. Requests under way keep the class that they came with, and what
// was learned stays; tables only grow.
func (b *Balancer) applySettings(settings Settings) {
	b.messageObjective = settings.shortestMessageObjective()
	if settings.Reports == NoReports { // there is nothing to ask servers for on the package's own account
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
	if b.zones.plan != nil && b.zones.plan.Nodes > 0 {
		settings.Nodes = b.zones.plan.Nodes
	}
	settings.Nodes *= processes // the processes of a node share its quota as nodes share the fleet
	meaningChanged := len(b.settings.Classes) > 0 && b.settings.meaning() != settings.meaning()
	b.settings = settings
	if meaningChanged {
		b.resetEstimates()
		b.updateCosts()
	}
}
