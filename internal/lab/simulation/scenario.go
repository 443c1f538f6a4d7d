package simulation

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"spurwinch/internal/lab/faults"
)

// Scenario puts faults into a world, and says what must have happened.
type Scenario struct {
	Name string
	What string
	Put  func(w *World)
	Want map[string]int
	Set  func(o *Options)
}

const sec = time.Second

func (w *World) fault(at time.Duration, what string, fn func()) { w.faultOf(at, what, "", "", fn) }

// faultOf puts a fault that touches one node, or one zone, and nobody else.
func (w *World) faultOf(at time.Duration, what, node, zone string, fn func()) {
	w.at(at, func() {
		w.note(faults.Event{Kind: faults.KindFault, Detail: what, Node: node, Zone: zone})
		fn()
	})
}

func (w *World) inZone(zone string, fn func(h *host)) {
	for _, h := range w.hosts {
		if h.zone == zone {
			fn(h)
		}
	}
}

func (w *World) lose(zone, how string) {
	w.inZone(zone, func(h *host) { h.fail(w, how) })
}

func (w *World) back(zone string) { w.inZone(zone, func(h *host) { h.down, h.slow = "", 1 }) }

func (w *World) voters() (all []*node) {
	for _, i := range w.list.Voters() {
		all = append(all, w.nodes[i])
	}
	return all
}

// leader is the node that leads now, or the first voter.
func (w *World) leader() *node {
	for _, n := range w.voters() {
		if n.up && n.agent != nil && n.still <= w.now && n.agent.IsLeader() {
			return n
		}
	}
	return w.voters()[0]
}

func (w *World) restart(n *node, files string, after time.Duration) {
	n.crash()
	w.at(w.now+after, func() {
		if !n.up {
			if err := n.start(files); err != nil {
				w.note(faults.Event{Kind: "log", Node: n.name, Detail: "start: " + err.Error()})
			}
		}
	})
}

// isolate cuts a zone's nodes off from those of all other zones.
func (w *World) isolate(zone string) {
	for _, other := range w.zones {
		if other != zone {
			w.split(zone, other, true, true)
		}
	}
}

// split cuts, or joins, the nodes of two zones, one way or both.
func (w *World) split(a, b string, both, on bool) {
	w.cut[[2]string{a, b}] = on
	if both {
		w.cut[[2]string{b, a}] = on
	}
}

// Scenarios are the hard cases, by name.
var Scenarios = []Scenario{
	{"calm", "no fault", func(w *World) {}, map[string]int{"plans": 1, "mode": 1}, nil},
	{"zone-lost", "all hosts of a zone refuse connections from 12 s to 30 s", func(w *World) {
		w.fault(12*sec, "zone lost", func() { w.lose("z1", "refuses") })
		w.fault(30*sec, "zone back", func() { w.back("z1") })
	}, map[string]int{"zone lost": 1}, nil},
	{"zone-silent", "all hosts of a zone say nothing any more", func(w *World) {
		w.fault(12*sec, "zone silent", func() { w.lose("z1", "silent") })
	}, map[string]int{"zone lost": 1}, nil},
	{"zone-slow", "all hosts of a zone are three times as slow", func(w *World) {
		w.fault(12*sec, "zone slow", func() { w.inZone("z1", func(h *host) { h.slow = 3 }) })
	}, map[string]int{"plans": 2}, nil},
	{"one-way", "messages of one zone's nodes to another's are lost", func(w *World) {
		w.fault(10*sec, "one way cut", func() { w.split("z0", "z1", false, true) })
		w.fault(12*sec, "zone lost", func() { w.lose("z2", "refuses") })
	}, map[string]int{"zone lost": 1}, nil},
	{"bad-link", "one node hears nobody and reaches no host", func(w *World) {
		n := w.nodes[len(w.nodes)-1]
		w.faultOf(10*sec, "bad line", n.name, "", func() { n.deaf, n.badLine = true, true })
		w.faultOf(25*sec, "line well", n.name, "", func() { n.deaf, n.badLine = false, false })
	}, map[string]int{"plans": 1}, nil},
	{"leader-stopped", "the one that leads is stopped for 5 s while a zone is lost", func(w *World) {
		w.fault(12*sec, "leader stopped", func() {
			n := w.leader()
			n.still = w.now + 5*sec
		})
		w.fault(12*sec, "zone lost", func() { w.lose("z1", "refuses") })
	}, map[string]int{"leads": 2, "zone lost": 1}, nil},
	{"voters-killed", "two of three voters are killed, then a zone is lost", func(w *World) {
		w.fault(12*sec, "voters killed", func() {
			for _, n := range w.voters()[:2] {
				w.restart(n, "kept", 12*sec)
			}
		})
		w.fault(16*sec, "zone lost", func() { w.lose("z1", "refuses") })
	}, map[string]int{"crash": 2, "leads": 2, "mode": 10}, nil},
	{"all-voters-killed", "every voter is killed for good", func(w *World) {
		w.fault(12*sec, "voters killed", func() {
			for _, n := range w.voters() {
				n.crash()
			}
		})
	}, map[string]int{"crash": 3}, nil},
	{"split", "a zone's nodes are cut off from all others, and their hosts fail", func(w *World) {
		w.fault(12*sec, "split", func() { w.isolate("z1") })
		w.fault(16*sec, "zone lost", func() { w.lose("z0", "refuses") })
		w.fault(28*sec, "healed", func() { clear(w.cut) })
	}, map[string]int{"plans": 2}, nil},
	{"second-zone", "a second zone fails while the first comes back", func(w *World) {
		w.fault(10*sec, "zone lost", func() { w.lose("z1", "refuses") })
		w.fault(16*sec, "zone back", func() { w.back("z1") })
		w.fault(28*sec, "second zone lost", func() { w.lose("z0", "refuses") })
	}, map[string]int{"zone lost": 2}, nil},
	{"flap", "a zone comes and goes every 3 s", func(w *World) {
		for t := 10 * sec; t < 60*sec; t += 6 * sec {
			w.fault(t, "zone lost", func() { w.lose("z1", "refuses") })
			w.fault(t+3*sec, "zone back", func() { w.back("z1") })
		}
	}, map[string]int{"zone lost": 1}, nil},
	{"region-lost", "a whole region goes, with room for only half of it", func(w *World) {
		w.fault(14*sec, "region lost", func() {
			for _, z := range w.zones {
				if w.list.Region(z) == w.list.Region("z1") {
					w.lose(z, "refuses")
				}
			}
		})
	}, map[string]int{"zone lost": 1}, func(o *Options) { o.Use = 0.7 }},
	{"disk-cut", "a voter's disk is lost, then the one that leads is killed", func(w *World) {
		w.fault(10*sec, "disk lost", func() {
			for _, n := range w.voters() {
				if n != w.leader() {
					w.restart(n, "lost", 2*sec)
					break
				}
			}
		})
		w.fault(22*sec, "leader killed", func() { w.restart(w.leader(), "kept", 8*sec) })
		w.fault(26*sec, "zone lost", func() { w.lose("z1", "refuses") })
	}, map[string]int{"crash": 2, "leads": 2}, nil},
	{"late", "evidence comes 5 s late and twice, and a zone is lost", func(w *World) {
		w.fault(10*sec, "late and twice", func() { w.late, w.repeat = 5*sec, 0.5 })
		w.fault(14*sec, "zone lost", func() { w.lose("z1", "refuses") })
		w.fault(26*sec, "in time again", func() { w.late, w.repeat = 0, 0 })
	}, map[string]int{"plans": 1}, nil},
	{"disk-full", "the disk of the one that leads takes nothing for 8 s", func(w *World) {
		w.fault(12*sec, "disk full", func() {
			n := w.leader()
			n.diskBad = true
			w.at(w.now+8*sec, func() { n.diskBad = false })
		})
		w.fault(12*sec, "zone lost", func() { w.lose("z1", "refuses") })
	}, map[string]int{"leads": 1, "zone lost": 1}, nil},
	{"long-split", "a zone's nodes are cut off from all others for longer than crossings last", func(w *World) {
		w.fault(12*sec, "split", func() { w.isolate("z1") })
		w.fault(16*sec, "zone lost", func() { w.lose("z0", "refuses") })
		w.fault(62*sec, "healed", func() { clear(w.cut) })
	}, map[string]int{"plans": 2}, func(o *Options) { o.Length = max(o.Length, 75*sec) }},
	{"hears-nobody", "one node hears nobody, and is heard: it calls everybody dead", func(w *World) {
		n := w.nodes[len(w.nodes)-1]
		w.faultOf(8*sec, "hears nobody", n.name, "", func() { n.hard = true })
	}, map[string]int{"plans": 1}, nil},
	{"all-look-lost", "no node's lines to any host come through for 10 s: every zone looks lost, and there is nowhere else to go", func(w *World) {
		w.fault(12*sec, "lines cut", func() {
			for _, n := range w.nodes {
				n.badLine = true
			}
		})
		w.fault(22*sec, "lines well", func() {
			for _, n := range w.nodes {
				n.badLine = false
			}
		})
	}, map[string]int{"plans": 1}, func(o *Options) { o.Length = max(o.Length, 45*sec) }},
	{"slow-flap", "a zone goes for 6 s every 20 s", func(w *World) {
		for t := 10 * sec; t < w.o.Length; t += 20 * sec {
			w.fault(t, "zone lost", func() { w.lose("z1", "refuses") })
			w.fault(t+6*sec, "zone back", func() { w.back("z1") })
		}
	}, map[string]int{"zone lost": 1, "zone returning": 1}, func(o *Options) { o.Length = max(o.Length, 90*sec) }},
	{"half-dead", "a zone's hosts answer probes, and what they are sent fails or gets no answer", func(w *World) {
		w.fault(12*sec, "zone half dead", func() {
			i := 0
			w.inZone("z1", func(h *host) {
				if i++; i%2 == 0 {
					h.down = "mute"
				} else {
					h.down = "fails"
				}
			})
		})
	}, map[string]int{"plans": 1}, nil},
	{"slow-disks", "disks take a second, and nodes are killed while records are on their way", func(w *World) {
		w.fault(8*sec, "disks slow", func() {
			for _, n := range w.nodes {
				if !n.isVoter() {
					n.diskSlow = sec
				}
			}
		})
		w.fault(12*sec, "zone lost", func() { w.lose("z1", "refuses") })
		for i := range 12 {
			w.fault(12*sec+time.Duration(i)*700*time.Millisecond, "killed", func() {
				for j, n := range w.nodes {
					if !n.isVoter() && j%12 == i {
						w.restart(n, "kept", sec/2)
					}
				}
			})
		}
	}, map[string]int{"crash": 4, "plans": 2}, nil},
	{"drawn", "faults drawn by seed, up to eight of all kinds", (*World).draw, map[string]int{"fault": 2}, nil},
}

// Find finds a scenario.
func Find(name string) (Scenario, error) {
	var all []string
	for _, s := range slices.Concat(Scenarios, PolicyScenarios) {
		if s.Name == name {
			return s, nil
		}
		all = append(all, s.Name)
	}
	sort.Strings(all)
	return Scenario{}, fmt.Errorf("no scenario %q: one of %v is wanted", name, all)
}

// draw draws faults by the world's seed.
func (w *World) draw() {
	for range 2 + w.rng.IntN(7) {
		at := 6*sec + time.Duration(w.rng.Float64()*float64(w.o.Length-12*sec))
		long := time.Second + time.Duration(w.rng.ExpFloat64()*float64(5*sec))
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		z, y := w.zones[w.rng.IntN(len(w.zones))], w.zones[w.rng.IntN(len(w.zones))]
		v := w.voters()[w.rng.IntN(len(w.voters()))]
		switch w.rng.IntN(12) {
		case 0:
			w.fault(at, "zone lost", func() { w.lose(z, "refuses") })
			w.fault(at+long, "zone back", func() { w.back(z) })
		case 1:
			w.fault(at, "zone silent", func() { w.lose(z, "silent") })
			w.fault(at+long, "zone back", func() { w.back(z) })
		case 2:
			w.fault(at, "zone slow", func() { w.inZone(z, func(h *host) { h.slow = 2.5 }) })
			w.fault(at+long, "zone back", func() { w.back(z) })
		case 3:
			w.fault(at, "split", func() { w.split(z, y, w.rng.IntN(2) == 0, true) })
			w.fault(at+long, "healed", func() { w.split(z, y, true, false) })
		case 4:
			w.faultOf(at, "stall", n.name, "", func() { n.still = w.now + long })
		case 5:
			w.faultOf(at, "voter stalled", v.name, "", func() { v.still = w.now + long })
		case 6:
			w.faultOf(at, "killed", n.name, "", func() { w.restart(n, "kept", long) })
		case 7:
			w.faultOf(at, "voter killed", v.name, "", func() { w.restart(v, "kept", long) })
		case 8:
			w.fault(at, "files lost", func() {
				if !n.isVoter() { // of a voter only while all others are well: rule (3) is for a majority that keeps its disks
					w.restart(n, "lost", long)
				}
			})
		case 9:
			w.fault(at, "loss", func() { w.loss = 0.3 })
			w.fault(at+long, "no loss", func() { w.loss = w.o.Loss })
		case 10:
			w.fault(at, "late and twice", func() { w.late, w.repeat = time.Duration(w.rng.IntN(5000))*time.Millisecond, 0.4 })
			w.fault(at+long, "in time again", func() { w.late, w.repeat = 0, 0 })
		case 11:
			w.faultOf(at, "bad line", n.name, "", func() { n.deaf, n.badLine = true, w.rng.IntN(2) == 0 })
			w.faultOf(at+long, "line well", n.name, "", func() { n.deaf, n.badLine = false, false })
		}
	}
	if w.rng.IntN(4) == 0 {
		w.fault(w.o.Length/2, "all killed", func() {
			for _, n := range w.nodes {
				w.restart(n, "kept", time.Duration(w.rng.IntN(2000))*time.Millisecond)
			}
		})
	}
}

func (n *node) isVoter() bool { return n.w.list.Node(n.i).Voter }

// Play plays one scenario and judges it.
func Play(o Options) (*World, faults.Verdict, error) {
	s, err := Find(o.Faults)
	if err != nil {
		return nil, faults.Verdict{}, err
	}
	if strings.HasPrefix(o.Faults, "policy-") {
		o = o.lightUsual()
	}
	o = o.Usual()
	if s.Set != nil {
		s.Set(&o)
	}
	w, err := New(o)
	if err != nil {
		return nil, faults.Verdict{}, err
	}
	s.Put(w)
	events := w.Run()
	limits := faults.UsualLimits
	if o.Light {
		limits.Window, limits.Slack = lightRules.Window.Seconds(), 0.1
	}
	v := faults.Check(events, limits)
	if o.Policy == Common {
		v.Want(s.Want)
	}
	return w, v, nil
}
