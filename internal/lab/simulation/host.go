package simulation

import (
	"cmp"
	"slices"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/faults"
)

// host is a host of the platform: it bears so many connections, and may fail.
type host struct {
	id    choice.ServerID
	zone  string
	bears int
	held  map[*try]bool
	down  string // "", "refuses", "silent", "fails" what it is sent, "mute" after it was sent something
	slow  float64
}

// load is the part of what the host bears that it holds, as it reports it.
func (h *host) load() float64 { return float64(len(h.held)) / float64(h.bears) * h.slow }

// inOrder is what a host holds, the same each time: a map's order would draw other chances.
func (h *host) inOrder() (all []*try) {
	for t := range h.held {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.c.id, b.c.id) })
	return all
}

// fail has a host end, or fall silent; its connections break where it ends.
func (h *host) fail(w *World, how string) {
	h.down = how
	if how != "refuses" {
		return
	}
	for _, t := range h.inOrder() {
		delete(h.held, t)
		c := t.c
		c.node.on(w.now+time.Millisecond, func() {
			t.a.Ended(choice.Reset, nil)
		})
		c.again()
	}
}

// way draws how long a node's line to a host takes.
func (n *node) way(h *host) time.Duration {
	d := time.Millisecond + time.Duration(n.w.rng.IntN(1000))*time.Microsecond
	if h.zone != n.zone {
		d += 8 * time.Millisecond
	}
	return d
}

// cutFrom says whether nothing comes back from a host to the node.
func (n *node) cutFrom(h *host) bool {
	return h.down == "silent" || n.badLine || n.w.cutHosts[[2]string{n.zone, h.zone}]
}

// CheckHealth asks a host for its report.
func (n *node) CheckHealth(h edge.ServerEntry, by time.Time, done func(choice.Outcome, []float64)) {
	w, t := n.w, n.w.byID[h.ID]
	answered := false
	end := func(o choice.Outcome, r []float64) {
		if !answered {
			answered = true
			done(o, r)
		}
	}
	n.on(by.Sub(begin), func() { end(choice.TimedOut, nil) })
	if n.cutFrom(t) {
		return
	}
	n.on(w.now+n.way(t), func() {
		if t.down == "refuses" {
			end(choice.ConnectFailed, nil)
			return
		}
		x := t.load()
		end(choice.Served, []float64{1, min(1, x), x})
	})
}

// sample notes what the zones' hosts hold.
func (w *World) sample() {
	held := map[string]int{}
	for _, h := range w.hosts {
		held[h.zone] += len(h.held)
	}
	for _, z := range w.zones {
		w.note(faults.Event{Kind: faults.KindHeld, Zone: z, Value: float64(held[z])})
	}
}
