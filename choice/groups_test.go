package choice

import (
	"fmt"
	"testing"
	"time"
)

// TestGroupsSpreadByTheirLoad checks that a small group stays together, since each server that holds any of it pays for
// it, and that one group that holds nearly everything does not fill server after server while others idle.
func TestGroupsSpreadByTheirLoad(t *testing.T) {
	for _, c := range []struct{ groups, most int }{{1, 12}, {20, 2}} {
		b, err := New(Settings{
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
		next := []Event{ServerList{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}}}
		step := func() {
			events := next
			next = nil
			for _, a := range b.Step(now, events) {
				switch a := a.(type) {
				case HealthCheck:
					next = append(next, HealthCheckResult{Server: a.Server, Report: []float64{0.06 * float64(held[a.Server])}})
				case StartAttempt:
					held[a.Server]++
					g := group[a.ID]
					if where[g] == nil {
						where[g] = map[ServerID]bool{}
					}
					where[g][a.Server] = true
					next = append(next, Established{ID: a.ID, Server: a.Server})
				case SetTimer:
					if a.Token == "tick" {
						next = append(next, TimerFired{a.Token})
					}
				}
			}
			now += 500 * time.Millisecond
		}
		for i := range 40 {
			id := RequestID(fmt.Sprint(i))
			group[id] = uint64(1 + i%c.groups)
			next = append(next, Request{ID: id, Tenant: -1, Group: group[id], TimeLeft: 4 * time.Second})
			for range 3 {
				step()
			}
		}
		t.Logf("%d groups: %v", c.groups, held)
		split := 0
		for _, on := range where {
			if len(on) > 1 {
				split++
			}
		}
		if c.groups > 1 && split > c.groups/4 {
			t.Errorf("%d of %d groups are on several servers", split, c.groups)
		}
		for id, n := range held {
			if c.groups == 1 && n > c.most {
				t.Errorf("one group: %d of 40 connections on %s", n, id)
			}
		}
	}
}
