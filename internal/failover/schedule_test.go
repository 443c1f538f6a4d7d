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

// schedule plays a fleet of four zones in two regions: clients want what is set, all nodes but the silent ones tell their evidence and go by
// the newest plan.
type schedule struct {
	t       *testing.T
	list    *membership.List
	rules   Rules
	planner *Planner
	now     time.Duration
	number  uint64
	newest  *Plan
	text    strings.Builder

	load   map[string][]float32 // by zone and class: what its clients have there
	fails  map[string]bool      // zones whose hosts fail
	unseen map[string]bool      // zones whose nodes tell nothing
	silent []int                // nodes that their watchers don't hear
	full   bool                 // clients are refused
}

func newSchedule(t *testing.T) *schedule {
	t.Helper()
	var nodes []membership.Node
	for zone, size := range map[string]int{"a": 3, "b": 2, "c": 2, "d": 1} {
		for i := range size {
			nodes = append(nodes, membership.Node{Name: fmt.Sprintf("%s%d", zone, i), Zone: zone, Region: map[bool]string{true: "r", false: "s"}[zone < "c"],
				Voter: i == 0})
		}
	}
	list, err := membership.NewList(nodes)
	if err != nil {
		t.Fatal(err)
	}
	s := &schedule{t: t, list: list, now: time.Hour, fails: map[string]bool{}, unseen: map[string]bool{}, rules: Rules{UtilizationLimit: 0.85, GrantLifetime: 10 * time.Second,
		RecoveryDelay: 4 * time.Second, RecoveryRamp: 0.2, Classes: []Class{{"chat", 2, false}, {"presence", 1, true}}, RegionDistance: func(a, b string) float64 { return 3 }},
		load: map[string][]float32{"a": {30, 6}, "b": {20, 4}, "c": {25, 0}, "d": {9, 1.5}}}
	s.planner = NewPlanner(list, s.rules, PlanHistory{}, s.now)
	return s
}

// evidence is what one node of a zone tells.
func (s *schedule) evidence(node int) EvidenceSummary {
	zone := s.list.Node(node).Zone
	nodes := float64(len(s.list.InZone(zone)))
	seen := choice.Observations{Classes: make([]choice.ClassObservations, 2)}
	for class := range seen.Classes {
		seen.Classes[class].Arrived = float64(s.load[zone][class]) / nodes / 4
		if s.full {
			seen.Classes[class].Rejected = 0.25
		}
	}
	for _, other := range s.list.Zones() {
		z := choice.ZoneObservations{Zone: other, Ready: 4, Capacity: 3.9, Load: float64(s.load[other][0]+s.load[other][1]) / 25, Cost: 0.04, OwnLoad: []float64{0, 0},
			Attempts: 6}
		if other == zone && !s.fails[zone] {
			z.OwnLoad = []float64{float64(s.load[zone][0]) / nodes, float64(s.load[zone][1]) / nodes}
		}
		if s.fails[other] {
			z.Ejected, z.Failed, z.Load = 4, 6, 0.1
		}
		seen.Zones = append(seen.Zones, z)
	}
	word := NodeStatus{Node: node, Plan: s.number}
	for _, silent := range s.silent {
		if slices.Contains(s.list.Watchers(silent), node) {
			word.Unreachable = append(word.Unreachable, silent)
		}
	}
	return Summarize(zone, []string{"chat", "presence"}, seen, word)
}

// run plays for a time, and writes down the plans that are made.
func (s *schedule) run(length time.Duration) {
	s.t.Helper()
	for end := s.now + length; s.now < end; {
		s.now += 250 * time.Millisecond
		for _, zone := range s.list.Zones() {
			if s.unseen[zone] {
				continue
			}
			all := EvidenceSummary{Zone: zone}
			for _, node := range s.list.InZone(zone) {
				if !slices.Contains(s.silent, node) {
					all.Add(s.evidence(node))
				}
			}
			s.planner.Observe(s.list.InZone(zone)[0], all, false, s.now)
		}
		next := s.planner.Step(s.now)
		if next == nil {
			continue
		}
		encoded := next.Encode()
		decoded, err := DecodePlan(encoded)
		if err != nil {
			s.t.Fatal(err)
		}
		s.number++
		s.newest = decoded
		s.planner.ApplyPlan(s.number, decoded, s.now)
		fmt.Fprintf(&s.text, "%v plan %d: %s: %x\n", s.now, s.number, next.Reason, sha256.Sum256(encoded))
	}
}

// note writes down what is known, and what each node makes of the newest plan.
func (s *schedule) note(heading string) {
	fmt.Fprintf(&s.text, "-- %s, at %v\n", heading, s.now)
	for _, zone := range s.list.Zones() {
		for _, line := range s.planner.Explain(zone, s.now) {
			fmt.Fprintln(&s.text, line)
		}
	}
	for node := range s.list.Len() {
		zone := s.list.Node(node).Zone
		seen := s.planner.NodeView(node, s.now)
		fmt.Fprintf(&s.text, "%s: live %v, plan %d, heard %.6g s ago\n", s.list.Node(node).Name, seen.Live, seen.Plan, seen.HeardSecondsAgo)
		for _, mode := range []Mode{Standalone, Planned, OwnZoneOnly} {
			borrowed := LeasedCapacity{ByZone: map[string]float64{"b": 1.25}, InRegionOnly: 0.75}
			use := ZonePlanFor(mode, s.newest, node, zone, []string{"presence", "chat"}, time.Second, borrowed)
			fmt.Fprintf(&s.text, " %v: parts", mode)
			parts := GrantShare(mode, s.newest, node, zone)
			for _, name := range slices.Sorted(maps.Keys(parts)) {
				fmt.Fprintf(&s.text, " %s %.6g", name, parts[name])
			}
			fmt.Fprintf(&s.text, "; use of %d nodes, again after %v, admit %.6g:", use.Nodes, use.RetryAfter, use.AdmitFraction)
			for _, grant := range use.Grants {
				fmt.Fprintf(&s.text, " %s %.6g but %d", grant.Zone, grant.Load, grant.ExcludedClasses)
			}
			fmt.Fprintln(&s.text)
		}
		news := choice.Observations{Zones: []choice.ZoneObservations{{Zone: zone, Ready: 4, OwnLoad: []float64{20, 3}}}, Classes: []choice.ClassObservations{{Arrived: 2, Rejected: 1}, {Arrived: 1}}}
		for _, out := range []int{0, 4} {
			news.Zones[0].Ejected = out
			asks := LeaseDemand(Planned, s.newest, node, zone, news, 100*time.Millisecond, 31, map[string]float64{"a": 1}, map[string]bool{"a": true})
			for _, name := range slices.Sorted(maps.Keys(asks)) {
				fmt.Fprintf(&s.text, " %d hosts out: asks %s for %.6g\n", out, name, asks[name])
			}
		}
	}
}

// TestGoldenSchedule holds what the planner makes of a schedule with all that it decides on: a zone lost and back, an operator's drain, nodes
// out of the view, a region short of room, another planner that knows the newest plan only, every zone lost at once. All plans, the
// reasons, what is explained to operators and what nodes make of the plans must stay as they are.
func TestGoldenSchedule(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("the golden plans were made without fused multiply-add, which the compiler uses on other machines: their last bits differ there")
	}
	s := newSchedule(t)
	s.run(10 * time.Second)
	s.note("calm")
	s.fails["a"] = true
	s.run(12 * time.Second)
	s.note("a fails")
	delete(s.fails, "a")
	s.run(90 * time.Second)
	s.note("a is back")
	s.planner.ApplyOrders(OperatorOrders{Drained: []string{"b"}})
	s.run(8 * time.Second)
	s.note("b is drained")
	s.planner.ApplyOrders(OperatorOrders{})
	s.run(20 * time.Second)
	s.silent = []int{1}
	s.run(8 * time.Second)
	s.note("a node of a is out of the view")
	s.planner = NewPlanner(s.list, s.rules, PlanHistory{Plans: []VersionedPlan{{s.number, s.newest, s.now}}}, s.now)
	s.load["a"], s.load["b"], s.full = []float32{70, 30}, []float32{80, 10}, true
	s.run(10 * time.Second)
	s.note("another planner, and more than the region has room for")
	s.full, s.unseen["d"] = false, true
	s.run(10 * time.Second)
	s.note("d is not heard")
	for _, zone := range s.list.Zones() {
		s.fails[zone] = true
	}
	s.run(30 * time.Second)
	s.note("all fail")
	golden(t, "schedule.txt", []byte(s.text.String()))
}

// TestGoldenLender holds what a lender gives to asks that grow, shrink and come too late.
func TestGoldenLender(t *testing.T) {
	var text strings.Builder
	now := time.Minute
	lender := NewLeaseOwner(now)
	for i := range 60 {
		now += time.Duration(100+50*(i%7)) * time.Millisecond
		node, asks, reserve := i%4, float64(i*37%23)/2, 20-float64(i/20)*6.5
		given := lender.Grant(node, asks, reserve, now)
		fmt.Fprintf(&text, "%v node %d asks for %.6g of %.6g, gets %.6g; lent %.6g\n", now, node, asks, reserve, given, lender.Reserved(now))
	}
	golden(t, "lender.txt", []byte(text.String()))
}
