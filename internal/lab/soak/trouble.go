package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/internal/lab/shim"
)

const (
	between      = 2500 * time.Millisecond // from one drawing of troubles to the next
	drainedFor   = 7 * time.Second         // then the host starts again, cold
	shortest     = time.Second
	spread       = 4 * time.Second // of a trouble's length
	mostOverlaps = 3
)

// kind is a kind of trouble: begin has it take effect until a time, and says what it does; empty: it does nothing now.
type kind struct {
	name  string
	begin func(l *lab, rng *rand.Rand, until time.Time) string
}

var kinds = []kind{
	{"stop", (*lab).stopNodes}, {"kill", (*lab).killNode}, {"hold", (*lab).holdNodes}, {"reload", (*lab).reloadNodes}, {"upgrade", (*lab).upgradeNode},
	{"hosts", (*lab).moodyHosts}, {"drain", (*lab).drainHosts}, {"restart", (*lab).restartHosts}, {"proxy", (*lab).badWeather},
	{"discovery", (*lab).badDiscovery}, {"calls", (*lab).failingCalls}, {"clock", (*lab).steppedClocks}, {"burst", (*lab).burstOfClients},
}

// Troubles are the names of the kinds of trouble.
func Troubles() (names []string) {
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// trouble draws two or three kinds at a time, until the time is over.
func (l *lab) trouble(ctx context.Context, rng *rand.Rand) {
	var allowed []kind
	for _, k := range kinds {
		if len(l.o.Only) == 0 || slices.Contains(l.o.Only, k.name) {
			allowed = append(allowed, k)
		}
	}
	for end := time.Now().Add(l.o.Time); time.Now().Before(end) && ctx.Err() == nil; {
		for _, i := range rng.Perm(len(allowed))[:min(len(allowed), 2+rng.IntN(mostOverlaps-1))] {
			until := time.Now().Add(shortest + time.Duration(rng.Float64()*float64(spread)))
			if what := allowed[i].begin(l, rng, until); what != "" {
				l.troubles = append(l.troubles, fmt.Sprintf("%.1f s: %s: %s", time.Since(l.judge.begin).Seconds(), allowed[i].name, what))
				l.judge.saw("trouble " + allowed[i].name)
			}
			l.pause(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
		}
		l.pause(ctx, between)
	}
}

// heal ends what has no end of its own.
func (l *lab) heal() {
	for _, h := range l.hosts {
		h.feel(well)
		h.proxy.weather.Store(&weather{})
	}
	for _, n := range l.nodes {
		n.control.Heal()
	}
	l.discovery.behave(up)
	l.burst.Store(0)
}

// after runs fn at a time, unless the run is over by then.
func (l *lab) after(until time.Time, fn func()) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		select {
		case <-time.After(time.Until(until)):
			fn()
		case <-l.done:
		}
	}()
}

func (l *lab) background(fn func()) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		fn()
	}()
}

// someNodes are up to a part of the nodes that no other trouble has taken.
func (l *lab) someNodes(rng *rand.Rand, part float64) (all []*node) {
	for _, i := range rng.Perm(len(l.nodes))[:max(1, int(part*float64(len(l.nodes))))] {
		if l.nodes[i].take() {
			all = append(all, l.nodes[i])
		}
	}
	return all
}

func names(all []*node) (s []string) {
	for _, n := range all {
		s = append(s, n.name)
	}
	return s
}

// strike has something happen to some nodes, each by itself, and names them.
func (l *lab) strike(rng *rand.Rand, part float64, what func(n *node)) string {
	all := l.someNodes(rng, part)
	for _, n := range all {
		l.background(func() { what(n) })
	}
	return fmt.Sprint(names(all))
}

func (l *lab) stopNodes(rng *rand.Rand, _ time.Time) string {
	return l.strike(rng, 0.2, func(n *node) { n.stop(true) })
}

func (l *lab) killNode(rng *rand.Rand, _ time.Time) string {
	return l.strike(rng, 0.1, (*node).kill)
}

func (l *lab) holdNodes(rng *rand.Rand, until time.Time) string {
	return l.strike(rng, 0.3, func(n *node) { n.hold(until) })
}

func (l *lab) reloadNodes(rng *rand.Rand, _ time.Time) string {
	var all []*node
	for _, i := range rng.Perm(len(l.nodes))[:1+len(l.nodes)/2] {
		all = append(all, l.nodes[i])
		l.nodes[i].reload()
	}
	return fmt.Sprint(names(all))
}

func (l *lab) upgradeNode(rng *rand.Rand, _ time.Time) string {
	return l.strike(rng, 0.1, (*node).upgrade)
}

// someHosts are a part of the hosts.
func (l *lab) someHosts(rng *rand.Rand, part float64) (all []*host) {
	for _, i := range rng.Perm(len(l.hosts))[:max(1, int(part*float64(len(l.hosts))))] {
		all = append(all, l.hosts[i])
	}
	return all
}

func hostNames(all []*host) (s []string) {
	for _, h := range all {
		s = append(s, h.id)
	}
	return s
}

func (l *lab) moodyHosts(rng *rand.Rand, until time.Time) string {
	m := moods[rng.IntN(len(moods))]
	all := l.someHosts(rng, 0.15+0.35*rng.Float64())
	for _, h := range all {
		h.feel(m)
	}
	l.after(until, func() {
		for _, h := range all {
			h.feel(well)
		}
	})
	return fmt.Sprint(m, " ", hostNames(all))
}

func (l *lab) drainHosts(rng *rand.Rand, _ time.Time) string {
	all := l.someHosts(rng, 0.25)
	for _, h := range all {
		h.drain()
	}
	l.discovery.news()
	l.after(time.Now().Add(drainedFor), func() { l.startAgain(all) })
	return fmt.Sprint(hostNames(all))
}

func (l *lab) startAgain(all []*host) {
	for _, h := range all {
		h.restart()
	}
	l.discovery.news()
}

func (l *lab) restartHosts(rng *rand.Rand, _ time.Time) string {
	all := l.someHosts(rng, 0.25)
	l.startAgain(all)
	return fmt.Sprint(hostNames(all))
}

func (l *lab) badWeather(rng *rand.Rand, until time.Time) string {
	w := weather{pieces: rng.IntN(2) == 0}
	switch rng.IntN(4) {
	case 0:
		w.hold = time.Duration(rng.IntN(300)) * time.Millisecond
	case 1:
		w.reset = 0.05 + 0.2*rng.Float64()
	case 2:
		w.idle = 400 * time.Millisecond
	default:
		w.pieces = true
	}
	all := l.someHosts(rng, 0.5)
	for _, h := range all {
		h.proxy.weather.Store(&w)
	}
	l.after(until, func() {
		for _, h := range all {
			h.proxy.weather.Store(&weather{})
		}
	})
	return fmt.Sprintf("pieces %v hold %v reset %.2f idle %v %v", w.pieces, w.hold, w.reset, w.idle, hostNames(all))
}

func (l *lab) badDiscovery(rng *rand.Rand, until time.Time) string {
	s := services[rng.IntN(len(services))]
	if l.pushed && s != chunked { // an agent is silent while discovery is down
		s = silent
	}
	l.discovery.behave(s)
	l.after(until, func() { l.discovery.behave(up) })
	return string(s)
}

func (l *lab) failingCalls(rng *rand.Rand, until time.Time) string {
	part := []float64{0.002, 0.01, 0.05, 0.2, 0.7}[rng.IntN(5)]
	var failing []shim.Kind
	for k := range shim.Kinds {
		if rng.IntN(2) == 0 {
			failing = append(failing, k)
		}
	}
	var all []*node
	for _, i := range rng.Perm(len(l.nodes))[:1+len(l.nodes)/2] {
		n := l.nodes[i]
		all = append(all, n)
		for _, k := range failing {
			p := part
			if k == shim.Break {
				p = part / 10
				n.mu.Lock()
				n.broke = until.Add(breakExcuse)
				n.mu.Unlock()
			}
			n.control.Fail(k, p)
		}
	}
	l.after(until, func() {
		for _, n := range all {
			n.control.Heal()
		}
	})
	return fmt.Sprintf("%.3f of %v %v", part, failing, names(all))
}

func (l *lab) steppedClocks(rng *rand.Rand, _ time.Time) string {
	by := []time.Duration{2 * time.Second, 5 * time.Second, time.Minute, time.Hour}[rng.IntN(4)]
	if rng.IntN(2) == 0 {
		by = -by
	}
	var all []*node
	for _, i := range rng.Perm(len(l.nodes))[:1+len(l.nodes)/2] {
		all = append(all, l.nodes[i])
		l.nodes[i].control.Step(by)
	}
	return fmt.Sprint(by, " ", names(all))
}

func (l *lab) burstOfClients(rng *rand.Rand, until time.Time) string {
	l.burst.Store(int64(1 + rng.IntN(2)))
	l.after(until, func() { l.burst.Store(0) })
	return fmt.Sprint(1 + l.burst.Load())
}
