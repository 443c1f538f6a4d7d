package choice

import (
	"strings"
	"time"
)

// How events reach the decisions.

// The kinds of timers: the first word of a token. Callers record tokens, so the words don't change.
const (
	timerTick        = "tick" // the controllers' step
	timerPoll        = "ask"  // the next poll of the server list
	timerPeerReply   = "mute" // "mute TOKEN": the owner of a server did not answer in time
	timerHealthCheck = "hold" // "hold REQUEST": health checks that a request waits for took too long
	timerDeadline    = "end"  // "end REQUEST": the request must be answered now
)

// Step takes what happened and returns what to do, in order.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	b.arrivals.refresh(b.now)
	if !b.started {
		b.start()
	}
	for _, event := range events {
		b.handle(event)
	}
	if b.costsStale {
		b.costsStale = false
		b.updateCosts()
	}
	b.countRejections()
	return b.actions
}

// start sets the first timers. Their phase differs by seed, so that nodes do not adjust in step.
func (b *Balancer) start() {
	b.started = true
	phase := time.Duration(b.random.Float64() * float64(tick))
	b.actions = append(b.actions, SetTimer{Token: timerTick, After: phase})
	if b.settings.Subscribe {
		b.actions = append(b.actions, WatchList{})
	}
}

func (b *Balancer) handle(event Event) {
	switch event := event.(type) {
	case ServerList:
		b.applyList(event)
	case Request:
		b.countArrival(event)
		b.admit(event)
	case OpenConnection:
		b.adopt(event)
	case StickyServerFound:
		b.setStickyServer(event)
	case Transferred:
		b.transferred(event.ID)
	case LearnedStateReceived:
		b.applyLearnedState(event.LearnedState)
	case Established:
		b.attemptEstablished(event)
	case AttemptEnded:
		b.countOutcome(event)
		b.attemptEnded(event)
	case HealthCheckResult:
		b.countHealthCheck(event)
		b.healthCheckEnded(event)
	case LoadUpdate:
		b.updateLoad(event)
	case DelayObservation:
		b.observeDelay(event)
	case ClientGone:
		b.forget(b.requests[event.ID])
	case TimeUp:
		b.withdraw(event.ID)
	case TimerFired:
		b.timerFired(event.Token)
	case SettingsChanged:
		if event.Check() == nil {
			b.applySettings(event.Settings)
		}
	case ZonePlan:
		b.applyPlan(event)
	case PeerMessage:
		b.receivePeerMessage(event)
	}
}

func (b *Balancer) timerFired(token string) {
	kind, id, _ := strings.Cut(token, " ")
	request := b.requests[RequestID(id)]
	switch {
	case token == timerTick:
		b.updateControllers()
		b.actions = append(b.actions, SetTimer{Token: timerTick, After: tick})
	case token == timerPoll:
		b.actions = append(b.actions, WatchList{})
	case kind == timerPeerReply:
		b.peerRequestTimedOut(id)
	case kind == timerHealthCheck && request != nil && request.pendingChecks > 0:
		b.dispatch(request)
	case kind == timerDeadline && request != nil && !request.open: // an answer while the client still waits
		b.endWithoutConnection(request, DeadlineReached)
	}
}
