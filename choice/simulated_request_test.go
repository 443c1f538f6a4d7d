package choice_test

import (
	"fmt"
	"time"

	"spurwinch/choice"
)

// drawNode draws the node that a client reaches.
func (w *simulation) drawNode() *simNode {
	if w.terms.skew > 1 {
		busy := (len(w.nodes) + 4) / 5
		if w.often(float64(busy*w.terms.skew) / float64(busy*w.terms.skew+len(w.nodes)-busy)) {
			return w.nodes[w.rng.IntN(busy)]
		}
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// arrive brings a client's request, its first or a further one, to a node.
func (w *simulation) arrive(client *simClient, returned bool) {
	node, class := w.drawNode(), w.settings.Classes[client.class]
	client.tries++
	request := &simRequest{node: node, client: client, class: class}
	request.Request = choice.Request{
		ID: choice.RequestID(fmt.Sprint("r", len(w.requests)+1)), Class: client.class, Tenant: client.tenant,
		Key:   client.key,
		Group: client.group, TimeLeft: time.Duration((0.3 + 0.7*w.rng.Float64()) * float64(class.Deadline)),
		Returned: returned,
	}
	if w.terms.loadsReported {
		request.Load = client.load
	}
	if w.settings.PacketPassThrough && w.often(0.1) {
		request.MidFlow = true
	}
	if w.often(w.terms.homes) {
		request.StickyServer = w.servers[w.rng.IntN(len(w.servers))].ID
	}
	w.requests[request.ID] = request
	w.count("requests")
	w.deliver(node, request.Request)
	if w.often(w.terms.leavers) {
		w.after(w.upTo(request.TimeLeft), func() { w.abandon(request) })
	}
}

// abandon has a client walk away, whether it still waits or is served.
func (w *simulation) abandon(request *simRequest) {
	if request.answered || request.over || request.gone {
		return
	}
	if at := request.standing(); at != nil {
		w.closeConnection(at, choice.Cancelled, false)
		return
	}
	w.count("clients that leave")
	w.deliver(request.node, choice.ClientGone{ID: request.ID})
}

// standing is the attempt whose connection is open, or nil.
func (r *simRequest) standing() *simAttempt {
	if n := len(r.attempts); n > 0 && r.attempts[n-1].established {
		return r.attempts[n-1]
	}
	return nil
}

// returns has a client come again, after a time that it chooses.
func (w *simulation) returns(c *simClient, broken bool, advice time.Duration) {
	if c.tries < w.terms.tries {
		w.count("clients that return")
		w.after(advice+w.around(150*time.Millisecond<<min(c.tries, 4)), func() { w.arrive(c, broken) })
	}
}

// answer is a node's final answer to a request.
func (w *simulation) answer(r *simRequest, again bool, advice time.Duration) {
	r.answered = true
	if at := r.standing(); at != nil { // the answer crossed the event that the connection is open
		w.closeConnection(at, choice.Cancelled, false)
	}
	if again && !r.gone {
		w.returns(r.client, false, advice)
	}
}

func (w *simulation) send(request *simRequest, server *simServer, limit time.Duration) {
	attempt := &simAttempt{request: request, number: len(request.attempts), server: server, sentAt: w.now}
	request.attempts = append(request.attempts, attempt)
	w.count("sends")
	if attempt.number > 0 {
		w.count("retries")
	}
	if request.gone || request.answered {
		w.settle(attempt, choice.NeverSent, w.settings.RoundTrip)
		return
	}
	informed := request.node.listed[server.ID].Started == server.Started
	w.after(w.upTo(3*time.Millisecond), func() { w.reach(attempt, informed) })
	w.after(limit, func() {
		if !attempt.established {
			w.settle(attempt, choice.TimedOut, 0)
		}
	})
}

// reach has an attempt reach its server.
func (w *simulation) reach(attempt *simAttempt, informed bool) {
	server := attempt.server
	if attempt.settled {
		return
	}
	server.arrivals = append(server.arrivals, arrival{w.now, informed})
	if w.warm(server) < 1 {
		w.count("sends to servers in slow start")
	}
	switch {
	case !server.running:
		w.settle(attempt, choice.ConnectFailed, w.settings.Limits.ConnectTimeout)
	case w.now < server.failingUntil:
		if w.often(0.5) {
			w.settle(attempt, choice.Failed, time.Millisecond)
		} // else it stays silent until the attempt's time is over
	case server.State != choice.Ready || w.load(server) > w.terms.slotsAt:
		w.count("rejected by a full server")
		w.settle(attempt, choice.Full, time.Millisecond)
	case w.often(w.terms.oddAnswers):
		odd := []choice.Outcome{choice.Failed, choice.Reset, choice.TimedOut, choice.ConnectFailed, choice.Served}
		w.settle(attempt, odd[w.rng.IntN(len(odd))], w.upTo(50*time.Millisecond))
	default:
		w.after(time.Duration(float64(w.around(10*time.Millisecond))/w.warm(server)), func() { w.establish(attempt) })
	}
}

func (w *simulation) establish(attempt *simAttempt) {
	request, server := attempt.request, attempt.server
	switch {
	case attempt.settled:
	case request.answered || request.gone:
		w.settle(attempt, choice.Cancelled, 0)
	case !server.running:
		w.settle(attempt, choice.Reset, 0)
	default:
		w.count("connections")
		attempt.established = true
		server.held = append(server.held, attempt)
		w.deliver(request.node, choice.Established{
			ID: request.ID, Attempt: attempt.number, Server: server.ID,
			Took: w.now - attempt.sentAt,
		})
		w.after(w.around(w.terms.connectionTime), func() { w.closeConnection(attempt, choice.Served, false) })
	}
}

// closeConnection ends an open connection.
func (w *simulation) closeConnection(attempt *simAttempt, outcome choice.Outcome, again bool) {
	if attempt.settled {
		return
	}
	for i, held := range attempt.server.held {
		if held == attempt {
			attempt.server.held = append(attempt.server.held[:i:i], attempt.server.held[i+1:]...)
			break
		}
	}
	w.settle(attempt, outcome, 0)
	if again {
		w.returns(attempt.request.client, true, 0)
	}
}

// settle ends an attempt; its node hears of it after a time.
func (w *simulation) settle(attempt *simAttempt, outcome choice.Outcome, after time.Duration) {
	if attempt.settled {
		return
	}
	attempt.settled = true
	w.after(after, func() {
		request := attempt.request
		ended := choice.AttemptEnded{
			ID: request.ID, Attempt: attempt.number, Server: attempt.server.ID, Outcome: outcome,
			Took:  w.now - attempt.sentAt,
			Final: outcome == choice.Served || attempt.established || request.answered || request.gone,
		}
		if w.settings.Reports == choice.AllReports && attempt.server.running {
			ended.Report = w.report(attempt.server)
		}
		w.deliver(request.node, ended)
	})
}
