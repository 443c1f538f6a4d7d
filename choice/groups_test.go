package choice

import (
	"fmt"
	"testing"
	"time"
)

// groupSimulation simulates one node and five servers whose load comes only from the connections of the node.
type groupSimulation struct {
	balancer      *Balancer
	now           time.Duration
	pendingEvents []Event
	connections   map[ServerID]int
	groupServers  map[uint64]map[ServerID]bool // servers by group
	requestGroup  map[RequestID]uint64
}

func newGroupSimulation(t *testing.T) *groupSimulation {
	t.Helper()
	balancer, err := New(Settings{
		Nodes: 1, GroupAffinity: true, Reports: HealthCheckReports, ReportFields: []ReportField{Load},
		Classes: []Class{{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second}},
		Limits:  Limits{MaxAttempts: 4, HealthChecks: true}, RoundTrip: 5 * time.Millisecond,
	}, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return &groupSimulation{
		balancer: balancer,
		now:      time.Hour,
		pendingEvents: []Event{ServerList{
			Kind:    ListFull,
			Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}},
		}},
		connections:  map[ServerID]int{},
		groupServers: map[uint64]map[ServerID]bool{},
		requestGroup: map[RequestID]uint64{},
	}
}

// addRequest adds a request to the events of the next step.
func (s *groupSimulation) addRequest(id RequestID, group uint64) {
	s.requestGroup[id] = group
	s.pendingEvents = append(s.pendingEvents, Request{ID: id, Tenant: -1, Group: group, TimeLeft: 4 * time.Second})
}

// advance passes the pending events to the balancer, carries out its actions, and advances the time by 500 ms.
func (s *groupSimulation) advance() {
	events := s.pendingEvents
	s.pendingEvents = nil
	for _, a := range s.balancer.Step(s.now, events) {
		switch action := a.(type) {
		case HealthCheck:
			load := 0.06 * float64(s.connections[action.Server])
			s.pendingEvents = append(s.pendingEvents, HealthCheckResult{Server: action.Server, Report: []float64{load}})
		case StartAttempt:
			s.connections[action.Server]++
			group := s.requestGroup[action.ID]
			if s.groupServers[group] == nil {
				s.groupServers[group] = map[ServerID]bool{}
			}
			s.groupServers[group][action.Server] = true
			s.pendingEvents = append(s.pendingEvents, Established{ID: action.ID, Server: action.Server})
		case SetTimer:
			if action.Token == "tick" {
				s.pendingEvents = append(s.pendingEvents, TimerFired{action.Token})
			}
		}
	}
	s.now += 500 * time.Millisecond
}

// TestGroupsSpreadByTheirLoad checks that a small group stays on one server, since each server with connections of a
// group has to do the group's shared work. It also checks that a single group with nearly all connections does not fill
// one server after the other while the rest stay idle.
func TestGroupsSpreadByTheirLoad(t *testing.T) {
	for _, test := range []struct{ groups, maxConnections int }{{1, 12}, {20, 2}} {
		simulation := newGroupSimulation(t)
		for i := range 40 {
			simulation.addRequest(RequestID(fmt.Sprint(i)), uint64(1+i%test.groups))
			for range 3 {
				simulation.advance()
			}
		}
		connections, groupServers := simulation.connections, simulation.groupServers
		t.Logf("%d groups: connections by server: %v", test.groups, connections)
		split := 0
		for _, servers := range groupServers {
			if len(servers) > 1 {
				split++
			}
		}
		if test.groups > 1 && split > test.groups/4 {
			t.Errorf("small groups: got %d of %d on several servers, want at most a quarter", split, test.groups)
		}
		for id, n := range connections {
			if test.groups == 1 && n > test.maxConnections {
				t.Errorf("one group: got %d of 40 connections on %s, want at most 12", n, id)
			}
		}
	}
}
