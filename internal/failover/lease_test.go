package failover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/choice"
)

// TestLeaseOwner plays lease holders whose requests and answers are lost, late or repeated, reserves that shrink, and
// owners that are started anew: what all holders go by is never over the largest reserve of the time that a lease
// lasts.
func TestLeaseOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		market := &leaseModel{now: time.Hour, reserve: 20, held: make([]lease, 4)}
		market.owner = NewLeaseOwner(market.now - 2*leaseSettlePeriod)
		for range 200 {
			market.step(t)
			market.check(t)
		}
		if !market.granted {
			t.Skip("nothing was leased")
		}
	})
	owner := NewLeaseOwner(0)
	if granted := owner.Grant(1, 5, 10, time.Second); granted != 0 {
		t.Errorf("just started, where the process before may have leased all out: granted %v, want 0", granted)
	}
	if granted := owner.Grant(1, 5, 10, 2*leaseSettlePeriod); granted != 5 {
		t.Errorf("granted %v of 10 for a request of 5, want 5", granted)
	}
}

// leaseModel is an owner of leases with their holders.
type leaseModel struct {
	now      time.Duration
	owner    *LeaseOwner
	held     []lease // by holder
	reserve  float64
	reserves []lease // former reserves, with when they were in force last
	granted  bool
}

// step draws a new reserve, another process of the owner or a request.
func (m *leaseModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 15).Draw(t, "what") {
	case 0:
		m.reserves = append(m.reserves, lease{m.reserve, m.now})
		m.reserve = rapid.Float64Range(0, 40).Draw(t, "reserve")
	case 1:
		m.owner = NewLeaseOwner(m.now)
	default:
		m.request(t)
	}
}

func (m *leaseModel) request(t *rapid.T) {
	holder := rapid.IntRange(0, 3).Draw(t, "who")
	sent := m.now
	requested := rapid.Float64Range(0, 25).Draw(t, "asks")
	// A holder goes by less before it requests less.
	m.held[holder].load = min(m.held[holder].load, requested)
	m.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond
	granted := m.owner.Grant(holder, requested, m.reserve, m.now)
	m.granted = m.granted || granted > 0
	lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
	if !lost && m.now < sent+LeaseDuration {
		m.held[holder] = lease{granted, sent + LeaseDuration}
	}
}

func (m *leaseModel) check(t *rapid.T) {
	held := 0.0
	for _, holding := range m.held {
		if m.now < holding.expires {
			held += holding.load
		}
	}
	largest := m.reserve
	for _, former := range m.reserves {
		if m.now-former.expires <= LeaseDuration {
			largest = max(largest, former.load)
		}
	}
	if held > largest+1e-6 {
		t.Fatalf("%v is leased out, the largest reserve is %v", held, largest)
	}
}

// TestLeaseDemand holds who leases where: nobody while there is capacity, near before far, nothing in zones whose
// servers fail.
func TestLeaseDemand(t *testing.T) {
	observed := func(ejected int, load, arrived, rejected float64) choice.Observations {
		return choice.Observations{
			Zones: []choice.ZoneObservations{
				{Zone: "a", Ready: 4, Ejected: ejected, OwnLoad: []float64{load}},
				{Zone: "b", Ready: 4},
				{Zone: "c", Ready: 4},
			},
			Classes: []choice.ClassObservations{{Arrived: arrived, Rejected: rejected}},
		}
	}
	ownGrant := Grant{From: 0, To: 0, Load: 10}
	regionGrant := Grant{From: 0, To: 1, Load: 40}
	for _, test := range []struct {
		name      string
		observed  choice.Observations
		grants    []Grant
		exhausted map[string]bool
		want      []string
	}{
		{"capacity of its own", observed(0, 5, 1, 0), []Grant{ownGrant}, nil, nil},
		{"nearly full", observed(0, 17, 2, 0), []Grant{ownGrant}, nil, []string{"a"}},
		{
			"own share full, capacity elsewhere", observed(0, 18, 2, 0),
			[]Grant{ownGrant, regionGrant},
			nil,
			[]string{"a"},
		},
		{
			"own zone has no more leases", observed(0, 18, 4, 2),
			[]Grant{ownGrant},
			map[string]bool{"a": true},
			[]string{"a", "b"},
		},
		{"own zone fails", observed(4, 0, 5, 5), []Grant{ownGrant}, nil, []string{"b"}},
		{
			"own zone fails, region has no more leases", observed(4, 0, 5, 5),
			[]Grant{ownGrant},
			map[string]bool{"b": true},
			[]string{"b", "c"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			plan := leasePlan(test.grants)
			requests := LeaseDemand(Planned, plan, 0, "a", test.observed, 100*time.Millisecond, 12,
				map[string]float64{}, test.exhausted)
			if zones := slices.Sorted(maps.Keys(requests)); !slices.Equal(zones, test.want) {
				t.Errorf("requests %v, want them to be of zones %v", requests, test.want)
			}
		})
	}
}

// leasePlan is a plan of three zones, of which the first two are in one region, with a lease owner each.
func leasePlan(grants []Grant) *Plan {
	return &Plan{
		Zones: []Zone{
			{
				Name: "a", Region: "r", Nodes: 1, Listed: 1, Capacity: 40, GuestLoad: 1, Demand: []float32{0},
				LeaseOwner: 0, Reserve: 2,
			},
			{Name: "b", Region: "r", Nodes: 1, Listed: 1, Demand: []float32{0}, LeaseOwner: 1, Reserve: 10},
			{Name: "c", Region: "s", Nodes: 1, Listed: 1, Demand: []float32{0}, LeaseOwner: 2, Reserve: 10},
		},
		Classes:        []string{"x"},
		StayInRegion:   []bool{false},
		AdmitFractions: [][]int{{255}, {255}, {255}},
		EarlierLoads:   [][]float32{{0, 0, 0}, {0, 0, 0}, {0, 0, 0}},
		Grants:         grants,
		GrantLifetime:  10,
	}
}
