package choice

import (
	"strings"
	"time"
)

// Dispatch of events and timers.

// The kinds of timers. The kind is the first word of a timer's token. Callers record tokens, so the words must not
// change.
const (
	timerTick        = "tick" // step of the controllers
	timerPoll        = "ask"  // next poll of the server list
	timerPeerReply   = "mute" // "mute TOKEN": timeout of the reply from a server's owner
	timerHealthCheck = "hold" // "hold REQUEST": timeout of the health checks that a request waits for
	timerDeadline    = "end"  // "end REQUEST": the request must be answered now
)

// Step processes events and returns the actions to carry out, in order.
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

// start sets the first timer and subscribes to the server list if needed. The timer's phase depends on the seed, so
// that nodes do not adjust at the same time.
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
		b.addOpenConnection(event)
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
	case kind == timerDeadline && request != nil && !request.open: // answer while the client still waits
		b.endWithoutConnection(request, DeadlineReached)
	}
}
