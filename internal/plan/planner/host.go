package planner

import (
	"fmt"
	"math"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// host is the model of a server: a fluid of work with the noise that small jobs make of it, in steps. Work piled up is a
// Brownian motion held at nought from below, the diffusion that a queue of many small jobs near its capacity goes to
// (Harrison, Brownian Motion and Stochastic Flow Systems, 1985); its variance a second is load x the work of a job.
type server struct {
	w       *simulation
	id      choice.ServerID
	kind    *fleet.MachineKind
	centre  int
	speed   float64
	cold    bool
	dead    bool
	conns   map[*conn]struct{}
	load    float64 // of its connections, yardstick cores
	groups  map[uint64]int
	work    float64 // came since the last step, core seconds
	piled   float64 // core seconds
	setups  int     // in its queue
	worth   [][]float64
	top     float64    // asked, in the mean of about a second
	seen    [3]float64 // the report as it was refreshed last
	refresh time.Duration
	asked   float64 // load asked over what it can do, in the mean of the last steps
	stood   float64 // usual connections that the load began with
	budget  float64 // a cold server's: load of new connections in its fall window
}

// conn is a connection that stands at a server.
type conn struct {
	host   *server
	client *client
	load   float64
	wander workload.LoadProcess
}

func (w *simulation) addHost(k *fleet.MachineKind, centre int, cold bool) {
	speed := k.Speed * max(0.3, 1+k.SpeedSpread*w.rng.NormFloat64())
	h := &server{w: w, id: choice.ServerID(fmt.Sprintf("s-%04d", len(w.hosts))), kind: k, centre: centre, speed: speed, cold: cold,
		conns: map[*conn]struct{}{}, groups: map[uint64]int{}}
	for range w.fleet.Classes {
		h.worth = append(h.worth, make([]float64, max(1, len(w.fleet.Editions))))
	}
	h.refresh = time.Duration(w.rng.Float64() * float64(w.fleet.LoadReports.Interval))
	w.hosts = append(w.hosts, h)
	w.byID[h.id] = h
}

// warm is the part of its capacity that it has.
func (h *server) warm() float64 {
	c := h.w.fleet.SlowStart
	if !h.cold || h.w.now >= time.Duration(c.WarmUp) {
		return 1
	}
	return c.Fraction + (1-c.Fraction)*h.w.now.Seconds()/c.WarmUp.Seconds()
}

// cores is what it can do now, in yardstick cores.
func (h *server) cores() float64 { return h.kind.Cores * h.speed * h.warm() }

// advance moves all servers on by a step, and counts what was well served meanwhile.
func (w *simulation) advance() {
	dt := step.Seconds()
	job := w.fleet.General.MessageWork.Seconds()
	editions := len(w.quota)
	clear(w.got)
	asked, all := 0.0, 0.0
	for _, h := range w.hosts {
		if h.dead {
			continue
		}
		able := h.cores()
		in := h.load*dt + h.work
		h.work = 0
		from := h.piled
		h.piled = max(0, h.piled+in-able*dt+math.Sqrt(in*job)*w.rng.NormFloat64())
		h.asked += (in/(able*dt) - h.asked) * 0.2
		h.top += (h.asked - h.top) * 0.05 // one step's noise breaks nothing
		asked, all = asked+h.top*able, all+able
		if len(h.conns) > 0 {
			for k := range h.worth {
				aim := (w.fleet.Classes[k].MessageObjective.Seconds() - job/h.speed) * able
				if part := below(from, h.piled, aim); part > 0 {
					got := w.got[k*editions : (k+1)*editions]
					for e, x := range h.worth[k] {
						got[e] += x * part
					}
				}
			}
		}
		if w.now >= h.refresh {
			h.refresh += time.Duration(w.fleet.LoadReports.Interval)
			noise := func() float64 { return max(0.1, 1+w.fleet.LoadReports.Noise*w.rng.NormFloat64()) }
			h.seen = [3]float64{1000 * job / h.speed, min(1, h.asked) * noise(), h.asked * noise()}
		}
		w.limits.hit(w, limitServer, h, h.top)
		if s := time.Duration(h.kind.ShedAfter).Seconds(); s > 0 && h.piled > s*able {
			h.shed()
		}
	}
	for i, x := range w.got {
		if x > 1e-9 {
			w.account.AddServed(w.now-step/2, i/editions, i%editions, x*dt)
		}
	}
	if all > 0 {
		w.limits.hit(w, limitFleet, nil, asked/all)
	}
}

// below is the part of a step in which what is piled up, going evenly from one amount to another, is under a bound.
func below(from, to, bound float64) float64 {
	switch {
	case bound <= 0:
		return 0
	case from <= bound && to <= bound:
		return 1
	case from > bound && to > bound:
		return 0
	case from <= bound:
		return (bound - from) / (to - from)
	default:
		return (bound - to) / (from - to)
	}
}

func (h *server) report() []float64 { return []float64{h.seen[0], h.seen[1], h.seen[2]} }

// setup is a new connection at the server's door. done hears the outcome at the server, once.
func (h *server) setup(c *client, done func(choice.Outcome, *conn)) {
	w := h.w
	class := &w.fleet.Classes[c.s.Class]
	switch {
	case h.dead:
		done(choice.ConnectFailed, nil)
		return
	case len(h.conns)+h.setups >= h.kind.Connections:
		w.limits.hit(w, limitConnections, h, float64(len(h.conns)+h.setups+1)/float64(h.kind.Connections))
		done(choice.Full, nil)
		return
	case h.setups >= h.kind.SetupQueue:
		w.limits.hit(w, limitSetups, h, float64(h.setups+1)/float64(h.kind.SetupQueue))
		done(choice.Full, nil)
		return
	}
	h.setups++
	wait := w.store()
	w.at(w.now+wait, nil, func() {
		work := class.SetupWork.Seconds()
		h.work += work
		took := time.Duration((h.piled/max(h.cores(), 1e-3) + work/h.speed) * 1e9)
		w.at(w.now+took, nil, func() {
			h.setups--
			if h.dead {
				done(choice.Reset, nil)
				return
			}
			k := &conn{host: h, client: c, wander: workload.NewLoadProcess(w.opts.Seed^c.s.Client, class, c.s.Load)}
			if h.add(k); h.dead {
				done(choice.Reset, nil)
				return
			}
			done(choice.Served, k)
		})
	})
}

// store is how long a call to the session store takes now.
func (w *simulation) store() time.Duration {
	s := w.fleet.Store
	if s.Rate <= 0 {
		return time.Duration(s.Latency)
	}
	begin := max(w.now, w.storeAt)
	w.storeAt = begin + time.Duration(1e9/s.Rate)
	if wait := begin - w.now; wait > time.Second/2 {
		w.limits.hit(w, limitStore, nil, 1+wait.Seconds())
	}
	return begin - w.now + time.Duration(s.Latency)
}

// add has a connection stand at the server.
func (h *server) add(k *conn) {
	h.conns[k] = struct{}{}
	if g := k.client.s.Group; g != 0 && h.w.fleet.Group.Cost > 0 {
		if h.groups[g]++; h.groups[g] == 1 {
			h.load += h.w.fleet.Group.Cost * h.w.fleet.CoreLoad()
		}
	}
	h.worth[k.client.s.Class][max(0, k.client.s.Tenant)] += k.client.worth
	h.push(k)
	k.change()
}

// push guards a cold server's budget of new connections: beyond it the server falls over and stays down.
func (h *server) push(k *conn) {
	if !h.cold || h.warm() == 1 {
		return
	}
	w, c := h.w, h.w.fleet.SlowStart
	load := k.client.class().Load * w.fleet.CoreLoad()
	h.budget += load
	w.at(w.now+time.Duration(c.OverloadTime), nil, func() { h.budget -= load })
	// New connections a second that would fill it over its warm-up, times its warmth; and some slack for chance.
	able := h.cores() / c.WarmUp.Seconds() * c.OverloadTime.Seconds()
	slack := 4 * w.fleet.MeanLoad() * w.fleet.CoreLoad()
	if h.budget > c.OverloadMultiple*able+slack {
		w.stats.Overloaded++
		w.limits.hit(w, limitCold, h, h.budget/(c.OverloadMultiple*able+slack))
		h.dead = true
		h.breakAll()
		w.at(w.now+time.Duration(w.fleet.Discovery.Delay), nil, w.tellAll)
	}
}

func (w *simulation) tellAll() {
	for _, n := range w.nodes {
		if !n.dead {
			n.core.UpdateServers(choice.ListFull, w.list())
			n.core.Flush()
		}
	}
}

// change draws a connection's load for the time to come.
func (k *conn) change() {
	h := k.host
	if _, stands := h.conns[k]; !stands {
		return
	}
	x, lasts := k.wander.Next()
	x *= h.w.fleet.CoreLoad()
	h.load += x - k.load
	k.load = x
	if lasts > 0 {
		h.w.at(h.w.now+lasts, nil, k.change)
	}
}

// remove takes a connection away; it reports whether it stood.
func (h *server) remove(k *conn) bool {
	if _, ok := h.conns[k]; !ok {
		return false
	}
	delete(h.conns, k)
	h.load -= k.load
	if g := k.client.s.Group; g != 0 && h.w.fleet.Group.Cost > 0 {
		if h.groups[g]--; h.groups[g] == 0 {
			delete(h.groups, g)
			h.load -= h.w.fleet.Group.Cost * h.w.fleet.CoreLoad()
		}
	}
	h.worth[k.client.s.Class][max(0, k.client.s.Tenant)] -= k.client.worth
	if len(h.conns) == 0 {
		h.load = 0 // sums and differences leave a rest
		for i := range h.worth {
			clear(h.worth[i])
		}
	}
	return true
}

// shed drops the heaviest connection, as servers do when too much is piled up.
func (h *server) shed() {
	var worst *conn
	for k := range h.conns {
		if worst == nil || k.load > worst.load || k.load == worst.load && k.client.s.Client < worst.client.s.Client {
			worst = k
		}
	}
	if worst != nil {
		h.w.stats.Sheds++
		h.remove(worst)
		worst.client.broken()
	}
}

// breakAll resets all connections, in the order of their clients' numbers.
func (h *server) breakAll() {
	for _, k := range ordered(h.conns) {
		h.remove(k)
		k.client.broken()
	}
}
