package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/trace"
)

// healthCheckTimeout is how long a server may take to answer a health check. It is longer than any round trip and short
// compared with the time that a placement takes.
const healthCheckTimeout = 150 * time.Millisecond

// notify queues an event for the balancer until the next Flush.
func (c *Core) notify(event choice.Event) { c.pendingEvents = append(c.pendingEvents, event) }

// withdraw removes the event of a new request that is still queued for the balancer, and reports whether there was one.
func (c *Core) withdraw(id choice.RequestID) bool {
	i := slices.IndexFunc(c.pendingEvents, func(event choice.Event) bool {
		request, ok := event.(choice.Request)
		return ok && request.ID == id
	})
	if i < 0 {
		return false
	}
	c.pendingEvents = slices.Delete(c.pendingEvents, i, i+1)
	return true
}

// Flush passes the queued events to the balancer and performs the balancer's actions, until no event is left. The event
// loop calls it after each callback.
func (c *Core) Flush() {
	if c.flushing {
		return
	}
	c.flushing = true
	for len(c.pendingEvents) > 0 {
		events := c.pendingEvents
		c.pendingEvents = nil
		for _, action := range c.balancer.Step(c.balancerTime(c.options.Clock.Now()), events) {
			c.execute(action)
		}
	}
	c.flushing = false
}

// execute performs one action of the balancer.
func (c *Core) execute(action choice.Action) {
	switch action := action.(type) {
	case choice.StartAttempt:
		c.startAttempt(action)
	case choice.Reject:
		c.reject(action)
	case choice.Fail:
		if r := c.requests[action.ID]; r != nil {
			r.answerFromBalancer(LocalReply{Reason: trace.AnswerReason(action.Reason.String())})
		}
	case choice.CancelAttempt:
		c.cancelAttempt(action)
	case choice.HealthCheck:
		c.checkHealth(action.Server)
	case choice.Migrate:
		if r := c.requests[action.ID]; r != nil {
			r.migrate()
		}
	case choice.SetTimer:
		c.setTimer(action)
	case choice.SendPeerMessage:
		if c.options.SendPeerMessage != nil {
			c.options.SendPeerMessage(action.To, action.Data)
		}
	case choice.WatchList:
		if c.options.WatchList != nil {
			c.options.WatchList()
		}
	}
}

func (c *Core) startAttempt(action choice.StartAttempt) {
	r := c.requests[action.ID]
	if r == nil || r.attempt != nil || r.finished {
		zap.L().Error("send_without_request", zap.String("request", string(action.ID)))
		return
	}
	timeout := c.options.Clock.Now().Add(action.Timeout)
	r.startAttempt(action.Server, earlier(timeout, r.Deadline), action.SendBefore)
}

func (c *Core) reject(action choice.Reject) {
	request := c.requests[action.ID]
	if request == nil {
		return
	}
	reply := LocalReply{
		Rejected: true, RetryAfter: action.RetryAfter, Reason: trace.AnswerReason(action.Reason.String()),
	}
	if request.committed {
		reply.Cause = DeadlinePassed
	}
	request.answerFromBalancer(reply)
}

func (c *Core) cancelAttempt(action choice.CancelAttempt) {
	r := c.requests[action.ID]
	if r != nil && r.attempt != nil && r.attempt.Number == action.Attempt && !r.open {
		r.attempt.giveUp(choice.Cancelled)
	}
}

// setTimer sets a timer for the balancer. The core stops the timer of a request when the request has its answer, since
// the deadline that a client sets may be an hour away.
func (c *Core) setTimer(action choice.SetTimer) {
	at := c.options.Clock.Now().Add(action.After)
	stop := c.options.Clock.At(at, func() { c.notify(choice.TimerFired{Token: action.Token}) })
	if r := c.requests[action.For]; r != nil && action.For != "" {
		r.stopBalancerTimers = append(r.stopBalancerTimers, stop)
	}
}

// checkHealth requests a server's load report and notifies the balancer once of the result.
func (c *Core) checkHealth(id choice.ServerID) {
	begin := c.options.Clock.Now()
	reported := false
	report := func(outcome choice.Outcome, values []float64) {
		if reported {
			return
		}
		reported = true
		if c.options.Observer != nil && values != nil {
			c.options.Observer.Report(id, values)
		}
		took := c.options.Clock.Now().Sub(begin)
		c.notify(choice.HealthCheckResult{Server: id, Outcome: outcome, Took: took, Report: values})
	}
	server := c.servers[id]
	if server == nil || c.options.HealthChecker == nil {
		report(choice.ConnectFailed, nil)
		return
	}
	c.options.HealthChecker.CheckHealth(server.ServerEntry, begin.Add(healthCheckTimeout), report)
}
