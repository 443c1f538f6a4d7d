package choice

import (
	"fmt"
	"testing"
	"time"
)

// noReportSettings returns the settings of a fleet whose servers send no load reports and whose nodes exchange no
// messages.
func noReportSettings(nodes int) Settings {
	return Settings{
		Nodes: nodes, GroupAffinity: true, Sizes: NominalSize, DelaysObserved: true, RoundTrip: 4 * time.Millisecond,
		Classes: []Class{
			{
				Name: "watch", SetupObjective: time.Second, Deadline: 5 * time.Second,
				MessageObjective: 150 * time.Millisecond, Priority: 5,
			},
			{
				Name: "pay", SetupObjective: time.Second, Deadline: 5 * time.Second,
				MessageObjective: 250 * time.Millisecond, Priority: 15,
			},
		},
		Limits: Limits{MaxAttempts: 4, HealthChecks: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
		Rules: Rules{
			SlowStartFraction: 0.14, WarmUp: 20 * time.Second, OverloadMultiple: 2.5,
			OverloadTime: 1500 * time.Millisecond,
		},
	}
}

// newNoReportNode returns one node with noReportSettings and a list of equal servers that are warmed up, and the
// current time.
func newNoReportNode(t *testing.T, nodes, servers int) (*Balancer, time.Duration) {
	t.Helper()
	balancer, err := New(noReportSettings(nodes), 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	list := ServerList{Kind: ListFull}
	for i := range servers {
		list.Servers = append(list.Servers, Server{ID: ServerID(fmt.Sprint("h", i)), Kind: "k", Size: 2})
	}
	balancer.Step(time.Hour, []Event{list})
	return balancer, time.Hour
}

// connect sends a request and establishes its connection. It returns the server, or "" if the request was rejected.
func connect(balancer *Balancer, now time.Duration, id RequestID, class int, group uint64) ServerID {
	for _, a := range balancer.Step(now, []Event{Request{
		ID: id, Class: class, Tenant: -1, Group: group,
		TimeLeft: 5 * time.Second,
	}}) {
		if start, ok := a.(StartAttempt); ok {
			balancer.Step(now, []Event{Established{ID: id, Server: start.Server, Took: 20 * time.Millisecond}})
			return start.Server
		}
	}
	return ""
}

// TestReportedConnectionLoadsDetermineTheUnit checks that connections with and without a reported load count in the
// same unit. If a connection counted 1 until its load is reported and a small fraction of that afterwards, no limit
// would ever apply.
func TestReportedConnectionLoadsDetermineTheUnit(t *testing.T) {
	balancer, now := newNoReportNode(t, 3, 8)
	servers := map[RequestID]ServerID{}
	for i := range 20 {
		id := RequestID(fmt.Sprint(i))
		servers[id] = connect(balancer, now, id, i%2, uint64(i+1))
	}
	before := 0.0
	for _, server := range balancer.servers {
		before += server.cost * server.own.load
	}
	// Half of the connections report their load. Those of the second class have nine times the load of the first.
	for i := range 10 {
		balancer.Step(now, []Event{LoadUpdate{ID: RequestID(fmt.Sprint(i)), Load: []float64{0.02, 0.18}[i%2]}})
	}
	sum := 0.0
	for _, server := range balancer.servers {
		sum += server.own.load
	}
	if sum < 1 || sum > 3 { // 10 connections of 0.02 and 10 of 0.18 are 2
		t.Errorf("total load of 20 connections, half of them reported: got %.2f, want 1 to 3", sum)
	}
	if light, heavy := balancer.expectedLoad(0), balancer.expectedLoad(1); light < 0.019 || light > 0.021 ||
		heavy < 0.179 || heavy > 0.181 {
		t.Errorf("expected loads of new connections: got %.3f and %.3f, want 0.02 and 0.18", light, heavy)
	}
	balancer.updateCosts()
	if balancer.units.mean < 0.05 || balancer.units.mean > 0.15 {
		t.Errorf("load of the mean connection: got %.3f, want 0.05 to 0.15", balancer.units.mean)
	}
	if before <= 0 {
		t.Error("predicted load before the reports of connections: got 0 or less, want above 0")
	}
}

// TestConnectionLoadsKeepTheUnitIfServersReport checks that loads of connections do not change the unit if servers send
// reports, because costs and reservations are learned in that unit.
func TestConnectionLoadsKeepTheUnitIfServersReport(t *testing.T) {
	settings := noReportSettings(3)
	settings.Reports, settings.ReportFields = HealthCheckReports, []ReportField{Utilization, Load}
	balancer, err := New(settings, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	balancer.observeConnectionLoad(0, 0.02)
	if balancer.units.mean != 1 || balancer.expectedLoad(0) != 1 {
		t.Errorf("load of a connection: got mean %.3f, expected %.3f, want 1 and 1", balancer.units.mean,
			balancer.expectedLoad(0))
	}
}

// TestSlowMessagesRaisePredictedLoad checks that slow messages raise a server's predicted load if servers send no
// reports, and that new connections are then placed on other servers.
func TestSlowMessagesRaisePredictedLoad(t *testing.T) {
	balancer, now := newNoReportNode(t, 3, 8)
	const group = 7
	var slow ServerID
	for i := range 6 {
		slow = connect(balancer, now, RequestID(fmt.Sprint(i)), 0, group)
	}
	server, migrated := balancer.findServer(slow), 0
	for i := range 5 {
		now += time.Second
		for _, a := range balancer.Step(now, []Event{DelayObservation{
			ID: "0", Server: slow,
			Took: 900 * time.Millisecond,
		}, TimerFired{Token: "tick"}}) {
			if migration, ok := a.(Migrate); ok {
				migrated++
				balancer.Step(now, []Event{AttemptEnded{
					ID: migration.ID, Server: slow, Outcome: Cancelled, Final: true,
				}})
			}
		}
		if i == 0 && balancer.predictedLoad(server) < crowdedLoad {
			t.Errorf("server with messages of 900 ms: got predicted load %.2f, want at least crowdedLoad, 0.85",
				balancer.predictedLoad(server))
		}
	}
	if migrated == 0 {
		t.Error("server with slow messages: got no migrations, want at least one")
	}
	if next := connect(balancer, now, "next", 0, group); next == slow {
		t.Error("next connection of the group: got the slow server, want another one")
	}
	before := balancer.predictedLoad(server)
	for range 20 { // messages are fast again
		now += time.Second
		balancer.Step(now, []Event{
			DelayObservation{ID: "0", Server: slow, Took: 5 * time.Millisecond},
			TimerFired{Token: "tick"},
		})
	}
	if balancer.predictedLoad(server) >= before || balancer.predictedLoad(server) > crowdedLoad {
		t.Errorf("with fast messages again: got predicted load %.2f, want less than %.2f and at most 0.85",
			balancer.predictedLoad(server), before)
	}
}

// TestSlowSetupsRaiseLoad checks that a connection setup that takes longer than the others raises a server's load. A
// setup that takes as long as the others does not, however long they are.
func TestSlowSetupsRaiseLoad(t *testing.T) {
	for _, test := range []struct {
		typical, last time.Duration
		slow          bool
	}{
		{20 * time.Millisecond, 400 * time.Millisecond, true},
		{20 * time.Millisecond, 60 * time.Millisecond, false},
		{300 * time.Millisecond, 400 * time.Millisecond, false},
	} {
		balancer, now := newNoReportNode(t, 3, 8)
		server := balancer.servers[0]
		for range 40 {
			balancer.inferFromSetup(balancer.servers[1], test.typical)
		}
		balancer.now = now
		balancer.inferFromSetup(server, test.last)
		if slow := server.report.known && server.report.load > crowdedLoad-overflowMargin; slow != test.slow {
			t.Errorf("after setups of %v, a setup of %v: got slow %v, want true only for 400 ms after 20 ms",
				test.typical, test.last, slow)
		}
	}
}

// TestEstimatedLoadStaysNearAverage checks the estimated load of a server. A node of a large fleet has few connections
// on a server, so the estimate must stay near the average load. A node with enough own connections must rely on them.
func TestEstimatedLoadStaysNearAverage(t *testing.T) {
	for _, test := range []struct {
		nodes, own int
		low, high  float64
	}{
		{300, 0, 0.3, 0.55}, {300, 1, 0.4, 0.75}, // one connection on each of 300 nodes would be a load of 3
		{2, 0, 0.05, 0.45}, {2, 40, 0.6, 2},
	} {
		balancer, _ := newNoReportNode(t, test.nodes, 8)
		balancer.average.load = 0.5
		server := balancer.servers[0]
		server.own.add(balancer.now, float64(test.own)*balancer.units.mean)
		if load := balancer.estimateLoad(server); load < test.low || load > test.high {
			t.Errorf("%d own connections on one of %d nodes: got estimated load %.2f, want %.2f to %.2f", test.own,
				test.nodes, load, test.low, test.high)
		}
	}
}

// TestGroupsAreDistributedByServerSize checks that all nodes place a group on the same server, and that large servers
// get more groups than small ones. The nodes can agree because all of them know the same sizes and start times. A
// server in slow start must not get a group more often than its warm-up allows, but this test has no such server.
func TestGroupsAreDistributedByServerSize(t *testing.T) {
	first := map[ServerID]int{}
	for group := range uint64(600) {
		servers := map[ServerID]bool{}
		for node := range 3 {
			settings := noReportSettings(3)
			settings.Node = node
			balancer, err := New(settings, uint64(node), time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			balancer.Step(time.Hour, []Event{ServerList{Kind: ListFull, Servers: []Server{
				{ID: "large", Size: 4},
				{ID: "small", Size: 1},
				{ID: "mid", Size: 2},
			}}})
			servers[connect(balancer, time.Hour, "r", 0, group+1)] = true
			if node == 0 {
				for id := range servers {
					first[id]++
				}
			}
		}
		if len(servers) != 1 {
			t.Fatalf("group %d on three nodes: got servers %v, want one", group, servers)
		}
	}
	if first["large"] < 300 || first["small"] > 130 || first["small"] == 0 {
		t.Errorf("600 groups on servers of sizes 4, 2 and 1: got %v, want at least 300 on large, 1 to 130 on small",
			first)
	}
}

// TestDroppedConnectionsAreThrottled checks that only a bounded fraction of the requests is placed if servers drop each
// connection at once and the clients reconnect to the next node. Rejections must have different retry-after times, so
// that the clients do not return in waves.
func TestDroppedConnectionsAreThrottled(t *testing.T) {
	balancer, now := newNoReportNode(t, 300, 90)
	placed, rejected, retryAfters := 0, 0, map[time.Duration]bool{}
	for i := range 300 { // servers drop each connection 200 ms after its setup
		now += 10 * time.Millisecond
		id := RequestID(fmt.Sprint(i))
		for _, a := range balancer.Step(now, []Event{Request{
			ID: id, Tenant: -1, Group: uint64(1 + i%5),
			TimeLeft: 5 * time.Second, Returned: true,
		}}) {
			switch action := a.(type) {
			case StartAttempt:
				placed++
				balancer.Step(now, []Event{Established{ID: id, Server: action.Server, Took: 20 * time.Millisecond}})
				balancer.Step(now+200*time.Millisecond, []Event{AttemptEnded{
					ID: id, Server: action.Server, Outcome: Reset,
					Final: true,
				}})
			case Reject:
				rejected++
				if retryAfters[action.RetryAfter] = true; action.RetryAfter <= 0 || action.RetryAfter > 2*time.Second {
					t.Fatalf("retry-after time of a rejection: got %v, want above 0 and at most 2 s", action.RetryAfter)
				}
			}
		}
	}
	if placed > 60 || placed == 0 {
		t.Errorf("servers drop each connection: got %d of 300 requests placed, want 1 to 60", placed)
	}
	if len(retryAfters) < rejected/2 {
		t.Errorf("%d rejections: got %d different retry-after times, want at least half as many", rejected,
			len(retryAfters))
	}
	now += time.Minute // servers keep connections again: all requests must be admitted soon
	for i := range 50 {
		now += 200 * time.Millisecond
		balancer.Step(now, []Event{TimerFired{Token: "tick"}})
		if connect(balancer, now, RequestID(fmt.Sprint("calm", i)), 0, uint64(1+i%5)) == "" {
			rejected++
			if i > 10 {
				t.Errorf("request %d after a minute without drops: got a rejection, want it placed", i)
			}
		}
	}
}

// TestNoThrottleWithReports checks that the throttle does not apply if servers send reports. The reports then show the
// load, and the throttle would reject requests for which there is capacity.
func TestNoThrottleWithReports(t *testing.T) {
	settings := noReportSettings(3)
	settings.Reports, settings.ReportFields = HealthCheckReports, []ReportField{Load}
	balancer, err := New(settings, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(time.Hour, []Event{ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Size: 1}}}})
	for range 50 {
		balancer.admission.throttle.add(balancer.now, 1, 0)
	}
	request := &requestEntry{class: &balancer.settings.Classes[0], load: balancer.units.mean}
	if rate := balancer.admitRate(request); rate < 1 {
		t.Errorf("after 50 dropped connections, with reports: got admit rate %.2f, want at least 1", rate)
	}
}
