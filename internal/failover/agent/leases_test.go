package agent

import (
	"math"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

// newLease is a lease of node b's zone that this agent has requested at a time, by a message of clock 42.
func newLease(agent *Agent, requestedAt time.Duration) *capacityLease {
	lease := &capacityLease{requested: 3, requestClock: 42, requestedAt: requestedAt}
	agent.leaseHolder.leases["z"] = lease
	return lease
}

// TestLeaseGrant checks which answers to a request count, and how long a lease lasts.
func TestLeaseGrant(t *testing.T) {
	const requestedAt = time.Second
	for _, test := range []struct {
		name  string
		from  int
		grant leaseGrant
		at    time.Duration
		want  float64
	}{
		{"as requested", 1, leaseGrant{RequestClock: 42, Load: 3}, requestedAt, 3},
		{"less than requested", 1, leaseGrant{RequestClock: 42, Load: 2}, requestedAt, 2},
		{"more than requested", 1, leaseGrant{RequestClock: 42, Load: 4}, requestedAt, 3},
		{"of an older request", 1, leaseGrant{RequestClock: 41, Load: 3}, requestedAt, 0},
		{"of another zone's node", 2, leaseGrant{RequestClock: 42, Load: 3}, requestedAt, 0},
		{"less than nothing", 1, leaseGrant{RequestClock: 42, Load: -1}, requestedAt, 0},
		{"too late", 1, leaseGrant{RequestClock: 42, Load: 3}, requestedAt + failover.LeaseDuration, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent := newTestAgent(t)
			lease := newLease(agent, requestedAt)
			agent.dispatch(header{kind: kindLeaseGrant, from: test.from}, encode(test.grant), false, test.at)
			if lease.load != test.want {
				t.Errorf("leased load %v, wanted %v", lease.load, test.want)
			}
		})
	}
}

// TestLeaseExpires checks that a lease that is not renewed ends, counted from its request.
func TestLeaseExpires(t *testing.T) {
	agent := newTestAgent(t)
	const requestedAt = time.Second
	newLease(agent, requestedAt)
	grant := encode(leaseGrant{RequestClock: 42, Load: 3})
	agent.dispatch(header{kind: kindLeaseGrant, from: 1}, grant, false, requestedAt+time.Second)
	end := requestedAt + failover.LeaseDuration
	agent.expireLeases(end - 1)
	if got := agent.leasedLoads()["z"]; got != 3 {
		t.Errorf("just before its end: leased load %v, wanted 3", got)
	}
	agent.expireLeases(end)
	if got, ok := agent.leasedLoads()["z"]; ok {
		t.Errorf("at its end: leased load %v, wanted no lease", got)
	}
}

// TestLeaseRequestWithoutPlan checks that an owner without a valid plan grants nothing, and still answers.
func TestLeaseRequestWithoutPlan(t *testing.T) {
	agent := newTestAgent(t)
	agent.dispatch(header{kind: kindLeaseRequest, from: 1, clock: 9}, encode(leaseRequest{Load: 5}), false, time.Minute)
	messages := agent.TakeMessages()
	if len(messages) != 1 || messages[0].To != 1 {
		t.Fatalf("sent %d messages, wanted one to node 1", len(messages))
	}
	head, body, err := open(agent.options.Key, agent.listDigest, messages[0].Data)
	if err != nil || head.kind != kindLeaseGrant {
		t.Fatalf("answer of kind %d, %v, wanted %d", head.kind, err, kindLeaseGrant)
	}
	grant, ok := decode[leaseGrant](body)
	if want := (leaseGrant{RequestClock: 9}); !ok || grant != want {
		t.Errorf("granted %+v, wanted %+v", grant, want)
	}
}

// TestRegionLoadFades checks that capacity that was reserved for the classes of the region, while the own zone failed,
// is released over recentLoadMemory once that is over, however short the intervals between observations are.
func TestRegionLoadFades(t *testing.T) {
	const load = 10
	for _, interval := range []time.Duration{observeInterval, 2 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			agent := newTestAgent(t)
			agent.plan = &failover.Plan{Classes: []string{"c"}, StayInRegion: []bool{true}}
			agent.updateRecentLoad(choice.Observations{
				Zones: []choice.ZoneObservations{
					{Zone: "y", Ready: 4, OwnLoad: []float64{load}},
					{Zone: "z", Ready: 4, Ejected: 4, OwnLoad: []float64{0}},
				},
				Classes: []choice.ClassObservations{{Arrived: 1, Rejected: 1}},
			}, interval)
			if got := agent.leaseHolder.reservedRegionLoad; got != load {
				t.Fatalf("while the own zone fails: %v reserved, wanted %v", got, load)
			}
			checkRegionLoadFades(t, agent, load, interval)
		})
	}
}

// checkRegionLoadFades has an agent observe for a minute, at an interval, that its own zone has recovered. The load
// that is reserved at first has to fade, and the load balancer to get few new plans for that.
func checkRegionLoadFades(t *testing.T, agent *Agent, reserved float64, interval time.Duration) {
	t.Helper()
	recovered := choice.Observations{
		Zones: []choice.ZoneObservations{
			{Zone: "y", Ready: 4, OwnLoad: []float64{0}},
			{Zone: "z", Ready: 4, OwnLoad: []float64{reserved}},
		},
		Classes: []choice.ClassObservations{{Arrived: 1}},
	}
	const (
		memory   = recentLoadMemory * time.Second
		maxPlans = 40
	)
	plans := 0
	for elapsed := interval; elapsed <= 4*memory; elapsed += interval {
		agent.zonePlanChanged = false
		agent.updateRecentLoad(recovered, interval)
		if agent.zonePlanChanged {
			plans++
		}
		faded := reserved * math.Exp(-elapsed.Seconds()/memory.Seconds())
		got := agent.leaseHolder.reservedRegionLoad
		if faded > 1 && math.Abs(got-faded) > 2*regionLoadChanged*faded {
			t.Fatalf("%v after the own zone recovered: %v reserved, wanted about %v", elapsed, got, faded)
		}
	}
	if got := agent.leaseHolder.reservedRegionLoad; got != 0 {
		t.Errorf("%v after the own zone recovered: %v reserved, wanted none", 4*memory, got)
	}
	if plans > maxPlans {
		t.Errorf("%d new plans, wanted %d at most: one for each change by %v", plans, maxPlans, regionLoadChanged)
	}
}
