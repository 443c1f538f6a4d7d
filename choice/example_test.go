package choice_test

import (
	"fmt"
	"time"

	"spurwinch/choice"
)

// Example runs a node's main loop: it passes events to the balancer and carries out the actions that Step returns.
func Example() {
	balancer, err := choice.New(choice.Settings{
		Nodes:        1,
		Reports:      choice.HealthCheckReports,
		ReportFields: []choice.ReportField{choice.Load},
		Classes: []choice.Class{{
			Name: "live", SetupObjective: 300 * time.Millisecond, Deadline: 2 * time.Second,
			MessageObjective: 100 * time.Millisecond, Priority: 1,
		}},
		Limits: choice.Limits{MaxAttempts: 3, HealthChecks: true},
		Rules:  choice.Rules{DrainGrace: 500 * time.Millisecond},
	}, 42, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	loads := map[choice.ServerID]float64{"a": 0.9, "b": 0.2}
	inbox := []choice.Event{
		choice.ServerList{Kind: choice.ListFull, Servers: []choice.Server{{ID: "a"}, {ID: "b"}}},
		choice.Request{ID: "r1", Tenant: -1, TimeLeft: 2 * time.Second},
	}
	for now := time.Duration(0); len(inbox) > 0; now += time.Millisecond {
		actions := balancer.Step(now, inbox)
		inbox = nil
		for _, a := range actions {
			switch a := a.(type) {
			case choice.HealthCheck:
				inbox = append(inbox, choice.HealthCheckResult{
					Server: a.Server, Outcome: choice.Served,
					Report: []float64{loads[a.Server]},
				})
			case choice.StartAttempt:
				fmt.Println("connect", a.ID, "to", a.Server)
			case choice.SetTimer: // a real node reports TimerFired once the time has passed
			}
		}
	}
	// Output: connect r1 to b
}
