package failover

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// twoRegionPlan returns a plan of three zones. The first two are in the same region. Node 2 is lost.
func twoRegionPlan() *Plan {
	return &Plan{
		Zones: []Zone{
			{Name: "a", Region: "r", Nodes: 2, Listed: 3, Capacity: 40, GuestLoad: 1, Demand: []float32{0, 0}},
			{Name: "b", Region: "r", Nodes: 2, Listed: 2, Demand: []float32{0, 0}},
			{Name: "c", Region: "s", Nodes: 1, Listed: 1, Demand: []float32{0, 0}},
		},
		Classes:        []string{"x", "stays"},
		StayInRegion:   []bool{false, true},
		LostNodes:      []int{2},
		AdmitFractions: [][]int{{255, 51}, {255, 255}, {255, 255}},
		EarlierLoads:   [][]float32{{0, 0, 0}, {0, 0, 0}, {0, 0, 0}},
		Grants: []Grant{
			{From: 0, To: 0, Load: 30},
			{From: 0, To: 1, Load: 8, RegionLoad: 4},
			{From: 0, To: 2, Load: 18},
		},
		GrantLifetime: 10,
	}
}

// TestZonePlanFor checks the grants of a node's load balancer in each mode, and for a lost node.
func TestZonePlanFor(t *testing.T) {
	plan := twoRegionPlan()
	if _, err := DecodePlan(plan.Encode()); err != nil {
		t.Fatalf("DecodePlan of the test's plan: %v", err)
	}
	for _, test := range []struct {
		name string
		mode Mode
		node int
		want string // granted zones, each with the classes that are excluded there
	}{
		{"standalone: own zone", Standalone, 0, "a[] "},
		{"planned: nearest first, with a grant for the regional class", Planned, 0, "a[] b[1] b[0] c[1] "},
		{"no contact to the leader: own zone", OwnZoneOnly, 0, "a[] "},
		{"lost node: own zone", Planned, 2, "a[] "},
	} {
		t.Run(test.name, func(t *testing.T) {
			classes := []string{"x", "stays"}
			zonePlan := ZonePlanFor(test.mode, plan, test.node, "a", classes, time.Second, LeasedCapacity{})
			if got := describeGrants(zonePlan); got != test.want {
				t.Errorf("ZonePlanFor: got grants %s, want %s", got, test.want)
			}
			if test.mode == Planned && (zonePlan.AdmitFraction[1] != 0.2 || zonePlan.RetryAfter != time.Second) {
				t.Errorf("ZonePlanFor: got %+v, want AdmitFraction 0.2 for class 1 and RetryAfter 1 s", zonePlan)
			}
		})
	}
}

func describeGrants(plan choice.ZonePlan) (text string) {
	for _, grant := range plan.Grants {
		text += fmt.Sprintf("%s%v ", grant.Zone, grant.ExcludedClasses)
	}
	return text
}

// TestGrantShareInOwnZone checks a node's share of its own zone's grant. A lost node has a smaller share than a live
// one.
func TestGrantShareInOwnZone(t *testing.T) {
	plan := twoRegionPlan()
	if share := NodeShares(Planned, plan, 0, "a")["a"]; share != 15 {
		t.Errorf("NodeShares of a live node: got %v, want 15", share)
	}
	if share := NodeShares(Planned, plan, 2, "a")["a"]; share != 10 {
		t.Errorf("NodeShares of a lost node: got %v, want 10", share)
	}
}
