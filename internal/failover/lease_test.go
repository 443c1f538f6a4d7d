package failover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spurwinch/choice"
)

// TestLeasesStayWithinReserve simulates lease holders whose requests and replies are lost, late or repeated, reserves
// that shrink, and owners that restart. The load of the leases that all holders use must never exceed the largest
// reserve within the last LeaseDuration.
func TestLeasesStayWithinReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &leaseModel{now: time.Hour, reserve: 20, held: make([]lease, 4)}
		model.owner = NewLeaseOwner(model.now - 2*leaseSettlePeriod)
		for range 200 {
			model.step(t)
			model.check(t)
		}
		if !model.granted {
			t.Skip("the owner granted no lease")
		}
	})
	owner := NewLeaseOwner(0)
	if granted := owner.Grant(1, 5, 10, time.Second); granted != 0 {
		t.Errorf("Grant just after a start, when leases of the earlier process may be in use: got %v, want 0", granted)
	}
	if granted := owner.Grant(1, 5, 10, 2*leaseSettlePeriod); granted != 5 {
		t.Errorf("Grant for a request of 5 from a reserve of 10: got %v, want 5", granted)
	}
}

// leaseModel simulates a lease owner and the holders of its leases.
type leaseModel struct {
	now      time.Duration
	owner    *LeaseOwner
	held     []lease // by holder: the lease that it uses
	reserve  float64
	reserves []lease // former reserves; a reserve "expires" when the next one replaces it
	granted  bool    // whether the owner has granted any lease
}

// step draws the next event: a new reserve, a restart of the owner or a request of a holder.
func (m *leaseModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 15).Draw(t, "event") {
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
	holder := rapid.IntRange(0, 3).Draw(t, "holder")
	sent := m.now
	requested := rapid.Float64Range(0, 25).Draw(t, "requested")
	// A holder uses less before it requests less.
	m.held[holder].load = min(m.held[holder].load, requested)
	m.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "request delay")) * time.Millisecond
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
		t.Fatalf("load of the leases in use: got %v, want at most the largest reserve %v", held, largest)
	}
}

// TestLeaseDemand checks in which zones a node requests leases: in none while its grants suffice, in near zones before
// far ones, and never in zones whose servers fail.
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
		{"load well below own share", observed(0, 5, 1, 0), []Grant{ownGrant}, nil, nil},
		{"own share nearly full", observed(0, 17, 2, 0), []Grant{ownGrant}, nil, []string{"a"}},
		{
			"own share nearly full, large grant in region", observed(0, 18, 2, 0),
			[]Grant{ownGrant, regionGrant},
			nil,
			[]string{"a"},
		},
		{
			"own zone's lease owner exhausted", observed(0, 18, 4, 2),
			[]Grant{ownGrant},
			map[string]bool{"a": true},
			[]string{"a", "b"},
		},
		{"own zone fails", observed(4, 0, 5, 5), []Grant{ownGrant}, nil, []string{"b"}},
		{
			"own zone fails, region's lease owner exhausted", observed(4, 0, 5, 5),
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
				t.Errorf("LeaseDemand: got requests %v, want requests for zones %v", requests, test.want)
			}
		})
	}
}

// leasePlan returns a plan of three zones, each with a lease owner. The first two zones are in one region.
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
