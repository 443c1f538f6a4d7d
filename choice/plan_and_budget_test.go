package choice_test

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// testSettings returns settings that allow every action, with a single class, which is idempotent.
func testSettings(nodes int) choice.Settings {
	fleet := slowStartFleet{
		nodes: nodes, reports: choice.HealthCheckReports, peerMessages: true, rules: shortWarmUp,
		costKnown: true,
	}
	settings := fleet.settings()
	settings.Limits.RetryAfter, settings.Limits.MaxRetryAfter = true, time.Second
	return settings
}

func testServers(zoneCount int) choice.ServerList {
	list := choice.ServerList{Kind: choice.ListFull}
	for i := range 6 {
		list.Servers = append(list.Servers, choice.Server{
			ID: choice.ServerID(fmt.Sprint("h", i)), Zone: fmt.Sprint("z", i%zoneCount), Size: 1,
		})
	}
	return list
}

// TestRetryAfterOfPlanNeverExceedsMaximum guards against a retry-after time above the maximum of the settings, the
// longest that clients obey. The plan contains this maximum, and the random variation of up to half must not make it
// longer.
func TestRetryAfterOfPlanNeverExceedsMaximum(t *testing.T) {
	settings := testSettings(1)
	balancer, err := choice.New(settings, 1, simulationStart)
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(simulationStart, []choice.Event{testServers(2), choice.ZonePlan{
		Grants:     []choice.Grant{},
		RetryAfter: settings.Limits.MaxRetryAfter,
	}})
	rejected := 0
	for i := range 100 {
		for _, a := range balancer.Step(simulationStart, []choice.Event{choice.Request{
			ID:     choice.RequestID(fmt.Sprint(i)),
			Tenant: -1, TimeLeft: time.Second,
		}}) {
			if a, ok := a.(choice.Reject); ok && a.RetryAfter > 0 {
				if rejected++; a.RetryAfter > settings.Limits.MaxRetryAfter {
					t.Fatalf("retry-after time of a rejection: got %v, want at most %v", a.RetryAfter,
						settings.Limits.MaxRetryAfter)
				}
			}
		}
	}
	if rejected == 0 {
		t.Error("rejections with a retry-after time: got 0, want at least 1")
	}
}

// TestRequestAwaitingChecksUsesNewPlan guards against a request that is placed by the plan of its arrival. A new plan
// arrives while the request waits for health checks, and the request must not be sent to a zone without a grant in it.
func TestRequestAwaitingChecksUsesNewPlan(t *testing.T) {
	waited := 0
	for seed := range uint64(20) {
		balancer, err := choice.New(testSettings(1), seed, simulationStart)
		if err != nil {
			t.Fatal(err)
		}
		actions := balancer.Step(simulationStart, []choice.Event{testServers(2), choice.Request{
			ID: "r", Tenant: -1,
			TimeLeft: time.Second,
		}})
		var results []choice.Event
		for _, a := range actions {
			if a, ok := a.(choice.HealthCheck); ok {
				results = append(results, choice.HealthCheckResult{Server: a.Server, Report: []float64{0.3, 0.3}})
			}
		}
		if len(results) > 0 {
			waited++
		}
		laterActions := balancer.Step(simulationStart+time.Millisecond, append([]choice.Event{
			choice.ZonePlan{Grants: []choice.Grant{{Zone: "z0", Load: 100}}},
		}, results...))
		for _, a := range laterActions {
			if a, ok := a.(choice.StartAttempt); ok && a.Server != "h0" && a.Server != "h2" && a.Server != "h4" {
				t.Fatalf("seed %d: server of the attempt: got %s, want one in zone z0 of the plan", seed, a.Server)
			}
		}
	}
	if waited == 0 {
		t.Error("requests that waited for health checks: got 0, want at least 1")
	}
}

// TestStickyRequestsStayWithinSlowStartBudget guards against clients that overload a restarted server because all of
// them return at once to resume their sessions there. The server is in slow start and must not get all of them. Servers
// have owners in this fleet.
func TestStickyRequestsStayWithinSlowStartBudget(t *testing.T) {
	balancer, err := choice.New(testSettings(30), 1, simulationStart)
	if err != nil {
		t.Fatal(err)
	}
	list := testServers(1)
	list.Servers[2].Started = simulationStart - 100*time.Millisecond
	balancer.Step(simulationStart, []choice.Event{list})
	attempts := 0
	for i := range 60 {
		for _, a := range balancer.Step(simulationStart, []choice.Event{choice.Request{
			ID: choice.RequestID(fmt.Sprint(i)), Tenant: -1,
			TimeLeft: time.Second, StickyServer: "h2",
		}}) {
			if a, ok := a.(choice.StartAttempt); ok && a.Server == "h2" {
				attempts++
			}
		}
	}
	if limit := overloadLimit(windowBudget(shortWarmUp, 1, shortWarmUp.OverloadTime)); float64(attempts) > limit {
		t.Errorf("connections from one of 30 nodes to a server in slow start: got %d, want at most %.1f for all",
			attempts, limit)
	}
}

// TestOwnersStayWithinSlowStartBudgetUnderSkewedTraffic guards against an overload of servers in slow start by the
// nodes with the most traffic. It runs 30 nodes with owners, and a fifth of the nodes gets four times the traffic of
// the others.
func TestOwnersStayWithinSlowStartBudgetUnderSkewedTraffic(t *testing.T) {
	var total slowStartStats
	const seeds = 12
	for seed := range uint64(seeds) {
		fleet := slowStartFleet{
			name: fmt.Sprint("seed ", seed), nodes: 30, servers: 24, reports: choice.HealthCheckReports,
			peerMessages: true, rules: shortWarmUp,
			trafficSkew: 4, costKnown: true, burstFactor: 4, seed: seed,
		}
		total.add(fleet.run(t), seeds)
	}
	t.Logf("fullest window %.2f of its limit, fraction of an even share %.2f", total.worstRatio, total.fairShare)
	if total.violations > 0 {
		t.Errorf("windows over a slow-start limit, mostly by nodes that knew of the start: got %d, want 0",
			total.violations)
	}
}

// TestSlowStartServersOfManyNodesGetTraffic guards against servers in slow start that get almost no traffic, because
// each of 300 nodes without owners has only a very small part of their budget. They must get at least a tenth of an
// even share.
func TestSlowStartServersOfManyNodesGetTraffic(t *testing.T) {
	for _, reports := range []choice.ReportSource{choice.NoReports, choice.HealthCheckReports} {
		var total slowStartStats
		const seeds = 4
		for seed := range uint64(seeds) {
			fleet := slowStartFleet{
				name: fmt.Sprint("seed ", seed), nodes: 300, servers: 24, reports: reports,
				rules: longWarmUp, trafficSkew: 4, costKnown: reports == choice.NoReports, burstFactor: 0, seed: seed,
			}
			total.add(fleet.run(t), seeds)
		}
		t.Logf("reports %d: fullest window %.2f of its limit, fraction of an even share %.2f", reports,
			total.worstRatio, total.fairShare)
		if total.violations > 0 || total.fairShare < 0.1 {
			t.Errorf("reports %d: got %.2f of an even share and %d windows over the limit, want at least 0.1 and 0",
				reports, total.fairShare, total.violations)
		}
	}
}
