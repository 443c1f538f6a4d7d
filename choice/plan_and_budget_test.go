package choice_test

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/choice"
)

// smallSettings are those of one node that may do all, with one safe class.
func smallSettings(nodes int) choice.Settings {
	f := slowStartFleet{
		nodes: nodes, reports: choice.HealthCheckReports, peers: true, rules: shortWarmUp,
		costKnown: true,
	}
	s := f.settings()
	s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, time.Second
	return s
}

func smallFleet(zones int) choice.ServerList {
	l := choice.ServerList{Kind: choice.ListFull}
	for i := range 6 {
		l.Servers = append(l.Servers, choice.Server{ID: choice.ServerID(fmt.Sprint("h", i)), Zone: fmt.Sprint("z",
			i%zones), Size: 1})
	}
	return l
}

// TestRetryAfterStaysUnderTheMaximum has a plan's advice be the longest that clients heed: spread by half, it must
// not come out longer.
func TestRetryAfterStaysUnderTheMaximum(t *testing.T) {
	settings := smallSettings(1)
	balancer, err := choice.New(settings, 1, simulationStart)
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(simulationStart, []choice.Event{smallFleet(2), choice.ZonePlan{
		Grants:     []choice.Grant{},
		RetryAfter: settings.Limits.MaxRetryAfter,
	}})
	advised := 0
	for i := range 100 {
		for _, a := range balancer.Step(simulationStart, []choice.Event{choice.Request{
			ID:     choice.RequestID(fmt.Sprint(i)),
			Tenant: -1, TimeLeft: time.Second,
		}}) {
			if a, ok := a.(choice.Reject); ok && a.RetryAfter > 0 {
				if advised++; a.RetryAfter > settings.Limits.MaxRetryAfter {
					t.Fatalf("advice of %v; clients heed at most %v", a.RetryAfter, settings.Limits.MaxRetryAfter)
				}
			}
		}
	}
	if advised == 0 {
		t.Error("no advice was given")
	}
}

// TestWaitingRequestsFollowTheNewPlan has a plan come while a request waits for health checks: it must not go to a
// zone without a grant.
func TestWaitingRequestsFollowTheNewPlan(t *testing.T) {
	waited := 0
	for seed := range uint64(20) {
		balancer, err := choice.New(smallSettings(1), seed, simulationStart)
		if err != nil {
			t.Fatal(err)
		}
		actions := balancer.Step(simulationStart, []choice.Event{smallFleet(2), choice.Request{
			ID: "r", Tenant: -1,
			TimeLeft: time.Second,
		}})
		var answers []choice.Event
		for _, a := range actions {
			if a, ok := a.(choice.HealthCheck); ok {
				answers = append(answers, choice.HealthCheckResult{Server: a.Server, Report: []float64{0.3, 0.3}})
			}
		}
		if len(answers) > 0 {
			waited++
		}
		later := balancer.Step(simulationStart+time.Millisecond, append([]choice.Event{
			choice.ZonePlan{Grants: []choice.Grant{{Zone: "z0", Load: 100}}},
		}, answers...))
		for _, a := range later {
			if a, ok := a.(choice.StartAttempt); ok && a.Server != "h0" && a.Server != "h2" && a.Server != "h4" {
				t.Fatalf("seed %d: sent to %s, outside the zone of the plan", seed, a.Server)
			}
		}
	}
	if waited == 0 {
		t.Error("no request waited for health checks")
	}
}

// TestResumptionsKeepTheSlowStartBudget has the clients of a server that restarted come again at once, each to resume
// there, where servers have owners: the server in slow start must not get them all.
func TestResumptionsKeepTheSlowStartBudget(t *testing.T) {
	balancer, err := choice.New(smallSettings(30), 1, simulationStart)
	if err != nil {
		t.Fatal(err)
	}
	list := smallFleet(1)
	list.Servers[2].Started = simulationStart - 100*time.Millisecond
	balancer.Step(simulationStart, []choice.Event{list})
	sent := 0
	for i := range 60 {
		for _, a := range balancer.Step(simulationStart, []choice.Event{choice.Request{
			ID: choice.RequestID(fmt.Sprint(i)), Tenant: -1,
			TimeLeft: time.Second, StickyServer: "h2",
		}}) {
			if a, ok := a.(choice.StartAttempt); ok && a.Server == "h2" {
				sent++
			}
		}
	}
	if most := withSlack(bears(shortWarmUp, 1, shortWarmUp.OverloadTime)); float64(sent) > most {
		t.Errorf("one of 30 nodes sends %d connections to a server in slow start at once; all together may send %.1f",
			sent, most)
	}
}

// TestOwnersKeepTheSlowStartBudgetUnderUnevenTraffic has owners among 30 nodes of which a fifth gets four times the
// traffic.
func TestOwnersKeepTheSlowStartBudgetUnderUnevenTraffic(t *testing.T) {
	var sum slowStartFigures
	const seeds = 12
	for seed := range uint64(seeds) {
		f := slowStartFleet{
			name: fmt.Sprint("seed ", seed), nodes: 30, servers: 24, reports: choice.HealthCheckReports, peers: true,
			rules: shortWarmUp,
			skew:  4, costKnown: true, burst: 4, seed: seed,
		}
		sum.add(f.play(t), seeds)
	}
	t.Logf("worst window %.2f of the limit, part of an even spread %.2f", sum.worst, sum.fairPart)
	if sum.broken > 0 {
		t.Errorf("%d windows over a slow-start budget, sent by nodes that knew of its start", sum.broken)
	}
}

// TestSlowStartOfManyNodesDoesNotStarve has 300 nodes without owners: their servers in slow start get a tenth of an
// even spread at least.
func TestSlowStartOfManyNodesDoesNotStarve(t *testing.T) {
	for _, reports := range []choice.ReportSource{choice.NoReports, choice.HealthCheckReports} {
		var sum slowStartFigures
		const seeds = 4
		for seed := range uint64(seeds) {
			f := slowStartFleet{
				name: fmt.Sprint("seed ", seed), nodes: 300, servers: 24, reports: reports, rules: longWarmUp, skew: 4,
				costKnown: reports == choice.NoReports, burst: 0, seed: seed,
			}
			sum.add(f.play(t), seeds)
		}
		t.Logf("reports %d: worst window %.2f of the limit, part of an even spread %.2f", reports, sum.worst,
			sum.fairPart)
		if sum.broken > 0 || sum.fairPart < 0.1 {
			t.Errorf("reports %d: servers in slow start get %.2f of an even part, %d windows over the limit", reports,
				sum.fairPart, sum.broken)
		}
	}
}
