package agent

import (
	"math"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover"
)

// newLease adds a lease in zone z, the zone of node b, which the agent has requested at requestedAt with a message of
// clock 42.
func newLease(agent *Agent, requestedAt time.Duration) *capacityLease {
	lease := &capacityLease{requested: 3, requestClock: 42, requestedAt: requestedAt}
	agent.leaseHolder.leases["z"] = lease
	return lease
}

// TestLeaseGrant checks which replies to a request count, and that a grant that arrives after the end of the lease has
// no effect.
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
		{"reply to an older request", 1, leaseGrant{RequestClock: 41, Load: 3}, requestedAt, 0},
		{"from another zone's node", 2, leaseGrant{RequestClock: 42, Load: 3}, requestedAt, 0},
		{"negative load", 1, leaseGrant{RequestClock: 42, Load: -1}, requestedAt, 0},
		{"too late", 1, leaseGrant{RequestClock: 42, Load: 3}, requestedAt + failover.LeaseDuration, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent := newTestAgent(t)
			lease := newLease(agent, requestedAt)
			agent.dispatch(header{kind: kindLeaseGrant, from: test.from}, encode(test.grant), false, test.at)
			if lease.load != test.want {
				t.Errorf("leased load: got %v, want %v", lease.load, test.want)
			}
		})
	}
}

// TestLeaseExpires checks that a lease that is not renewed ends failover.LeaseDuration after its request.
func TestLeaseExpires(t *testing.T) {
	agent := newTestAgent(t)
	const requestedAt = time.Second
	newLease(agent, requestedAt)
	grant := encode(leaseGrant{RequestClock: 42, Load: 3})
	agent.dispatch(header{kind: kindLeaseGrant, from: 1}, grant, false, requestedAt+time.Second)
	end := requestedAt + failover.LeaseDuration
	agent.expireLeases(end - 1)
	if got := agent.leasedLoads()["z"]; got != 3 {
		t.Errorf("leased load just before the end of the lease: got %v, want 3", got)
	}
	agent.expireLeases(end)
	if got, ok := agent.leasedLoads()["z"]; ok {
		t.Errorf("leased load at the end of the lease: got %v, want no lease", got)
	}
}

// TestLeaseRequestWithoutPlan checks that an owner without a valid plan grants nothing but still replies.
func TestLeaseRequestWithoutPlan(t *testing.T) {
	agent := newTestAgent(t)
	agent.dispatch(header{kind: kindLeaseRequest, from: 1, clock: 9}, encode(leaseRequest{Load: 5}), false, time.Minute)
	messages := agent.TakeMessages()
	if len(messages) != 1 || messages[0].To != 1 {
		t.Fatalf("messages sent: got %d, want 1, to node 1", len(messages))
	}
	head, body, err := open(agent.options.Key, agent.listDigest, messages[0].Data)
	if err != nil || head.kind != kindLeaseGrant {
		t.Fatalf("reply: got kind %d, %v, want %d", head.kind, err, kindLeaseGrant)
	}
	grant, ok := decode[leaseGrant](body)
	if want := (leaseGrant{RequestClock: 9}); !ok || grant != want {
		t.Errorf("grant: got %+v, want %+v", grant, want)
	}
}

// TestRegionLoadDecaysAfterZoneRecovers checks that capacity that was reserved for regional classes while the own zone
// was failing is released with the time constant recentLoadDecaySeconds after the zone recovers, however short the
// intervals between observations are.
func TestRegionLoadDecaysAfterZoneRecovers(t *testing.T) {
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
				t.Fatalf("reserved load while the own zone is failing: got %v, want %v", got, load)
			}
			checkRegionLoadDecays(t, agent, load, interval)
		})
	}
}

// checkRegionLoadDecays has an agent observe for a minute, at an interval, that its own zone has recovered. The load
// that is reserved at the start must decay, and the load balancer must get only a few new plans for that.
func checkRegionLoadDecays(t *testing.T, agent *Agent, reserved float64, interval time.Duration) {
	t.Helper()
	recovered := choice.Observations{
		Zones: []choice.ZoneObservations{
			{Zone: "y", Ready: 4, OwnLoad: []float64{0}},
			{Zone: "z", Ready: 4, OwnLoad: []float64{reserved}},
		},
		Classes: []choice.ClassObservations{{Arrived: 1}},
	}
	const (
		timeConstant = recentLoadDecaySeconds * time.Second
		maxPlans     = 40
	)
	plans := 0
	for elapsed := interval; elapsed <= 4*timeConstant; elapsed += interval {
		agent.zonePlanChanged = false
		agent.updateRecentLoad(recovered, interval)
		if agent.zonePlanChanged {
			plans++
		}
		want := reserved * math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
		got := agent.leaseHolder.reservedRegionLoad
		if want > 1 && math.Abs(got-want) > 2*regionLoadChangeThreshold*want {
			t.Fatalf("reserved load %v after the own zone recovered: got %v, want about %v", elapsed, got, want)
		}
	}
	if got := agent.leaseHolder.reservedRegionLoad; got != 0 {
		t.Errorf("reserved load %v after the own zone recovered: got %v, want 0", 4*timeConstant, got)
	}
	if plans > maxPlans {
		t.Errorf("new plans: got %d, want at most %d, one for each relative change of %v",
			plans, maxPlans, regionLoadChangeThreshold)
	}
}
