package agent

import (
	"testing"
	"time"

	"spurwinch/internal/failover"
)

// newLease is a lease of node b's zone that this agent has requested at a time, by a message of clock 42.
func newLease(agent *Agent, requestedAt time.Duration) *capacityLease {
	lease := &capacityLease{requested: 3, requestClock: 42, requestedAt: requestedAt}
	agent.borrower.leases["z"] = lease
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
