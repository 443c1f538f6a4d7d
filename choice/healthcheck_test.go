package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestFullServerIsDetectedWithoutObservedDelays guards against connections that stay on a server whose open connections
// have filled it. If delays are not observed, as on sockets, only health checks can detect such a server, and
// connections must then migrate away from it. If delays are observed, no server is checked.
func TestFullServerIsDetectedWithoutObservedDelays(t *testing.T) {
	for _, observed := range []bool{false, true} {
		balancer, err := New(Settings{
			Nodes: 1, DelaysObserved: observed, Reports: HealthCheckReports, ReportFields: []ReportField{Load},
			Classes: []Class{{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second}},
			Limits:  Limits{MaxAttempts: 4, HealthChecks: true}, RoundTrip: 5 * time.Millisecond,
		}, 1, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		var pendingEvents []Event
		now := time.Hour
		pendingEvents = append(pendingEvents, ServerList{Kind: ListFull, Servers: []Server{{ID: "full"}, {ID: "idle"}}})
		for i := range 20 {
			pendingEvents = append(pendingEvents, OpenConnection{
				Request: Request{ID: RequestID(fmt.Sprint(i)), Tenant: -1},
				Server:  "full",
			})
		}
		checks, migrations := 0, 0
		answer := func(a Action) []Event {
			switch action := a.(type) {
			case HealthCheck:
				if checks++; action.Server != "full" {
					t.Errorf("health check: got one of %s, want none of a server without connections", action.Server)
				}
				return []Event{HealthCheckResult{Server: action.Server, Report: []float64{3}}}
			case Migrate:
				migrations++
				return []Event{AttemptEnded{ID: action.ID, Server: "full", Outcome: Cancelled, Final: true}}
			case SetTimer:
				return []Event{TimerFired{action.Token}}
			}
			return nil
		}
		for range 30 {
			events := pendingEvents
			pendingEvents = nil
			for _, action := range balancer.Step(now, events) {
				pendingEvents = append(pendingEvents, answer(action)...)
			}
			now += time.Second
		}
		if want := !observed; checks > 0 != want || migrations > 0 != want || checks > 15 {
			t.Errorf("delays observed %v: got %d checks, %d migrations, want none if true, else 1 to 15 and at least 1",
				observed, checks, migrations)
		}
	}
}

// TestNoHealthChecksWithoutReports checks that servers whose protocol has no load reports get no health checks. The
// answers would contain no load, and each check costs a server some of its capacity.
func TestNoHealthChecksWithoutReports(t *testing.T) {
	balancer, err := New(Settings{
		Nodes: 1, Classes: []Class{{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second}},
		Limits: Limits{MaxAttempts: 4, HealthChecks: true},
	}, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pendingEvents := []Event{
		ServerList{Kind: ListFull, Servers: []Server{{ID: "s"}}},
		OpenConnection{Request: Request{ID: "1", Tenant: -1}, Server: "s"},
	}
	for i := range 20 {
		events := pendingEvents
		pendingEvents = nil
		for _, a := range balancer.Step(time.Hour+time.Duration(i)*time.Second, events) {
			switch action := a.(type) {
			case HealthCheck:
				t.Fatal("servers without reports: got a health check after ", i, " s, want none")
			case SetTimer:
				pendingEvents = append(pendingEvents, TimerFired{action.Token})
			}
		}
	}
}

// TestSlowMessagesCountAsLoad checks that a report of slow messages counts like a report of a full server if no delays
// are observed, because a backlog still delays messages after the reported load is low again. Only the excess
// connections are migrated, not all of them.
func TestSlowMessagesCountAsLoad(t *testing.T) {
	for _, test := range []struct {
		latency, load float64
		migrates      bool
	}{{5, 0.6, false}, {400, 0.6, true}, {5, 0, false}} {
		balancer, err := New(Settings{
			Nodes: 1, Reports: HealthCheckReports, ReportFields: []ReportField{Latency, Load},
			Classes: []Class{{
				Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second,
				MessageObjective: 60 * time.Millisecond,
			}},
			Limits: Limits{MaxAttempts: 4, HealthChecks: true}, RoundTrip: 5 * time.Millisecond,
		}, 1, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{ServerList{Kind: ListFull, Servers: []Server{{ID: "idle"}, {ID: "late"}}}}
		for i := range 40 {
			events = append(events, OpenConnection{
				Request: Request{ID: RequestID(fmt.Sprint(i)), Tenant: -1},
				Server:  "late",
			})
		}
		balancer.Step(time.Hour, events)
		balancer.Step(time.Hour+9*time.Second, []Event{HealthCheckResult{Server: "idle", Report: []float64{3, 0.1}}})
		// Connections that ended since the report make the predicted load negative, which must not count as an excess.
		for i := range 30 {
			balancer.Step(time.Hour+9*time.Second, []Event{AttemptEnded{
				ID: RequestID(fmt.Sprint(i)), Server: "late",
				Final: true,
			}})
		}
		migrations := 0
		for _, a := range balancer.Step(time.Hour+9*time.Second, []Event{HealthCheckResult{
			Server: "late",
			Report: []float64{test.latency, test.load},
		}}) {
			if _, ok := a.(Migrate); ok {
				migrations++
			}
		}
		if migrations > 0 != test.migrates || migrations > 30 {
			t.Errorf("latency %v ms at load %v: got %d migrations, want 1 to 30 with latency 400 ms and otherwise none",
				test.latency, test.load, migrations)
		}
	}
}

// TestReliefRequestConvertsLoadToMeanConnections guards against relief requests with a load in the node's own unit,
// which the owner would misread. Here the mean connection has a load of 4. The message must count the node's load in
// mean connections, like a reservation, whatever the unit of loads is.
func TestReliefRequestConvertsLoadToMeanConnections(t *testing.T) {
	const meanLoad, connections = 4, 6
	now := time.Hour
	balancer, err := New(reservationSettings(), 1, now)
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(now, []Event{newServerList(13)})
	balancer.units.mean = meanLoad
	requested := false
	for _, server := range balancer.servers {
		if balancer.ownerOf(server) == balancer.settings.Node {
			continue
		}
		server.own.load = connections * meanLoad
		server.report.at = now - 2*unreportedAfter
		balancer.actions = nil
		balancer.checkOwnConnections(server)
		for _, action := range balancer.actions {
			message, ok := action.(SendPeerMessage)
			if !ok {
				continue
			}
			request, valid := decodePeerMessage(message.Data)
			if !valid || request.kind != reliefRequest || request.load != connections {
				t.Errorf("server %s: got message %+v, want a relief request for %d connections", server.ID, request,
					connections)
			}
			requested = true
		}
	}
	if !requested {
		t.Error("servers with old reports: got no relief request to their owners, want at least one")
	}
}

// TestReliefRequestCountsMeanConnections checks that a relief request to the owner of a server contains the node's own
// load on the server in mean connections, whatever the unit of loads is.
func TestReliefRequestCountsMeanConnections(t *testing.T) {
	settings := largeFleetSettings()
	settings.Limits.PeerMessages = true
	for _, unit := range []float64{1, 0.25, 4} {
		balancer, err := New(settings, 1, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{newServerList(13)}
		for i := range 13 {
			events = append(events, OpenConnection{
				Request: Request{ID: RequestID(fmt.Sprint("o", i)), Load: unit, Tenant: -1},
				Server:  ServerID(fmt.Sprintf("s%03d", i)),
			})
		}
		requests := 0
		for now := time.Hour; now < time.Hour+10*tick; now += tick {
			for _, message := range reliefRequests(balancer.Step(now, events)) {
				requests++
				if message.load != 1 {
					t.Fatalf("unit %v: got a relief request for %v mean connections, want 1", unit, message.load)
				}
			}
			events = []Event{TimerFired{timerTick}}
		}
		if requests == 0 {
			t.Errorf("unit %v: got no relief request, want at least one", unit)
		}
	}
}

// reliefRequests returns the relief requests among the messages that actions send to other nodes.
func reliefRequests(actions []Action) (requests []peerMessage) {
	for _, action := range actions {
		send, ok := action.(SendPeerMessage)
		if !ok {
			continue
		}
		if message, ok := decodePeerMessage(send.Data); ok && message.kind == reliefRequest {
			requests = append(requests, message)
		}
	}
	return requests
}
