package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestGroupsSpreadByTheirLoad checks that a small group stays together, since each server that holds any of it pays for
// it, and that one group that holds nearly everything does not fill server after server while others idle.
func TestGroupsSpreadByTheirLoad(t *testing.T) {
	for _, test := range []struct{ groups, most int }{{1, 12}, {20, 2}} {
		balancer, err := New(Settings{
			Nodes: 1, GroupAffinity: true, Reports: HealthCheckReports, ReportFields: []ReportField{Load},
			Classes: []Class{{Name: "c", SetupObjective: time.Second, Deadline: 4 * time.Second}},
			Limits:  Limits{MaxAttempts: 4, HealthChecks: true}, RoundTrip: 5 * time.Millisecond,
		}, 1, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		held := map[ServerID]int{}
		where := map[uint64]map[ServerID]bool{}
		group := map[RequestID]uint64{}
		next := []Event{ServerList{Kind: ListFull, Servers: []Server{
			{ID: "a"},
			{ID: "b"},
			{ID: "c"},
			{ID: "d"},
			{ID: "e"},
		}}}
		step := func() {
			events := next
			next = nil
			for _, a := range balancer.Step(now, events) {
				switch action := a.(type) {
				case HealthCheck:
					next = append(next, HealthCheckResult{
						Server: action.Server,
						Report: []float64{0.06 * float64(held[action.Server])},
					})
				case StartAttempt:
					held[action.Server]++
					g := group[action.ID]
					if where[g] == nil {
						where[g] = map[ServerID]bool{}
					}
					where[g][action.Server] = true
					next = append(next, Established{ID: action.ID, Server: action.Server})
				case SetTimer:
					if action.Token == "tick" {
						next = append(next, TimerFired{action.Token})
					}
				}
			}
			now += 500 * time.Millisecond
		}
		for i := range 40 {
			id := RequestID(fmt.Sprint(i))
			group[id] = uint64(1 + i%test.groups)
			next = append(next, Request{ID: id, Tenant: -1, Group: group[id], TimeLeft: 4 * time.Second})
			for range 3 {
				step()
			}
		}
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
