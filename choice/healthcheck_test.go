package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestFullServerIsFound checks that a server that filled up under open connections is found and relieved where no
// delays are not observed, as on sockets, and that no server is checked where they are.
func TestFullServerIsFound(t *testing.T) {
	for _, observed := range []bool{false, true} {
		balancer, err := New(Settings{
			Nodes: 1, DelaysObserved: observed, Reports: HealthCheckReports, ReportFields: []ReportField{Load},
			Classes: []Class{{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second}},
			Limits:  Limits{MaxAttempts: 4, HealthChecks: true}, RoundTrip: 5 * time.Millisecond,
		}, 1, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		var next []Event
		now := time.Hour
		next = append(next, ServerList{Kind: ListFull, Servers: []Server{{ID: "full"}, {ID: "idle"}}})
		for i := range 20 {
			next = append(next, OpenConnection{
				Request: Request{ID: RequestID(fmt.Sprint(i)), Tenant: -1},
				Server:  "full",
			})
		}
		checks, moves := 0, 0
		answer := func(a Action) []Event {
			switch action := a.(type) {
			case HealthCheck:
				if checks++; action.Server != "full" {
					t.Errorf("checked %s, which has no connections", action.Server)
				}
				return []Event{HealthCheckResult{Server: action.Server, Report: []float64{3}}}
			case Migrate:
				moves++
				return []Event{AttemptEnded{ID: action.ID, Server: "full", Outcome: Cancelled, Final: true}}
			case SetTimer:
				return []Event{TimerFired{action.Token}}
			}
			return nil
		}
		for range 30 {
			events := next
			next = nil
			for _, action := range balancer.Step(now, events) {
				next = append(next, answer(action)...)
			}
			now += time.Second
		}
		if want := !observed; checks > 0 != want || moves > 0 != want || checks > 15 {
			t.Errorf("delays observed %v: %d health checks, %d migrations", observed, checks, moves)
		}
	}
}

// TestNoHealthChecksWithoutReports guards servers whose protocol has no load reports against health checks.
func TestNoHealthChecksWithoutReports(t *testing.T) {
	balancer, err := New(Settings{
		Nodes: 1, Classes: []Class{{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second}},
		Limits: Limits{MaxAttempts: 4, HealthChecks: true},
	}, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	next := []Event{ServerList{Kind: ListFull, Servers: []Server{{ID: "s"}}}, OpenConnection{Request: Request{
		ID:     "1",
		Tenant: -1,
	}, Server: "s"}}
	for i := range 20 {
		events := next
		next = nil
		for _, a := range balancer.Step(time.Hour+time.Duration(i)*time.Second, events) {
			switch a := a.(type) {
			case HealthCheck:
				t.Fatal("a health check after ", i, " s")
			case SetTimer:
				next = append(next, TimerFired{a.Token})
			}
		}
	}
}

// TestSlowMessagesCountAsLoad checks that a report of slow messages is as good as one of a full server where no notes
// come: the backlog makes messages late although the reported load looks fine again. The excess is migrated, not all.
func TestSlowMessagesCountAsLoad(t *testing.T) {
	for _, test := range []struct {
		late, load float64
		moves      bool
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
		// Connections that left since a report shows take the prediction under 0, which must not read as an excess.
		for i := range 30 {
			balancer.Step(time.Hour+9*time.Second, []Event{AttemptEnded{
				ID: RequestID(fmt.Sprint(i)), Server: "late",
				Final: true,
			}})
		}
		moves := 0
		for _, a := range balancer.Step(time.Hour+9*time.Second, []Event{HealthCheckResult{
			Server: "late",
			Report: []float64{test.late, test.load},
		}}) {
			if _, ok := a.(Migrate); ok {
				moves++
			}
		}
		if moves > 0 != test.moves || moves > 30 {
			t.Errorf("messages of %v ms at %v: %d of 40 moved", test.late, test.load, moves)
		}
	}
}

// TestReliefRequestCountsLoadInMeanConnections has a node ask owners for relief where a connection's load is 4: the
// message counts the node's load in mean connections, as a reservation does, whatever the unit of loads is.
func TestReliefRequestCountsLoadInMeanConnections(t *testing.T) {
	const meanLoad, connections = 4, 6
	now := time.Hour
	balancer, err := New(keeping(), 1, now)
	if err != nil {
		t.Fatal(err)
	}
	balancer.Step(now, []Event{fleet(13)})
	balancer.units.mean = meanLoad
	asked := false
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
			question, valid := decodePeerMessage(message.Data)
			if !valid || question.kind != reliefRequest || question.load != connections {
				t.Errorf("server %s: question %+v, want relief from %d connections", server.ID, question, connections)
			}
			asked = true
		}
	}
	if !asked {
		t.Error("no owner was asked for relief")
	}
}

// TestReliefRequestCountsMeanConnections has a node ask the owners of servers for relief: the load that it names is its
// own load there in mean connections, whatever the unit of loads is.
func TestReliefRequestCountsMeanConnections(t *testing.T) {
	settings := vast()
	settings.Limits.PeerMessages = true
	for _, unit := range []float64{1, 0.25, 4} {
		balancer, err := New(settings, 1, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{fleet(13)}
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
					t.Fatalf("unit %v: relief is requested for %v mean connections, wanted 1", unit, message.load)
				}
			}
			events = []Event{TimerFired{timerTick}}
		}
		if requests == 0 {
			t.Errorf("unit %v: no relief was requested", unit)
		}
	}
}

// reliefRequests are the requests for relief among the messages that are sent to other nodes.
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
