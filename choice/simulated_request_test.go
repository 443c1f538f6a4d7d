package choice_test

import (
	"fmt"
	"time"

	"spurwinch/choice"
)

// randomNode returns the node that a client reaches. With trafficSkew, the first fifth of the nodes gets more clients.
func (s *simulation) randomNode() *simNode {
	if s.env.trafficSkew > 1 {
		busyNodes := (len(s.nodes) + 4) / 5
		if s.chance(float64(busyNodes*s.env.trafficSkew) /
			float64(busyNodes*s.env.trafficSkew+len(s.nodes)-busyNodes)) {
			return s.nodes[s.rng.IntN(busyNodes)]
		}
	}
	return s.nodes[s.rng.IntN(len(s.nodes))]
}

// sendRequest delivers a client's next request to a node.
func (s *simulation) sendRequest(client *simClient, returned bool) {
	node, class := s.randomNode(), s.settings.Classes[client.class]
	client.requestCount++
	request := &simRequest{node: node, client: client, class: class}
	request.Request = choice.Request{
		ID: choice.RequestID(fmt.Sprint("r", len(s.requests)+1)), Class: client.class, Tenant: client.tenant,
		Key:   client.key,
		Group: client.group, TimeLeft: time.Duration((0.3 + 0.7*s.rng.Float64()) * float64(class.Deadline)),
		Returned: returned,
	}
	if s.env.requestLoadKnown {
		request.Load = client.load
	}
	if s.settings.PacketPassThrough && s.chance(0.1) {
		request.MidFlow = true
	}
	if s.chance(s.env.stickyFraction) {
		request.StickyServer = s.servers[s.rng.IntN(len(s.servers))].ID
	}
	s.requests[request.ID] = request
	s.count("requests")
	s.deliver(node, request.Request)
	if s.chance(s.env.abandonRate) {
		s.after(s.randomUpTo(request.TimeLeft), func() { s.abandon(request) })
	}
}

// abandon lets a client give up its request: it closes its connection if one is open, and otherwise stops waiting.
func (s *simulation) abandon(request *simRequest) {
	if request.answered || request.ended || request.clientGone {
		return
	}
	if attempt := request.openAttempt(); attempt != nil {
		s.closeConnection(attempt, choice.Cancelled, false)
		return
	}
	s.count("abandoned requests")
	s.deliver(request.node, choice.ClientGone{ID: request.ID})
}

// openAttempt returns the attempt whose connection was established, or nil.
func (r *simRequest) openAttempt() *simAttempt {
	if count := len(r.attempts); count > 0 && r.attempts[count-1].established {
		return r.attempts[count-1]
	}
	return nil
}

// scheduleRetry lets a client send another request after retryAfter plus a random backoff, unless it has already sent
// the maximum number of requests.
func (s *simulation) scheduleRetry(client *simClient, returned bool, retryAfter time.Duration) {
	if client.requestCount < s.env.maxClientRequests {
		s.count("client retries")
		s.after(retryAfter+s.jitter(150*time.Millisecond<<min(client.requestCount, 4)), func() {
			s.sendRequest(client, returned)
		})
	}
}

// receiveAnswer processes a node's final answer to a request. If retry is true, the client sends another request.
func (s *simulation) receiveAnswer(request *simRequest, retry bool, retryAfter time.Duration) {
	request.answered = true
	if attempt := request.openAttempt(); attempt != nil { // the node answered before it received the Established event
		s.closeConnection(attempt, choice.Cancelled, false)
	}
	if retry && !request.clientGone {
		s.scheduleRetry(request.client, false, retryAfter)
	}
}

func (s *simulation) startAttempt(request *simRequest, server *simServer, timeout time.Duration) {
	attempt := &simAttempt{request: request, index: len(request.attempts), server: server, sentAt: s.now}
	request.attempts = append(request.attempts, attempt)
	s.count("attempts")
	if attempt.index > 0 {
		s.count("retries")
	}
	if request.clientGone || request.answered {
		s.complete(attempt, choice.NeverSent, s.settings.RoundTrip)
		return
	}
	startKnown := request.node.knownServers[server.ID].Started == server.Started
	s.after(s.randomUpTo(3*time.Millisecond), func() { s.arriveAtServer(attempt, startKnown) })
	s.after(timeout, func() {
		if !attempt.established {
			s.complete(attempt, choice.TimedOut, 0)
		}
	})
}

// arriveAtServer lets an attempt arrive at its server.
func (s *simulation) arriveAtServer(attempt *simAttempt, startKnown bool) {
	server := attempt.server
	if attempt.completed {
		return
	}
	server.arrivals = append(server.arrivals, arrival{s.now, startKnown})
	if s.warmFraction(server) < 1 {
		s.count("attempts at servers in slow start")
	}
	switch {
	case !server.running:
		s.complete(attempt, choice.ConnectFailed, s.settings.Limits.ConnectTimeout)
	case s.now < server.failingUntil:
		if s.chance(0.5) {
			s.complete(attempt, choice.Failed, time.Millisecond)
		} // otherwise the server does not answer, and the attempt times out
	case server.State != choice.Ready || s.load(server) > s.env.rejectThreshold:
		s.count("rejected by a full server")
		s.complete(attempt, choice.Full, time.Millisecond)
	case s.chance(s.env.failedSetupRate):
		outcomes := []choice.Outcome{choice.Failed, choice.Reset, choice.TimedOut, choice.ConnectFailed, choice.Served}
		s.complete(attempt, outcomes[s.rng.IntN(len(outcomes))], s.randomUpTo(50*time.Millisecond))
	default:
		s.after(time.Duration(float64(s.jitter(10*time.Millisecond))/s.warmFraction(server)), func() {
			s.establish(attempt)
		})
	}
}

func (s *simulation) establish(attempt *simAttempt) {
	request, server := attempt.request, attempt.server
	switch {
	case attempt.completed:
	case request.answered || request.clientGone:
		s.complete(attempt, choice.Cancelled, 0)
	case !server.running:
		s.complete(attempt, choice.Reset, 0)
	default:
		s.count("connections")
		attempt.established = true
		server.connections = append(server.connections, attempt)
		s.deliver(request.node, choice.Established{
			ID: request.ID, Attempt: attempt.index, Server: server.ID,
			Took: s.now - attempt.sentAt,
		})
		s.after(s.jitter(s.env.connectionTime), func() { s.closeConnection(attempt, choice.Served, false) })
	}
}

// closeConnection ends an open connection. If reconnect is true, the client sends another request.
func (s *simulation) closeConnection(attempt *simAttempt, outcome choice.Outcome, reconnect bool) {
	if attempt.completed {
		return
	}
	for i, connection := range attempt.server.connections {
		if connection == attempt {
			attempt.server.connections = append(attempt.server.connections[:i:i], attempt.server.connections[i+1:]...)
			break
		}
	}
	s.complete(attempt, outcome, 0)
	if reconnect {
		s.scheduleRetry(attempt.request.client, true, 0)
	}
}

// complete ends an attempt and reports its outcome to the node after a delay.
func (s *simulation) complete(attempt *simAttempt, outcome choice.Outcome, delay time.Duration) {
	if attempt.completed {
		return
	}
	attempt.completed = true
	s.after(delay, func() {
		request := attempt.request
		ended := choice.AttemptEnded{
			ID: request.ID, Attempt: attempt.index, Server: attempt.server.ID, Outcome: outcome,
			Took:  s.now - attempt.sentAt,
			Final: outcome == choice.Served || attempt.established || request.answered || request.clientGone,
		}
		if s.settings.Reports == choice.AllReports && attempt.server.running {
			ended.Report = s.report(attempt.server)
		}
		s.deliver(request.node, ended)
	})
}
