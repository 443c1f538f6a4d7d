package failover

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/choice"
	"spurwinch/internal/membership"
)

// TestAllot holds for drawn demands: nothing is placed that nobody wants or no room takes, classes that stay do, what is worth more is not
// turned away where what is worth less is let in beside it, and no more leaves its zone than must.
func TestAllot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "zones")
		d := demand{worth: []float64{3, 1, 1.5}, stay: []bool{false, false, rapid.Bool().Draw(t, "stay")}}
		for o := range n {
			d.room = append(d.room, rapid.Float64Range(0, 100).Draw(t, "room"))
			d.region = append(d.region, fmt.Sprint(o/2))
			var want []float64
			for range 3 {
				want = append(want, rapid.Float64Range(0, 40).Draw(t, "want"))
			}
			d.want = append(d.want, want)
		}
		for o := range n {
			var far []float64
			for p := range n {
				switch {
				case o == p:
					far = append(far, 0)
				case d.region[o] == d.region[p]:
					far = append(far, 1)
				default:
					far = append(far, 2)
				}
			}
			d.far = append(d.far, far)
		}
		a := allot(d)
		wanted, room, crossed, least := 0.0, 0.0, 0.0, 0.0
		for o := range n {
			in, own := 0.0, 0.0
			for p := range n {
				in += a.between(p, o)
				if p != o {
					crossed += a.between(o, p)
				}
				if d.stay[2] && d.region[o] != d.region[p] && a[o][p][2] > 1e-6 {
					t.Fatalf("a class that stays went from %d to %d", o, p)
				}
			}
			if in > d.room[o]+1e-6 {
				t.Fatalf("zone %d has room for %v and gets %v", o, d.room[o], in)
			}
			for c, w := range d.want[o] {
				if let := a.let(o, c); let > w+1e-6 || let < 0 {
					t.Fatalf("zone %d wants %v of class %d and gets %v", o, w, c, let)
				}
				own += w
			}
			wanted, room, least = wanted+own, room+d.room[o], least+max(0, own-d.room[o])
		}
		placed := 0.0
		for o := range n {
			for c := range 3 {
				placed += a.let(o, c)
			}
		}
		if !d.stay[2] {
			if math.Abs(placed-min(wanted, room)) > 1e-3*(1+wanted) {
				t.Fatalf("%v placed, wanted are %v and room is %v", placed, wanted, room)
			}
			if wanted <= room && crossed > least+1e-3*(1+wanted) {
				t.Fatalf("%v crossed, %v must", crossed, least)
			}
			if low, high := 0.0, 0.0; true {
				for o := range n {
					low, high = low+a.let(o, 1), high+d.want[o][0]-a.let(o, 0)
				}
				if high > 1e-3*(1+wanted) && low > 1e-3*(1+wanted) {
					t.Fatalf("%v of what is worth most is turned away, %v of what is worth least is let in", high, low)
				}
			}
		}
	})
}

// TestMixesStayInRoom plays plans one after another under drawn demands, rooms and confirmations: whatever plan each node goes by, of those
// that it may still have, the parts of all, and what lenders may have lent, stay within the largest room that any of these plans states; also
// where another planner goes on that knows nothing but the newest plan.
func TestMixesStayInRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, nodes := rapid.IntRange(2, 4).Draw(t, "zones"), rapid.IntRange(4, 12).Draw(t, "nodes")
		var all []membership.Node
		for i := range nodes {
			all = append(all, membership.Node{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i%zones), Region: "r", Voter: i < 3})
		}
		l, err := membership.NewList(all)
		if err != nil {
			t.Fatal(err)
		}
		rules := Rules{UtilizationLimit: 0.85, GrantLifetime: 10 * time.Second, RecoveryDelay: 4 * time.Second, RecoveryRamp: 0.2, RegionDistance: func(a, b string) float64 { return 1 },
			Classes: []Class{{"c", 1, false}}}
		now := time.Minute
		p := NewPlanner(l, rules, PlanHistory{}, now)
		using := make([]int, nodes) // places in plans
		type former struct {
			plan int
			left time.Duration
		}
		lent := make([][]former, nodes) // plans that a node went by before
		var plans []*Plan
		var from []time.Duration
		load := make([]float64, zones)
		for i := range load {
			load[i] = rapid.Float64Range(1, 60).Draw(t, "load")
		}
		for step := range 80 {
			now += 250 * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				load[rapid.IntRange(0, zones-1).Draw(t, "zone")] = rapid.Float64Range(0, 90).Draw(t, "load")
			}
			out := rapid.SampledFrom([]int{-1, -1, -1, 0, 1}).Draw(t, "lost zone")
			if step%2 == 0 {
				for z := range zones {
					s := EvidenceSummary{Zone: fmt.Sprintf("z%d", z), Classes: []string{"c"}, Arrived: []float32{1}, Rejected: []float32{0}}
					for x := range zones {
						r := ZoneEvidence{Zone: fmt.Sprintf("z%d", x), Nodes: 1, Ready: 4, Capacity: 4, Load: float32(load[x] / 25), Cost: 0.04, OwnLoad: []float32{0}, Attempts: 5}
						if x == z {
							r.OwnLoad[0] = float32(load[x])
						}
						if x == out && step > 20 {
							r.Ejected, r.Failed = 4, 5
						}
						s.Zones = append(s.Zones, r)
					}
					for _, i := range l.InZone(s.Zone) {
						if len(plans) > 0 && rapid.IntRange(0, 3).Draw(t, "deaf") > 0 {
							for k := using[i]; k < len(plans)-1; k++ {
								lent[i] = append(lent[i], former{k, now})
							}
							using[i] = len(plans) - 1
							s.Nodes = append(s.Nodes, NodeStatus{Node: i, Plan: uint64(using[i] + 1)})
						} else if len(plans) == 0 {
							s.Nodes = append(s.Nodes, NodeStatus{Node: i})
						}
					}
					p.Observe(0, s, false, now)
				}
			}
			next := p.Step(now)
			if next == nil {
				continue
			}
			next, err := DecodePlan(next.Encode())
			if err != nil {
				t.Fatal(err)
			}
			plans, from = append(plans, next), append(from, now)
			p.ApplyPlan(uint64(len(plans)), next, now)
			if rapid.IntRange(0, 9).Draw(t, "another planner") == 0 {
				p = NewPlanner(l, rules, PlanHistory{Plans: []VersionedPlan{{uint64(len(plans)), next, now}}}, now)
			}
			// Each node goes by the worst plan for the zone that it may still have.
			for z := range zones {
				name, sum, room := fmt.Sprintf("z%d", z), 0.0, 0.0
				for i := range nodes {
					most := 0.0
					for k := using[i]; k < len(plans); k++ {
						m := Planned
						if k+1 < len(plans) && now-from[k+1] > rules.GrantLifetime {
							m = OwnZoneOnly
						}
						if v := GrantShare(m, plans[k], i, l.Node(i).Zone)[name]; v > most {
							most = v
						}
						room = max(room, plans[k].StatedCapacity(name))
					}
					sum += most
					reserve := 0.0
					lend := func(k int) {
						if z := plans[k].Zones[plans[k].zone(name)]; z.LeaseOwner == i && (k+1 == len(plans) || now-from[k+1] <= rules.GrantLifetime+LeaseDuration) {
							reserve = max(reserve, float64(z.Reserve))
							room = max(room, float64(z.Capacity))
						}
					}
					for k := using[i]; k < len(plans); k++ {
						lend(k)
					}
					for _, f := range lent[i] {
						if now-f.left <= LeaseDuration {
							lend(f.plan)
						}
					}
					sum += reserve
				}
				if sum > room*1.001+0.01 {
					t.Fatalf("step %d, plan %d: all may have %.3f in %s, the largest room of plans in use is %.3f", step, len(plans), sum, name, room)
				}
			}
		}
		if len(plans) == 0 {
			t.Fatal("no plan was made")
		}
	})
}

// TestLender plays borrowers whose asks and answers are lost, late or repeated, reserves that shrink, and lenders that are started anew: what
// all borrowers go by is never over the largest reserve of the time that a loan lasts.
func TestLender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		l := NewLeaseOwner(now - 2*settles)
		type loan struct {
			load  float64
			until time.Duration
		}
		has := make([]loan, 4)
		var reserves []loan // each with when it was in force last
		reserve := 20.0
		gave := false
		for range 200 {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 15).Draw(t, "what") {
			case 0:
				reserves = append(reserves, loan{reserve, now})
				reserve = rapid.Float64Range(0, 40).Draw(t, "reserve")
			case 1:
				l = NewLeaseOwner(now) // another process
			default:
				i := rapid.IntRange(0, 3).Draw(t, "who")
				asked, asks := now, rapid.Float64Range(0, 25).Draw(t, "asks")
				if has[i].load > asks { // it goes by less before it asks for less
					has[i].load = asks
				}
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond
				got := l.Grant(i, asks, reserve, now)
				gave = gave || got > 0
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 && now < asked+LeaseDuration {
					has[i] = loan{got, asked + LeaseDuration}
				}
			}
			sum, most := 0.0, reserve
			for _, h := range has {
				if now < h.until {
					sum += h.load
				}
			}
			for _, r := range reserves {
				if now-r.until <= LeaseDuration {
					most = max(most, r.load)
				}
			}
			if sum > most+1e-6 {
				t.Fatalf("%v is lent of %v", sum, most)
			}
		}
		if !gave {
			t.Skip("nothing was lent")
		}
	})
	l := NewLeaseOwner(0)
	if v := l.Grant(1, 5, 10, time.Second); v != 0 {
		t.Errorf("just started: %v is lent, and the process before it may have lent all", v)
	}
	if v := l.Grant(1, 5, 10, 2*settles); v != 5 {
		t.Errorf("%v is lent of 10, 5 was asked for", v)
	}
}

// TestAsks holds who borrows where: nobody while there is room, near before far, nothing in zones whose hosts fail.
func TestAsks(t *testing.T) {
	p := &Plan{Zones: []Zone{{Name: "a", Region: "r", Nodes: 1, Listed: 1, Capacity: 40, GuestLoad: 1, Demand: []float32{0}, LeaseOwner: 0, Reserve: 2},
		{Name: "b", Region: "r", Nodes: 1, Listed: 1, Demand: []float32{0}, LeaseOwner: 1, Reserve: 10}, {Name: "c", Region: "s", Nodes: 1, Listed: 1, Demand: []float32{0}, LeaseOwner: 2, Reserve: 10}},
		Classes: []string{"x"}, StayInRegion: []bool{false}, AdmitFractions: [][]int{{255}, {255}, {255}}, Before: [][]float32{{0, 0, 0}, {0, 0, 0}, {0, 0, 0}}, Grants: []Grant{{From: 0, To: 0, Load: 10}}, GrantLifetime: 10}
	news := func(out int, held, arrived, refused float64) choice.Observations {
		return choice.Observations{Zones: []choice.ZoneObservations{{Zone: "a", Ready: 4, Ejected: out, OwnLoad: []float64{held}}, {Zone: "b", Ready: 4}, {Zone: "c", Ready: 4}},
			Classes: []choice.ClassObservations{{Arrived: arrived, Rejected: refused}}}
	}
	for _, c := range []struct {
		name string
		n    choice.Observations
		full map[string]bool
		want []string
	}{
		{"room of its own", news(0, 5, 1, 0), nil, nil},
		{"nearly full", news(0, 17, 2, 0), nil, []string{"a"}},
		{"its own part is full, with room elsewhere", news(0, 18, 2, 0), nil, []string{"a"}},
		{"its own lender has no more", news(0, 18, 4, 2), map[string]bool{"a": true}, []string{"a", "b"}},
		{"its own zone fails", news(4, 0, 5, 5), nil, []string{"b"}},
		{"and the region has no more", news(4, 0, 5, 5), map[string]bool{"b": true}, []string{"b", "c"}},
	} {
		p.Grants = p.Grants[:1]
		if c.name == "its own part is full, with room elsewhere" {
			p.Grants = append(p.Grants, Grant{From: 0, To: 1, Load: 40})
		}
		got := LeaseDemand(Planned, p, 0, "a", c.n, 100*time.Millisecond, 12, map[string]float64{}, c.full)
		if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, c.want) {
			t.Errorf("%s: %v is asked for, wanted from %v", c.name, got, c.want)
		}
	}
}

// TestUse holds what a node's module is told, as cases.
func TestUse(t *testing.T) {
	p := &Plan{Zones: []Zone{{Name: "a", Region: "r", Nodes: 2, Listed: 3, Capacity: 40, GuestLoad: 1, Demand: []float32{0, 0}}, {Name: "b", Region: "r", Nodes: 2, Listed: 2, Demand: []float32{0, 0}},
		{Name: "c", Region: "s", Nodes: 1, Listed: 1, Demand: []float32{0, 0}}}, Classes: []string{"x", "stays"}, StayInRegion: []bool{false, true}, LostNodes: []int{2},
		AdmitFractions: [][]int{{255, 51}, {255, 255}, {255, 255}}, Before: [][]float32{{0, 0, 0}, {0, 0, 0}, {0, 0, 0}}, Grants: []Grant{{From: 0, To: 0, Load: 30}, {From: 0, To: 1, Load: 8, RegionLoad: 4}, {From: 0, To: 2, Load: 18}}, GrantLifetime: 10}
	if _, err := DecodePlan(p.Encode()); err != nil {
		t.Fatal(err)
	}
	zones := func(z choice.ZonePlan) (s string) {
		for _, g := range z.Grants {
			s += fmt.Sprintf("%s%v ", g.Zone, g.ExcludedClasses)
		}
		return s
	}
	for _, c := range []struct {
		name string
		m    Mode
		node int
		want string
	}{
		{"alone: its own zone", Standalone, 0, "a[] "},
		{"planned: near first, and what must stay has its part", Planned, 0, "a[] b[1] b[0] c[1] "},
		{"ground: its own zone", OwnZoneOnly, 0, "a[] "},
		{"out of the view: its own zone", Planned, 2, "a[] "},
	} {
		got := ZonePlanFor(c.m, p, c.node, "a", []string{"x", "stays"}, time.Second, LeasedCapacity{})
		if zones(got) != c.want {
			t.Errorf("%s: %s, wanted %s", c.name, zones(got), c.want)
		}
		if c.m == Planned && (got.AdmitFraction[1] != 0.2 || got.RetryAfter != time.Second) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if a, b := GrantShare(Planned, p, 0, "a")["a"], GrantShare(Planned, p, 2, "a")["a"]; a != 15 || b != 10 {
		t.Errorf("parts %v and, out of the view, %v", a, b)
	}
}

// FuzzDecode holds that no bytes from a peer break the node, and that what is read can be used.
func FuzzDecode(f *testing.F) {
	f.Add((&Plan{Zones: []Zone{{Name: "a"}}, AdmitFractions: [][]int{{}}}).Encode())
	f.Add(EvidenceSummary{Zone: "a", Classes: []string{"c"}, Arrived: []float32{1}, Rejected: []float32{1}}.Encode())
	f.Add([]byte{0x9f})
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := DecodePlan(b); err == nil {
			for _, m := range []Mode{Standalone, Planned, OwnZoneOnly} {
				ZonePlanFor(m, p, 0, "a", []string{"c"}, time.Second, LeasedCapacity{})
			}
			p.StatedCapacity("a")
		}
		if s, err := DecodeEvidenceSummary(b); err == nil {
			s.Add(s)
		}
		DecodeOperatorOrders(b)
	})
}
