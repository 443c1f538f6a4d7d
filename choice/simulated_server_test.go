package choice_test

import (
	"time"

	"spurwinch/choice"
)

// warm is the part of its capacity that a server has now.
func (w *simulation) warm(h *simServer) float64 {
	age := w.now - h.Started
	if h.Started == 0 || age >= w.settings.Rules.WarmUp {
		return 1
	}
	first := w.settings.Rules.SlowStartFraction
	return first + (1-first)*age.Seconds()/w.settings.Rules.WarmUp.Seconds()
}

// load is a server's load now, over what it can do now.
func (w *simulation) load(h *simServer) (sum float64) {
	for _, at := range h.held {
		sum += at.request.client.load
	}
	return sum / w.terms.perServer / w.warm(h) / h.strength
}

// refresh renews what a server's reports show, and has it shed its newest connections while it is overloaded.
func (w *simulation) refresh(server *simServer) {
	w.after(w.around(250*time.Millisecond), func() { w.refresh(server) })
	for len(server.held) > 0 && w.load(server) > w.terms.shedAt {
		w.count("sheds")
		w.closeConnection(server.held[len(server.held)-1], choice.Reset, true)
	}
	server.seen, server.seenHeld = w.load(server), len(server.held)
	if w.settings.DelaysObserved && server.seen > 0.8 && len(server.held) > 0 {
		at := server.held[w.rng.IntN(len(server.held))]
		w.count("delay notes")
		w.deliver(at.request.node, choice.DelayObservation{
			ID: at.request.ID, Server: server.ID,
			Took: w.around(time.Duration(server.seen * float64(150*time.Millisecond))),
		})
	}
	if w.terms.loadsReported && len(server.held) > 0 && w.often(0.2) {
		at := server.held[w.rng.IntN(len(server.held))]
		at.request.client.load *= 0.5 + w.rng.Float64()
		w.deliver(at.request.node, choice.LoadUpdate{
			ID: at.request.ID, Attempt: at.number,
			Load: at.request.client.load,
		})
	}
}

// report is a server's load report, a little noisy.
func (w *simulation) report(server *simServer) (values []float64) {
	for _, f := range w.settings.ReportFields {
		value := 0.0
		switch f {
		case choice.Load:
			value = server.seen
		case choice.Backlog:
			value = max(0, server.seen-1)
		case choice.InFlight:
			value = float64(server.seenHeld)
		case choice.Utilization:
			value = min(1, server.seen)
		case choice.Latency:
			value = 10 / max(0.1, 1.1-server.seen)
		case choice.Queue, choice.Throughput, choice.ErrorRate, choice.OtherField:
			value = w.rng.Float64()
		}
		values = append(values, value*(0.95+0.1*w.rng.Float64()))
	}
	return values
}

func (w *simulation) checkHealth(node *simNode, h *simServer) {
	w.count("health checks")
	took := 2*time.Millisecond + w.upTo(6*time.Millisecond)
	result := choice.HealthCheckResult{Server: h.ID, Outcome: choice.Served, Took: took}
	if !h.running || w.now < h.failingUntil {
		result.Outcome, took = choice.TimedOut, 100*time.Millisecond
	} else if w.settings.Reports != choice.NoReports {
		result.Report = w.report(h)
	}
	w.after(took, func() { w.deliver(node, result) })
}

// stop ends a server's process: its connections break.
func (w *simulation) stop(h *simServer) {
	h.running = false
	for len(h.held) > 0 {
		w.closeConnection(h.held[0], choice.Reset, true)
	}
}

// drain has a server finish its work, stop and come back in slow start.
func (w *simulation) drain(server *simServer) {
	if server.State != choice.Ready || !server.running {
		return
	}
	w.count("drains")
	server.State = choice.Draining
	w.publish(server)
	w.after(w.around(3*time.Second), func() {
		w.stop(server)
		server.State = choice.Gone
		w.publish(server)
		w.after(w.around(time.Second), func() { w.start(server) })
	})
}

// vanish has a server stop without a word; discovery finds out later.
func (w *simulation) vanish(server *simServer) {
	if server.State != choice.Ready || !server.running {
		return
	}
	w.count("servers that vanish")
	w.stop(server)
	w.after(w.around(time.Second), func() {
		if !server.running {
			server.State = choice.Gone
			w.publish(server)
		}
	})
	w.after(w.around(3*time.Second), func() { w.start(server) })
}

// restart has a server's process come back at once: it is in slow start, and nothing said that it was gone.
func (w *simulation) restart(h *simServer) {
	if h.State == choice.Ready && h.running {
		w.stop(h)
		w.start(h)
	}
}

func (w *simulation) start(h *simServer) {
	if h.running {
		return
	}
	w.count("slow starts")
	h.running, h.State, h.Started = true, choice.Ready, w.now
	h.starts = append(h.starts, w.now)
	w.publish(h)
}

// fail has a server answer with errors, or not at all, for a time.
func (w *simulation) fail(h *simServer) {
	w.count("failing servers")
	h.failingUntil = w.now + w.around(2*time.Second)
}
