package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestPlacementIgnoresNamesAndUnits checks that the names of zones, kinds and classes, and the unit of loads, have no
// influence on placement.
func TestPlacementIgnoresNamesAndUnits(t *testing.T) {
	placements := func(prefix string, unit float64) (servers []ServerID) {
		settings := defaultTestSettings()
		settings.Zone, settings.Classes[0].Name = prefix+settings.Zone, prefix+"c"
		checker := newBalancerChecker(t, settings, 21)
		list := newServerList(15)
		for i := range list.Servers {
			list.Servers[i].Zone, list.Servers[i].Kind = prefix+list.Servers[i].Zone, prefix+list.Servers[i].Kind
		}
		checker.stepAndCheck(list)
		load := func(id ServerID) float64 { return 0.3 + 0.05*float64(id[3]-'0') }
		for i := range 300 {
			checker.runUntil(ms(40 * i))
			id := RequestID(fmt.Sprint(i))
			checker.stepAndCheck(Request{ID: id, TimeLeft: ms(1800), Tenant: -1, Load: unit * float64(1+i%7)})
			checker.answerHealthChecks(load)
			got := checker.attemptedServers()
			servers = append(servers, got...)
			if len(got) == 1 {
				checker.stepAndCheck(Established{ID: id, Attempt: 0, Server: got[0]})
				checker.stepAndCheck(LoadUpdate{ID: id, Attempt: 0, Load: unit * float64(2+i%3)})
			}
		}
		return servers
	}
	want := placements("", 1)
	if len(want) < 290 {
		t.Fatalf("15 servers at loads of 0.3 to 0.75: got %d of 300 requests placed, want at least 290", len(want))
	}
	if got := placements("other-", 1.0/1024); !reflect.DeepEqual(got, want) { // a power of two avoids rounding
		t.Error("other names and a smaller unit: got other placements, want the same")
	}
}

// TestPlacementInFleetsOfAllSizes guards against rejections on a half-full fleet and against more than four health
// checks per request. The fleets have from one node and one server to 200 nodes and 1000 servers.
func TestPlacementInFleetsOfAllSizes(t *testing.T) {
	for _, test := range []struct{ nodes, servers int }{{1, 1}, {1, 10}, {200, 1}, {200, 1000}, {3, 1000}} {
		settings := defaultTestSettings()
		settings.Nodes = test.nodes
		checker := newBalancerChecker(t, settings, 31)
		checker.stepAndCheck(newServerList(test.servers))
		placed, open := 0, []AttemptEnded(nil)
		for i := range 100 {
			checker.runUntil(time.Duration(i) * 400 * time.Millisecond)
			if server := checker.placeRequest(fmt.Sprint(i), 0, constantLoad(0.5)); server != "" {
				placed++
				checker.stepAndCheck(Established{ID: RequestID(fmt.Sprint(i)), Attempt: 0, Server: server})
				open = append(open, AttemptEnded{ID: RequestID(fmt.Sprint(i)), Server: server, Final: true})
			}
			if len(open) > 3 {
				checker.stepAndCheck(open[0])
				open = open[1:]
			}
		}
		checks := 0
		for _, n := range checker.healthChecks {
			checks += n
		}
		if placed < 95 || checks > 400 {
			t.Errorf("fleet %+v: got %d of 100 placed with %d health checks, want at least 95 with at most 400", test,
				placed, checks)
		}
	}
}

// BenchmarkStep measures a request, the answers to its health checks and the end of the request, by number of servers.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 200, 1000} {
		b.Run(fmt.Sprint(n, "servers"), func(b *testing.B) {
			checker := newBalancerChecker(b, defaultTestSettings(), 1)
			checker.stepAndCheck(newServerList(n))
			b.ReportAllocs()
			for i := range b.N {
				id := RequestID(fmt.Sprint(i))
				actions := checker.balancer.Step(time.Duration(i)*10*time.Millisecond,
					[]Event{Request{ID: id, TimeLeft: ms(1800), Tenant: -1}})
				var results []Event
				for _, a := range actions {
					if check, ok := a.(HealthCheck); ok {
						results = append(results, HealthCheckResult{Server: check.Server, Report: []float64{0.5, 10}})
					}
				}
				checker.balancer.Step(time.Duration(i)*10*time.Millisecond, append(results, ClientGone{ID: id}))
			}
		})
	}
}
