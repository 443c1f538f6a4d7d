package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/trace"
)

// healthCheckTimeout is for a health check's answer: longer than any round trip, short against a placement.
const healthCheckTimeout = 150 * time.Millisecond

// notify queues an event for the balancer until the next Flush.
func (c *Core) notify(event choice.Event) { c.pendingEvents = append(c.pendingEvents, event) }

// withdraw removes the event of a request that the balancer was not notified of yet; false: there is none.
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

// Flush hands the balancer the queued events and carries out its actions, until no event is left. The loop calls it
// after each callback.
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

// execute carries out one action of the balancer.
func (c *Core) execute(action choice.Action) {
	switch action := action.(type) {
	case choice.StartAttempt:
		c.startAttempt(action)
	case choice.Reject:
		c.reject(action)
	case choice.Fail:
		if r := c.requests[action.ID]; r != nil {
			r.conclude(LocalReply{Reason: trace.Reason(action.Reason.String())})
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
	r := c.requests[action.ID]
	if r == nil {
		return
	}
	reply := LocalReply{Rejected: true, RetryAfter: action.RetryAfter, Reason: trace.Reason(action.Reason.String())}
	if r.committed {
		reply.Why = DeadlinePassed
	}
	r.conclude(reply)
}

func (c *Core) cancelAttempt(action choice.CancelAttempt) {
	r := c.requests[action.ID]
	if r != nil && r.attempt != nil && r.attempt.Number == action.Attempt && !r.open {
		r.attempt.giveUp(choice.Cancelled)
	}
}

// setTimer sets a timer for the balancer. One that is for a request is cancelled with it: a client may set a deadline
// of an hour.
func (c *Core) setTimer(action choice.SetTimer) {
	at := c.options.Clock.Now().Add(action.After)
	stop := c.options.Clock.At(at, func() { c.notify(choice.TimerFired{Token: action.Token}) })
	if r := c.requests[action.For]; r != nil && action.For != "" {
		r.stopBalancerTimers = append(r.stopBalancerTimers, stop)
	}
}

// checkHealth asks a server for its load report and notifies the balancer of the result, once.
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
