package choice

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Names of zones, kinds, classes and tenants, and the unit of loads, must not sway a choice.
func TestOtherNamesAndUnitsChooseAlike(t *testing.T) {
	play := func(prefix string, unit float64) (to []ServerID) {
		s := plain()
		s.Zone, s.Classes[0].Name = prefix+s.Zone, prefix+"c"
		referee := newReferee(t, s, 21)
		l := fleet(15)
		for i := range l.Servers {
			l.Servers[i].Zone, l.Servers[i].Kind = prefix+l.Servers[i].Zone, prefix+l.Servers[i].Kind
		}
		referee.step(l)
		load := func(id ServerID) float64 { return 0.3 + 0.05*float64(id[3]-'0') }
		for i := range 300 {
			referee.run(ms(40 * i))
			id := RequestID(fmt.Sprint(i))
			referee.step(Request{ID: id, TimeLeft: ms(1800), Tenant: -1, Load: unit * float64(1+i%7)})
			referee.answerHealthChecks(load)
			got := referee.sends()
			to = append(to, got...)
			if len(got) == 1 {
				referee.step(Established{ID: id, Attempt: 0, Server: got[0]})
				referee.step(LoadUpdate{ID: id, Attempt: 0, Load: unit * float64(2+i%3)})
			}
		}
		return to
	}
	want := play("", 1)
	if len(want) < 290 {
		t.Fatalf("only %d of 300 placed", len(want))
	}
	if got := play("other-", 1.0/1024); !reflect.DeepEqual(got, want) { // a power of two: no rounding
		t.Error("other names and a smaller unit choose otherwise")
	}
}

// One node, one server, many servers: requests are placed, and health checks stay within a few a request.
func TestSizes(t *testing.T) {
	for _, test := range []struct{ nodes, servers int }{{1, 1}, {1, 10}, {200, 1}, {200, 1000}, {3, 1000}} {
		s := plain()
		s.Nodes = test.nodes
		referee := newReferee(t, s, 31)
		referee.step(fleet(test.servers))
		placed, open := 0, []AttemptEnded(nil)
		for i := range 100 {
			referee.run(time.Duration(i) * 400 * time.Millisecond)
			if to := referee.place(fmt.Sprint(i), 0, level(0.5)); to != "" {
				placed++
				referee.step(Established{ID: RequestID(fmt.Sprint(i)), Attempt: 0, Server: to})
				open = append(open, AttemptEnded{ID: RequestID(fmt.Sprint(i)), Server: to, Final: true})
			}
			if len(open) > 3 {
				referee.step(open[0])
				open = open[1:]
			}
		}
		checks := 0
		for _, n := range referee.checks {
			checks += n
		}
		if placed < 95 || checks > 400 {
			t.Errorf("%+v: %d of 100 placed with %d health checks", test, placed, checks)
		}
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 200, 1000} {
		b.Run(fmt.Sprint(n, "servers"), func(b *testing.B) {
			referee := newReferee(b, plain(), 1)
			referee.step(fleet(n))
			b.ReportAllocs()
			for i := range b.N {
				id := RequestID(fmt.Sprint(i))
				out := referee.b.Step(time.Duration(i)*10*time.Millisecond,
					[]Event{Request{ID: id, TimeLeft: ms(1800), Tenant: -1}})
				var probed []Event
				for _, a := range out {
					if p, ok := a.(HealthCheck); ok {
						probed = append(probed, HealthCheckResult{Server: p.Server, Report: []float64{0.5, 10}})
					}
				}
				referee.b.Step(time.Duration(i)*10*time.Millisecond, append(probed, ClientGone{ID: id}))
			}
		})
	}
}
