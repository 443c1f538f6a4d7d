package failover

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/membership"
)

// testFleet simulates a fleet of four zones in two regions, in steps of a quarter of a second. The test sets the
// demand and the failures. All nodes report evidence and use the newest plan, except for silent nodes and unreported
// zones.
type testFleet struct {
	t       *testing.T
	list    *membership.List
	rules   Rules
	planner *Planner
	now     time.Duration
	number  uint64 // number of the newest plan
	newest  *Plan
	text    strings.Builder // output to compare with the golden file

	loads      map[string][]float32 // load of a zone's clients, by zone and class
	failing    map[string]bool      // zones whose servers fail
	unreported map[string]bool      // zones whose nodes report nothing
	silent     []int                // nodes that report nothing and that their watchers can't reach
	rejecting  bool                 // whether nodes report rejections
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	regions := map[string]string{"a": "r", "b": "r", "c": "s", "d": "s"}
	var nodes []membership.Node
	for zone, size := range map[string]int{"a": 3, "b": 2, "c": 2, "d": 1} {
		for i := range size {
			name := fmt.Sprintf("%s%d", zone, i)
			nodes = append(nodes, membership.Node{Name: name, Zone: zone, Region: regions[zone], Voter: i == 0})
		}
	}
	list, err := membership.NewList(nodes)
	if err != nil {
		t.Fatal(err)
	}
	fleet := &testFleet{
		t:    t,
		list: list,
		now:  time.Hour,
		rules: Rules{
			UtilizationLimit: 0.85,
			GrantLifetime:    10 * time.Second,
			RecoveryDelay:    4 * time.Second,
			RecoveryRamp:     0.2,
			Classes:          []Class{{"chat", 2, false}, {"presence", 1, true}},
			RegionDistance:   func(string, string) float64 { return 3 },
		},
		loads:      map[string][]float32{"a": {30, 6}, "b": {20, 4}, "c": {25, 0}, "d": {9, 1.5}},
		failing:    map[string]bool{},
		unreported: map[string]bool{},
	}
	fleet.planner = NewPlanner(list, fleet.rules, PlanHistory{}, fleet.now)
	return fleet
}

// evidence returns the evidence that a node reports.
func (f *testFleet) evidence(node int) EvidenceSummary {
	zone := f.list.Node(node).Zone
	nodes := float64(len(f.list.InZone(zone)))
	observed := choice.Observations{Classes: make([]choice.ClassObservations, 2)}
	for class := range observed.Classes {
		observed.Classes[class].Arrived = float64(f.loads[zone][class]) / nodes / 4
		if f.rejecting {
			observed.Classes[class].Rejected = 0.25
		}
	}
	for _, other := range f.list.Zones() {
		observed.Zones = append(observed.Zones, f.observedZone(zone, other, nodes))
	}
	status := NodeStatus{Node: node, Plan: f.number}
	for _, silent := range f.silent {
		if slices.Contains(f.list.Watchers(silent), node) {
			status.Unreachable = append(status.Unreachable, silent)
		}
	}
	return Summarize(zone, []string{"chat", "presence"}, observed, status)
}

// observedZone returns what a node of one zone observes about another zone or its own.
func (f *testFleet) observedZone(zone, other string, nodes float64) choice.ZoneObservations {
	observed := choice.ZoneObservations{
		Zone:     other,
		Ready:    4,
		Capacity: 3.9,
		Load:     float64(f.loads[other][0]+f.loads[other][1]) / 25,
		Cost:     0.04,
		OwnLoad:  []float64{0, 0},
		Attempts: 6,
	}
	if other == zone && !f.failing[zone] {
		observed.OwnLoad = []float64{float64(f.loads[zone][0]) / nodes, float64(f.loads[zone][1]) / nodes}
	}
	if f.failing[other] {
		observed.Ejected = 4
		observed.Failed = 6
		observed.Load = 0.1
	}
	return observed
}

// run simulates a period of time, and records the plans that the planner makes.
func (f *testFleet) run(length time.Duration) {
	f.t.Helper()
	for end := f.now + length; f.now < end; {
		f.now += 250 * time.Millisecond
		for _, zone := range f.list.Zones() {
			f.report(zone)
		}
		next := f.planner.Step(f.now)
		if next == nil {
			continue
		}
		encoded := next.Encode()
		decoded, err := DecodePlan(encoded)
		if err != nil {
			f.t.Fatal(err)
		}
		f.number++
		f.newest = decoded
		f.planner.ApplyPlan(f.number, decoded, f.now)
		fmt.Fprintf(&f.text, "%v plan %d: %s: %x\n", f.now, f.number, next.Reason, sha256.Sum256(encoded))
	}
}

// report lets a zone's nodes report their evidence to the planner.
func (f *testFleet) report(zone string) {
	if f.unreported[zone] {
		return
	}
	sum := EvidenceSummary{Zone: zone}
	for _, node := range f.list.InZone(zone) {
		if !slices.Contains(f.silent, node) {
			sum.Add(f.evidence(node))
		}
	}
	f.planner.Observe(f.list.InZone(zone)[0], sum, false, f.now)
}

// record records what the planner knows, and the zone plan and lease requests that each node derives from the newest
// plan.
func (f *testFleet) record(heading string) {
	fmt.Fprintf(&f.text, "-- %s, at %v\n", heading, f.now)
	for _, zone := range f.list.Zones() {
		for _, line := range f.planner.Explain(zone, f.now) {
			fmt.Fprintln(&f.text, line)
		}
	}
	for node := range f.list.Len() {
		view := f.planner.NodeView(node, f.now)
		fmt.Fprintf(&f.text, "%s: live %v, plan %d, heard %.6g s ago\n",
			f.list.Node(node).Name, view.Live, view.Plan, view.LastReportSecondsAgo)
		for _, mode := range []Mode{Standalone, Planned, OwnZoneOnly} {
			f.recordZonePlan(node, mode)
		}
		f.recordLeaseDemand(node)
	}
}

// recordZonePlan records a node's granted shares and its zone plan in the given mode.
func (f *testFleet) recordZonePlan(node int, mode Mode) {
	zone := f.list.Node(node).Zone
	fmt.Fprintf(&f.text, " %v: parts", mode)
	shares := NodeShares(mode, f.newest, node, zone)
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(&f.text, " %s %.6g", name, shares[name])
	}
	leased := LeasedCapacity{ByZone: map[string]float64{"b": 1.25}, InRegionOnly: 0.75}
	plan := ZonePlanFor(mode, f.newest, node, zone, []string{"presence", "chat"}, time.Second, leased)
	fmt.Fprintf(&f.text, "; use of %d nodes, again after %v, admit %.6g:",
		plan.LiveNodes, plan.RetryAfter, plan.AdmitFraction)
	for _, grant := range plan.Grants {
		fmt.Fprintf(&f.text, " %s %.6g but %d", grant.Zone, grant.Load, grant.ExcludedClasses)
	}
	fmt.Fprintln(&f.text)
}

// recordLeaseDemand records the leases that a node requests, first without and then with ejected servers.
func (f *testFleet) recordLeaseDemand(node int) {
	zone := f.list.Node(node).Zone
	observed := choice.Observations{
		Zones:   []choice.ZoneObservations{{Zone: zone, Ready: 4, OwnLoad: []float64{20, 3}}},
		Classes: []choice.ClassObservations{{Arrived: 2, Rejected: 1}, {Arrived: 1}},
	}
	leased := map[string]float64{"a": 1}
	exhausted := map[string]bool{"a": true}
	for _, ejected := range []int{0, 4} {
		observed.Zones[0].Ejected = ejected
		requests := LeaseDemand(Planned, f.newest, node, zone, observed, 100*time.Millisecond, 31, leased, exhausted)
		for _, name := range slices.Sorted(maps.Keys(requests)) {
			fmt.Fprintf(&f.text, " %d hosts out: asks %s for %.6g\n", ejected, name, requests[name])
		}
	}
}

// TestGoldenPlansOfFailureSchedule checks that the planner's output for a schedule of events is unchanged: a zone that
// is lost and recovers, an operator's drain, a lost node, a region without enough capacity, a new planner that knows
// only the newest plan, and the loss of all zones at once. The golden file holds all plans with their reasons, the
// explanations for operators and what nodes derive from the plans.
func TestGoldenPlansOfFailureSchedule(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the golden plans were computed without fused multiply-add; compilers for other architectures use it, " +
			"so that the last bits of floats differ there")
	}
	fleet := newTestFleet(t)
	fleet.run(10 * time.Second)
	fleet.record("calm")
	fleet.failing["a"] = true
	fleet.run(12 * time.Second)
	fleet.record("a fails")
	delete(fleet.failing, "a")
	fleet.run(90 * time.Second)
	fleet.record("a is back")
	fleet.planner.ApplyOrders(OperatorOrders{Drained: []string{"b"}})
	fleet.run(8 * time.Second)
	fleet.record("b is drained")
	fleet.planner.ApplyOrders(OperatorOrders{})
	fleet.run(20 * time.Second)
	fleet.silent = []int{1}
	fleet.run(8 * time.Second)
	fleet.record("a node of a is out of the view")
	history := PlanHistory{Plans: []VersionedPlan{{fleet.number, fleet.newest, fleet.now}}}
	fleet.planner = NewPlanner(fleet.list, fleet.rules, history, fleet.now)
	fleet.loads["a"] = []float32{70, 30}
	fleet.loads["b"] = []float32{80, 10}
	fleet.rejecting = true
	fleet.run(10 * time.Second)
	fleet.record("another planner, and more than the region has room for")
	fleet.rejecting = false
	fleet.unreported["d"] = true
	fleet.run(10 * time.Second)
	fleet.record("d is not heard")
	for _, zone := range fleet.list.Zones() {
		fleet.failing[zone] = true
	}
	fleet.run(30 * time.Second)
	fleet.record("all fail")
	golden(t, "schedule.txt", []byte(fleet.text.String()))
}

// TestGoldenLeaseOwner checks that a lease owner's grants are unchanged, for requests that grow, shrink and come too
// late.
func TestGoldenLeaseOwner(t *testing.T) {
	var text strings.Builder
	now := time.Minute
	owner := NewLeaseOwner(now)
	for i := range 60 {
		now += time.Duration(100+50*(i%7)) * time.Millisecond
		node := i % 4
		requested := float64(i*37%23) / 2
		reserve := 20 - float64(i/20)*6.5
		granted := owner.Grant(node, requested, reserve, now)
		fmt.Fprintf(&text, "%v node %d asks for %.6g of %.6g, gets %.6g; lent %.6g\n",
			now, node, requested, reserve, granted, owner.LeasedOut(now))
	}
	golden(t, "lease_owner.txt", []byte(text.String()))
}
