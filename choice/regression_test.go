package choice

import (
	"fmt"
	"testing"
	"time"
)

// Each of these tests guards against a failure that the benchmarks showed; docs/incidents describes the failures.

// placeRequest sends a request, answers all health checks with the given load, and returns the server that the request
// was placed on, or "" if it was rejected.
func (c *balancerChecker) placeRequest(id string, group uint64, load func(ServerID) float64) ServerID {
	c.tb.Helper()
	c.now += ms(1)
	c.stepAndCheck(Request{ID: RequestID(id), TimeLeft: ms(1800), Tenant: -1, Group: group})
	c.answerHealthChecks(load)
	if got := c.attemptedServers(); len(got) == 1 {
		return got[0]
	}
	return ""
}

// TestFirstRequestsAreNotRejected guards against an initial cost of a connection that is as high as the capacity of a
// whole server, which caused rejections on an idle fleet.
func TestFirstRequestsAreNotRejected(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 1)
	checker.stepAndCheck(newServerList(10))
	for i := range 10 { // all before the first tick
		if checker.placeRequest(fmt.Sprint(i), 0, constantLoad(0.4)) == "" {
			t.Fatal("idle fleet: got a rejection, want all requests placed")
		}
	}
}

// TestObservedDelaysDoNotChangeTheAverageLoad guards against observed delays that raise the fleet's average load. Only
// overloaded servers have slow messages, so one slow server would make the whole fleet seem full.
func TestObservedDelaysDoNotChangeTheAverageLoad(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 2)
	checker.stepAndCheck(newServerList(10))
	server := checker.placeRequest("a", 0, constantLoad(0.5))
	checker.stepAndCheck(Established{ID: "a", Attempt: 0, Server: server})
	for i := range 60 {
		checker.runUntil(time.Duration(i+1) * time.Second)
		checker.stepAndCheck(DelayObservation{ID: "a", Server: server, Took: ms(900)})
	}
	if checker.balancer.average.load > 0.51 {
		t.Fatalf("delays of 900 ms, all reports 0.5: got average load %.2f, want at most 0.51",
			checker.balancer.average.load)
	}
}

// TestPassRateFallsOnAFullFleetAndRecovers guards against a full fleet that admits too many requests, and against one
// that still rejects requests after its load fell. Rejected requests place no connections whose reports would show the
// lower load, so only health checks can.
func TestPassRateFallsOnAFullFleetAndRecovers(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 3)
	checker.stepAndCheck(newServerList(10))
	sendRequests := func(from, seconds int, load float64) (placed int) {
		for i := range seconds * 20 {
			checker.runUntil(time.Duration(from)*time.Second + ms(50*i))
			if checker.placeRequest(fmt.Sprint(from, "-", i), 0, constantLoad(load)) != "" {
				placed++
			}
		}
		return placed
	}
	sendRequests(0, 10, 1.3)
	if actions := len(checker.balancer.actions); actions > 3 {
		t.Errorf("last step of a rejection at load 1.3: got %d actions, want at most 3", actions)
	}
	if passRate := checker.balancer.admission.passRate; passRate > 0.1 {
		t.Errorf("pass rate after 10 s at load 1.3: got %.2f, want at most 0.1", passRate)
	}
	sendRequests(10, 20, 0.5)
	if placed := sendRequests(30, 5, 0.5); placed < 95 {
		t.Errorf("20 s after the load fell: got %d of 100 requests placed, want at least 95", placed)
	}
}

// TestFewSlowServersDoNotStopAdmission guards against rejections caused by three very slow servers, whose load of 9, if
// it counted in full, would raise the average of all 12 servers far above the limit of admission, and against requests
// placed on these servers.
func TestFewSlowServersDoNotStopAdmission(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 4)
	checker.stepAndCheck(newServerList(12))
	load := func(id ServerID) float64 {
		if id == "s000" || id == "s001" || id == "s002" {
			return 9
		}
		return 0.6
	}
	placed := 0
	for i := range 400 {
		checker.runUntil(ms(50 * i))
		if server := checker.placeRequest(fmt.Sprint(i), 0, load); server != "" {
			placed++
			if i > 200 && load(server) > 1 {
				t.Fatalf("request %d: got slow server %s, want a fast one", i, server)
			}
		}
	}
	if placed < 390 {
		t.Errorf("9 of 12 servers at load 0.6: got %d of 400 requests placed, want at least 390", placed)
	}
}

// TestNodesAgreeOnAGroupsServerAndOverflow guards against nodes that place a group on different servers, each of which
// would have to do the group's shared work, and against a group that stays on a server after it became crowded.
func TestNodesAgreeOnAGroupsServerAndOverflow(t *testing.T) {
	settings := defaultTestSettings()
	settings.GroupAffinity = true
	groupServers := map[uint64]ServerID{}
	for node := range 6 {
		checker := newBalancerChecker(t, settings, uint64(50+node))
		checker.stepAndCheck(newServerList(40))
		for group := uint64(1); group < 30; group++ {
			server := checker.placeRequest(fmt.Sprint(group), group, constantLoad(0.4))
			if groupServers[group] == "" {
				groupServers[group] = server
			}
			if server != groupServers[group] {
				t.Fatalf("node %d, group %d: got server %s, want %s as on other nodes", node, group, server,
					groupServers[group])
			}
		}
		// If a group's server is crowded, the group must use its next server. Other groups stay, which is not checked.
		crowded := func(id ServerID) float64 {
			if id == groupServers[7] {
				return 0.9
			}
			return 0.4
		}
		checker.runUntil(checker.now + time.Second)
		if server := checker.placeRequest("7 again", 7, crowded); server == groupServers[7] || server == "" {
			t.Fatalf("group 7 with its server at load 0.9: got server %q, want another one", server)
		}
	}
}

// TestMigrationIsConfirmedByAHealthCheck guards against migrations off a server only because some of its messages are
// slow. A health check must first show that the server is overloaded or does not answer.
func TestMigrationIsConfirmedByAHealthCheck(t *testing.T) {
	countMigrations := func(load float64, outcome Outcome) (migrations int) {
		checker := newBalancerChecker(t, defaultTestSettings(), 6)
		checker.stepAndCheck(newServerList(10))
		server := checker.placeRequest("a", 0, constantLoad(0.5))
		checker.stepAndCheck(Established{ID: "a", Attempt: 0, Server: server})
		for range 40 {
			checker.now += ms(100)
			checker.stepAndCheck(DelayObservation{ID: "a", Server: server, Took: ms(500)})
			if len(checker.lastActions) > 0 {
				checker.stepAndCheck(HealthCheckResult{Server: server, Outcome: outcome, Report: []float64{load, 5}})
				for _, a := range checker.lastActions {
					if _, ok := a.(Migrate); ok {
						migrations++
					}
				}
			}
		}
		return migrations
	}
	if migrations := countMigrations(0.6, Served); migrations != 0 {
		t.Errorf("server that reports load 0.6: got %d migrations, want none", migrations)
	}
	if migrations := countMigrations(5, Served); migrations == 0 {
		t.Error("server that reports load 5: got no migration, want at least one")
	}
	if migrations := countMigrations(0, TimedOut); migrations == 0 {
		t.Error("server that does not answer: got no migration, want at least one")
	}
}

// TestSlowStartTokensExpire checks that many idle nodes do not save up tokens for a server in slow start and then spend
// them at once.
func TestSlowStartTokensExpire(t *testing.T) {
	maxOverload, total := simulateFleetGrowth(t, 6)
	t.Log(maxOverload, total)
	if maxOverload > 3 {
		t.Errorf("server in slow start after 6 idle seconds: got %.1f times its capacity, want at most 3", maxOverload)
	}
}

// TestAdmissionByPriorityAndQuota checks that a full fleet admits requests with a higher priority for their load more
// often, and requests of a tenant over its quota less often.
func TestAdmissionByPriorityAndQuota(t *testing.T) {
	settings := defaultTestSettings()
	settings.PriorityPerWork, settings.OverQuotaPriority = true, 0.05
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[0].Priority, settings.Classes[1].Priority = 1, 5
	settings.Tenants = []Tenant{{Name: "in", Connections: 1e6}, {Name: "over", Connections: 1}}
	checker := newBalancerChecker(t, settings, 8)
	checker.stepAndCheck(newServerList(10))
	for i := range 100 { // the balancer learns the mean priority, and the second tenant exceeds its quota
		id := RequestID(fmt.Sprint("warm", i))
		checker.now += ms(10)
		checker.stepAndCheck(Request{ID: id, TimeLeft: ms(1800), Class: i % 2, Tenant: i % 4 / 2})
		checker.answerHealthChecks(constantLoad(0.5))
		if servers := checker.attemptedServers(); len(servers) == 1 {
			checker.stepAndCheck(Established{ID: id, Attempt: 0, Server: servers[0]})
		}
	}
	admitted := map[[2]int]int{} // by class and tenant
	for i := range 4000 {
		checker.balancer.admission.passRate = 0.3
		class, tenant := i%2, i%4/2
		id := RequestID(fmt.Sprint(i))
		checker.stepAndCheck(Request{ID: id, TimeLeft: ms(1800), Class: class, Tenant: tenant})
		if !checker.requests[id].ended {
			admitted[[2]int{class, tenant}]++
		}
		checker.stepAndCheck(ClientGone{ID: id})
	}
	if low, high := admitted[[2]int{0, 0}], admitted[[2]int{1, 0}]; high < 3*low || high == 0 {
		t.Errorf("full fleet: got %d requests of priority 5 admitted, %d of priority 1, want at least 3 times as many",
			high, low)
	}
	if over, in := admitted[[2]int{1, 1}], admitted[[2]int{1, 0}]; 2*over > in {
		t.Errorf("full fleet: got %d requests of a tenant over its quota admitted, %d of one within, want at most half",
			over, in)
	}
}

// TestPassRateSeesOwnClientsOnFullServers checks that the pass rate also falls if this node's own clients are on full
// servers. Health checks alone do not show this, because they go to servers with a low predicted load.
func TestPassRateSeesOwnClientsOnFullServers(t *testing.T) {
	checker := newBalancerChecker(t, defaultTestSettings(), 12)
	checker.stepAndCheck(newServerList(20))
	var delays []DelayObservation
	for i := range 20 {
		id := RequestID(fmt.Sprint("c", i))
		if server := checker.placeRequest(string(id), 0, constantLoad(0.6)); server != "" {
			checker.stepAndCheck(Established{ID: id, Attempt: 0, Server: server})
			delays = append(delays, DelayObservation{ID: id, Server: server, Took: ms(900)})
		}
	}
	for range 8 {
		checker.runUntil(checker.now + time.Second)
		for _, delay := range delays {
			checker.stepAndCheck(delay)
		}
		checker.runUntil(checker.now + ms(500))
		checker.stepAndCheck(HealthCheckResult{Server: "s019", Report: []float64{0.4, 10}})
	}
	if checker.balancer.admission.passRate > 0.3 {
		t.Errorf("own clients on servers that answer in 900 ms, reports of 0.4: got pass rate %.2f, want at most 0.3",
			checker.balancer.admission.passRate)
	}
}

// TestMidFlowConnectionKeepsItsServer checks that an open connection whose packets arrive at another node is admitted,
// as it adds no load, and placed on the same server by all nodes.
func TestMidFlowConnectionKeepsItsServer(t *testing.T) {
	settings := defaultTestSettings()
	settings.PacketPassThrough = true
	for key := uint64(1); key < 20; key++ {
		servers := map[ServerID]bool{}
		for node := range 4 {
			checker := newBalancerChecker(t, settings, uint64(node))
			checker.stepAndCheck(newServerList(12))
			checker.balancer.admission.passRate = 0.01
			checker.stepAndCheck(Request{ID: "r", TimeLeft: ms(1800), Tenant: -1, Key: key, MidFlow: true})
			checker.answerHealthChecks(constantLoad(0.4))
			for _, server := range checker.attemptedServers() {
				servers[server] = true
			}
		}
		if len(servers) != 1 {
			t.Errorf("mid-flow connection with key %d on four nodes: got %d servers, want 1", key, len(servers))
		}
	}
}

// TestDroppedConnectionEjectsServerWithoutReports checks a server that resets an established connection. If servers
// send no load reports, the server is ejected for a while, because drops are the only sign of a full server and the
// clients reconnect at once. If servers send reports, only the report counts. The end of a connection that the server
// announced or that the client caused never ejects the server.
func TestDroppedConnectionEjectsServerWithoutReports(t *testing.T) {
	for _, reports := range []ReportSource{NoReports, HealthCheckReports} {
		for _, outcome := range []Outcome{Reset, Served, Cancelled} {
			balancer, err := New(Settings{
				Nodes: 1, Reports: reports, ReportFields: []ReportField{Load}, Limits: Limits{MaxAttempts: 4},
				Classes: []Class{{SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}},
			}, 1, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			actions := balancer.Step(time.Hour, []Event{
				ServerList{Kind: ListFull, Servers: []Server{
					{ID: "a", Size: 1},
					{ID: "b", Size: 1},
					{ID: "c", Size: 1},
				}},
				Request{ID: "1", Tenant: -1, TimeLeft: 4 * time.Second},
			})
			var target ServerID
			for _, a := range actions {
				if start, ok := a.(StartAttempt); ok {
					target = start.Server
				}
			}
			balancer.Step(time.Hour, []Event{Established{ID: "1", Server: target}})
			balancer.Step(time.Hour+250*time.Millisecond, []Event{AttemptEnded{
				ID: "1", Server: target,
				Outcome: outcome, Final: true,
			}})
			ejected := balancer.findServer(target).outlier.until > balancer.now
			if want := reports == NoReports && outcome == Reset; target == "" || ejected != want {
				t.Errorf("reports %v, outcome %v: got server %s ejected %v, want true only for a reset without reports",
					reports, outcome, target, ejected)
			}
		}
	}
}
