package failover

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/internal/membership"
)

// TestMixesOfPlansStayInCapacity makes plans one after another under random demands, zone losses and adoptions.
// Each node uses any one of the plans that it may still have. For every combination, the sum of the shares of all nodes
// and of the load that lease owners may have leased out must stay within the largest capacity that any of these plans
// states. This must also be the case if a new planner takes over that knows only the newest plan.
func TestMixesOfPlansStayInCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := drawMixedFleet(t)
		for step := range 80 {
			fleet.step(t, step)
		}
		if len(fleet.plans) == 0 {
			t.Fatal("Step of the planner in 80 steps of the fleet: got no plan, want at least one")
		}
	})
}

// mixedFleet simulates a fleet whose nodes use different plans. Plans are given by their indices in plans.
type mixedFleet struct {
	list        *membership.List
	rules       Rules
	planner     *Planner
	now         time.Duration
	loads       []float64 // by zone
	plans       []*Plan
	newestSince []time.Duration // by plan: when it became the newest
	adopted     []int           // by node: the newest plan that it has adopted
	abandoned   [][]abandonment // by node
}

// abandonment is a plan and the time at which a node replaced it with a newer one.
type abandonment struct {
	plan int
	at   time.Duration
}

func drawMixedFleet(t *rapid.T) *mixedFleet {
	zones := rapid.IntRange(2, 4).Draw(t, "zones")
	size := rapid.IntRange(4, 12).Draw(t, "nodes")
	var nodes []membership.Node
	for i := range size {
		nodes = append(nodes, membership.Node{
			Name:   fmt.Sprintf("n%02d", i),
			Zone:   zoneName(i % zones),
			Region: "r",
			Voter:  i < 3,
		})
	}
	list, err := membership.NewList(nodes)
	if err != nil {
		t.Fatal(err)
	}
	fleet := &mixedFleet{
		list: list,
		rules: Rules{
			UtilizationLimit: 0.85,
			GrantLifetime:    10 * time.Second,
			RecoveryDelay:    4 * time.Second,
			RecoveryRamp:     0.2,
			RegionDistance:   func(string, string) float64 { return 1 },
			Classes:          []Class{{"c", 1, false}},
		},
		now:       time.Minute,
		adopted:   make([]int, size),
		abandoned: make([][]abandonment, size),
	}
	fleet.planner = NewPlanner(list, fleet.rules, PlanHistory{}, fleet.now)
	for range zones {
		fleet.loads = append(fleet.loads, rapid.Float64Range(1, 60).Draw(t, "load"))
	}
	return fleet
}

// step simulates a quarter of a second. All zones report twice a second. The servers of one of the first two zones may
// fail after the first five seconds.
func (f *mixedFleet) step(t *rapid.T, step int) {
	f.now += 250 * time.Millisecond
	f.drawLoad(t)
	lostZone := rapid.SampledFrom([]int{-1, -1, -1, 0, 1}).Draw(t, "lost zone")
	if step <= 20 {
		lostZone = -1
	}
	if step%2 == 0 {
		for zone := range f.loads {
			f.observe(t, zone, lostZone)
		}
	}
	if !f.plan(t) {
		return
	}
	for zone := range f.loads {
		f.check(t, step, zone)
	}
}

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

func (f *mixedFleet) drawLoad(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
		zone := rapid.IntRange(0, len(f.loads)-1).Draw(t, "zone")
		f.loads[zone] = rapid.Float64Range(0, 90).Draw(t, "load")
	}
}

// observe passes the evidence of a zone's nodes to the planner. Nodes that are drawn to adopt the newest plan report
// it. The others are unreachable.
func (f *mixedFleet) observe(t *rapid.T, zone, lostZone int) {
	summary := EvidenceSummary{
		Zone:     zoneName(zone),
		Classes:  []string{"c"},
		Arrived:  []float32{1},
		Rejected: []float32{0},
	}
	for other, load := range f.loads {
		evidence := ZoneEvidence{
			Zone: zoneName(other), Nodes: 1, Ready: 4, Capacity: 4, Load: float32(load / 25),
			Cost: 0.04, OwnLoad: []float32{0}, Attempts: 5,
		}
		if other == zone {
			evidence.OwnLoad[0] = float32(load)
		}
		if other == lostZone {
			evidence.Ejected = 4
			evidence.Failed = 5
		}
		summary.Zones = append(summary.Zones, evidence)
	}
	newest := len(f.plans) - 1
	for _, node := range f.list.InZone(summary.Zone) {
		switch {
		case newest < 0:
			summary.Nodes = append(summary.Nodes, NodeStatus{Node: node})
		case rapid.IntRange(0, 3).Draw(t, "adoption") > 0:
			for plan := f.adopted[node]; plan < newest; plan++ {
				f.abandoned[node] = append(f.abandoned[node], abandonment{plan, f.now})
			}
			f.adopted[node] = newest
			summary.Nodes = append(summary.Nodes, NodeStatus{Node: node, Plan: uint64(newest + 1)})
		}
	}
	f.planner.Observe(0, summary, false, f.now)
}

// plan applies the planner's next plan, if it makes one, and may replace the planner by one that knows only this plan.
// It reports whether there was a plan.
func (f *mixedFleet) plan(t *rapid.T) bool {
	next := f.planner.Step(f.now)
	if next == nil {
		return false
	}
	next, err := DecodePlan(next.Encode())
	if err != nil {
		t.Fatal(err)
	}
	f.plans = append(f.plans, next)
	f.newestSince = append(f.newestSince, f.now)
	number := uint64(len(f.plans))
	f.planner.ApplyPlan(number, next, f.now)
	if rapid.IntRange(0, 9).Draw(t, "another planner") == 0 {
		history := PlanHistory{Plans: []VersionedPlan{{number, next, f.now}}}
		f.planner = NewPlanner(f.list, f.rules, history, f.now)
	}
	return true
}

// check checks that all nodes together stay within a zone's capacity, even if each node uses the plan that gives it the
// largest share in the zone among the plans that it may still have.
func (f *mixedFleet) check(t *rapid.T, step, zone int) {
	name := zoneName(zone)
	total := 0.0
	capacity := 0.0
	for node := range f.adopted {
		share := 0.0
		for plan := f.adopted[node]; plan < len(f.plans); plan++ {
			share = max(share, NodeShares(f.modeOf(plan), f.plans[plan], node, f.list.Node(node).Zone)[name])
			capacity = max(capacity, f.plans[plan].StatedCapacity(name))
		}
		reserve, ownerCapacity := f.reserveOf(node, name)
		total += share
		total += reserve
		capacity = max(capacity, ownerCapacity)
	}
	if total > capacity*1.001+0.01 {
		t.Fatalf("step %d, plan %d: got load %.3f in %s, want at most the largest capacity %.3f of plans in use",
			step, len(f.plans), total, name, capacity)
	}
}

// modeOf returns the mode in which a node uses a plan that it still has.
func (f *mixedFleet) modeOf(plan int) Mode {
	if plan+1 < len(f.plans) && f.now-f.newestSince[plan+1] > f.rules.GrantLifetime {
		return OwnZoneOnly
	}
	return Planned
}

// reserveOf returns the most load that a node may have leased out of a zone's capacity under plans that it has or had,
// and the largest capacity that these plans state.
func (f *mixedFleet) reserveOf(node int, zone string) (reserve, capacity float64) {
	consider := func(plan int) {
		planned := f.plans[plan].Zones[f.plans[plan].zoneIndex(zone)]
		superseded := plan+1 < len(f.plans) && f.now-f.newestSince[plan+1] > f.rules.GrantLifetime+LeaseDuration
		if planned.LeaseOwner == node && !superseded {
			reserve = max(reserve, float64(planned.Reserve))
			capacity = max(capacity, float64(planned.Capacity))
		}
	}
	for plan := f.adopted[node]; plan < len(f.plans); plan++ {
		consider(plan)
	}
	for _, abandoned := range f.abandoned[node] {
		if f.now-abandoned.at <= LeaseDuration {
			consider(abandoned.plan)
		}
	}
	return reserve, capacity
}
