package choice

import (
	"strings"
	"time"
)

// How events reach the decisions. No decisions here.

// Step takes what happened and returns what to do, in order.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.out = max(b.now, now), nil
	b.recent = fade(b.rate, b.now-b.rateAt, rateMemory)
	if !b.started {
		b.started = true // phases differ by seed, so that nodes do not steer in step
		b.out = append(b.out, SetTimer{Token: "tick", After: time.Duration(b.rng.Float64() * float64(tick))})
		if b.set.Subscribe {
			b.out = append(b.out, WatchList{})
		}
	}
	for _, e := range events {
		switch e := e.(type) {
		case ServerList:
			b.list(e)
		case Request:
			b.countArrival(e)
			b.arrive(e)
		case OpenConnection:
			b.adopt(e)
		case StickyServerFound:
			if r := b.reqs[e.ID]; r != nil {
				r.StickyServer = e.Server
			}
		case Transferred:
			b.handed(e.ID)
		case LearnedStateReceived:
			b.inherit(e.LearnedState)
		case Established:
			if r := b.reqs[e.ID]; r != nil && r.on != nil && e.Attempt == r.attempts-1 {
				r.open, r.on.strikes = true, 0
				b.countUp(r)
				b.established(r, e.Took)
			}
		case AttemptEnded:
			b.countOutcome(e)
			b.ended(e)
		case HealthCheckResult:
			b.countProbe(e)
			b.probed(e)
		case LoadUpdate:
			b.reload(e)
		case DelayObservation:
			b.delayed(e)
		case ClientGone:
			b.forget(b.reqs[e.ID])
		case TimeUp:
			if r := b.reqs[e.ID]; r != nil && !r.open {
				b.answer(r, Withdrawn)
			}
		case TimerFired:
			b.fired(e.Token)
		case SettingsChanged:
			if e.Check() == nil {
				b.adapt(e.Settings)
			}
		case ZonePlan:
			b.follow(e)
		case PeerMessage:
			b.heard(e)
		}
	}
	if b.joined {
		b.joined = false
		b.price()
	}
	b.countRefusals()
	return b.out
}

func (b *Balancer) fired(token string) {
	kind, id, _ := strings.Cut(token, " ")
	r := b.reqs[RequestID(id)]
	switch {
	case token == "tick":
		b.steer()
		b.out = append(b.out, SetTimer{Token: "tick", After: tick})
	case token == "ask":
		b.out = append(b.out, WatchList{})
	case kind == "mute":
		b.muted(id)
	case kind == "hold" && r != nil && r.waiting > 0:
		b.dispatch(r)
	case kind == "end" && r != nil && !r.open: // own the deadline: an answer while the client still waits
		b.answer(r, DeadlineReached)
	}
}
