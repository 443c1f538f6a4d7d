package choice

import (
	"fmt"
	"testing"
	"time"
)

// groupWorld is one node before five servers, each loaded by its connections alone.
type groupWorld struct {
	balancer *Balancer
	now      time.Duration
	next     []Event
	held     map[ServerID]int
	where    map[uint64]map[ServerID]bool // servers of a group
	group    map[RequestID]uint64
}

func newGroupWorld(t *testing.T) *groupWorld {
	t.Helper()
	balancer, err := New(Settings{
		Nodes: 1, GroupAffinity: true, Reports: HealthCheckReports, ReportFields: []ReportField{Load},
		Classes: []Class{{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second}},
		Limits:  Limits{MaxAttempts: 4, HealthChecks: true}, RoundTrip: 5 * time.Millisecond,
	}, 1, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return &groupWorld{
		balancer: balancer,
		now:      time.Hour,
		next: []Event{ServerList{
			Kind:    ListFull,
			Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}},
		}},
		held:  map[ServerID]int{},
		where: map[uint64]map[ServerID]bool{},
		group: map[RequestID]uint64{},
	}
}

func (w *groupWorld) arrive(id RequestID, group uint64) {
	w.group[id] = group
	w.next = append(w.next, Request{ID: id, Tenant: -1, Group: group, TimeLeft: 4 * time.Second})
}

// step plays half a second.
func (w *groupWorld) step() {
	events := w.next
	w.next = nil
	for _, a := range w.balancer.Step(w.now, events) {
		switch action := a.(type) {
		case HealthCheck:
			load := 0.06 * float64(w.held[action.Server])
			w.next = append(w.next, HealthCheckResult{Server: action.Server, Report: []float64{load}})
		case StartAttempt:
			w.held[action.Server]++
			group := w.group[action.ID]
			if w.where[group] == nil {
				w.where[group] = map[ServerID]bool{}
			}
			w.where[group][action.Server] = true
			w.next = append(w.next, Established{ID: action.ID, Server: action.Server})
		case SetTimer:
			if action.Token == "tick" {
				w.next = append(w.next, TimerFired{action.Token})
			}
		}
	}
	w.now += 500 * time.Millisecond
}

// TestGroupsSpreadByTheirLoad checks that a small group stays together, since each server that holds any of it pays for
// it, and that one group that holds nearly everything does not fill server after server while others idle.
func TestGroupsSpreadByTheirLoad(t *testing.T) {
	for _, test := range []struct{ groups, most int }{{1, 12}, {20, 2}} {
		world := newGroupWorld(t)
		for i := range 40 {
			world.arrive(RequestID(fmt.Sprint(i)), uint64(1+i%test.groups))
			for range 3 {
				world.step()
			}
		}
		held, where := world.held, world.where
		t.Logf("%d groups: %v", test.groups, held)
		split := 0
		for _, on := range where {
			if len(on) > 1 {
				split++
			}
		}
		if test.groups > 1 && split > test.groups/4 {
			t.Errorf("%d of %d groups are on several servers", split, test.groups)
		}
		for id, n := range held {
			if test.groups == 1 && n > test.most {
				t.Errorf("one group: %d of 40 connections on %s", n, id)
			}
		}
	}
}
