package choice

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// script plays a random but legal caller, with odd events mixed in, for a while; the referee judges. It returns all
// actions.
func script(tb testing.TB, seed uint64, steps int) [][]Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := plain()
	settings.Nodes, settings.GroupAffinity, settings.Subscribe = 1+rng.IntN(50), rng.IntN(2) == 0, rng.IntN(2) == 0
	settings.PacketPassThrough = rng.IntN(4) == 0
	settings.Reports = ReportSource(rng.IntN(3))
	settings.Classes = append(settings.Classes,
		Class{SetupObjective: ms(200), Deadline: ms(900), Idempotency: NotIdempotent, MessageObjective: ms(50)},
		Class{
			SetupObjective: ms(200), Deadline: ms(900), Idempotency: IdempotentByKey,
			IdempotencyScope: Scope(rng.IntN(3)), IdempotencyWindow: ms(rng.IntN(900)),
		})
	referee := newReferee(tb, settings, seed)
	servers := fleet(1 + rng.IntN(12))
	var all [][]Action
	step := func(e ...Event) { all = append(all, referee.step(e...)) }
	step(servers)
	type attempt struct {
		id  RequestID
		n   int
		to  ServerID
		cut time.Duration
	}
	var out, open []attempt
	var checks []ServerID
	next := 0
	for range steps {
		referee.now += ms(5)
		for _, a := range referee.last {
			switch a := a.(type) {
			case StartAttempt:
				out = append(out, attempt{a.ID, referee.reqs[a.ID].sent - 1, a.Server, referee.now + a.Timeout})
			case HealthCheck:
				checks = append(checks, a.Server)
			}
		}
		var events []Event
		var due []timer
		for i := 0; i < len(referee.timers); {
			if referee.timers[i].at <= referee.now {
				due = append(due, referee.timers[i])
				referee.timers = append(referee.timers[:i], referee.timers[i+1:]...)
			} else {
				i++
			}
		}
		for _, d := range due {
			events = append(events, TimerFired{d.token})
		}
		for i := 0; i < len(out); {
			sent := out[i]
			roll := rng.IntN(20)
			over := referee.reqs[sent.id].done || referee.reqs[sent.id].gone
			switch {
			case referee.now+ms(5) >= sent.cut:
				events = append(events, AttemptEnded{
					ID: sent.id, Attempt: sent.n, Server: sent.to, Outcome: TimedOut,
					Final: over,
				})
			case roll == 0 && !over:
				events = append(events, Established{ID: sent.id, Attempt: sent.n, Server: sent.to})
				open = append(open, sent)
			case roll == 1:
				events = append(events, AttemptEnded{
					ID: sent.id, Attempt: sent.n, Server: sent.to,
					Outcome: Outcome(1 + rng.IntN(7)), Final: over,
				})
			default:
				i++
				continue
			}
			out = append(out[:i], out[i+1:]...)
		}
		for i := range checks {
			if rng.IntN(3) == 0 {
				events = append(events, HealthCheckResult{
					Server: checks[i], Outcome: Outcome(rng.IntN(8) * rng.IntN(2)),
					Report: []float64{rng.Float64() * 1.5, float64(rng.IntN(50))},
				})
				checks = append(checks[:i], checks[i+1:]...)
				break
			}
		}
		if len(open) > 0 && rng.IntN(6) == 0 {
			i := rng.IntN(len(open))
			switch a := open[i]; rng.IntN(3) {
			case 0:
				events = append(events, AttemptEnded{ID: a.id, Attempt: a.n, Server: a.to, Outcome: Reset, Final: true})
				open = append(open[:i], open[i+1:]...)
			case 1:
				events = append(events, LoadUpdate{ID: a.id, Attempt: a.n, Load: rng.Float64() * 5})
			case 2:
				events = append(events, DelayObservation{ID: a.id, Server: a.to, Took: ms(rng.IntN(400))})
			}
		}
		switch rng.IntN(12) {
		case 0, 1, 2, 3:
			next++
			events = append(events, Request{
				ID: RequestID(fmt.Sprint("r", next)), Class: rng.IntN(3), Tenant: -1,
				Key: rng.Uint64N(9), Group: rng.Uint64N(5), TimeLeft: ms(rng.IntN(900)), Load: rng.Float64(),
			})
		case 4:
			i := rng.IntN(len(servers.Servers))
			servers.Servers[i].State = ServerState(rng.IntN(3) * rng.IntN(2))
			if rng.IntN(3) == 0 {
				servers.Servers[i].Started = referee.now
			}
			events = append(events, ServerList{Kind: ListChange, Servers: servers.Servers[i : i+1]})
		case 5:
			events = append(events, ServerList{Kind: ListUnavailable})
		case 6:
			events = append(events, ClientGone{ID: RequestID(fmt.Sprint("r", rng.IntN(next+1)))})
		case 7:
			events = append(events, TimerFired{fmt.Sprint("hold r", rng.IntN(next+1))})
			// a caller tells nothing of attempts that it was not given
			if r := referee.reqs["r1"]; r != nil && r.sent > 0 {
				events = append(events, AttemptEnded{
					ID: "r1", Attempt: rng.IntN(r.sent), Server: "s000",
					Outcome: Full,
				})
			}
		}
		// the odd attempt event above may name a real attempt: keep the caller's book in line with it
		for i := 0; i < len(out); {
			gone := false
			for _, e := range events {
				if x, ok := e.(AttemptEnded); ok && x.ID == out[i].id && x.Attempt == out[i].n {
					gone = true
				}
			}
			if gone {
				out = append(out[:i], out[i+1:]...)
			} else {
				i++
			}
		}
		step(events...)
	}
	referee.run(referee.now) // no timer left behind; every deadline passed is answered
	return all
}

func TestRulesOverRandomScripts(t *testing.T) {
	for seed := range uint64(150) {
		script(t, seed, 600)
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	for seed := range uint64(10) {
		if !reflect.DeepEqual(script(t, seed, 400), script(t, seed, 400)) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed, uint16(300))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { script(t, seed, int(steps%2000)) })
}
