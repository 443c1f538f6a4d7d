package simulation

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/policy"
)

// A light world has no hosts and no clients' connections: its nodes are their parts in the fleet alone, which admit a request now and then. It
// plays changes of policy with hundreds of nodes, thousands of times.

const (
	admitEvery = 120 * time.Millisecond // requests that ask a node
	callTime   = time.Second            // an operator's call to one voter
	opTime     = 20 * time.Second       // an operator's command, to its end or to "unknown"
)

var lightRules = policy.Rules{Window: 5 * time.Second, AnswerTimeout: 6 * time.Second}

// lightNews is what the module of a node tells that has hosts which are well.
func (n *node) lightNews() (news choice.Observations) {
	for _, z := range n.w.zones {
		news.Zones = append(news.Zones, choice.ZoneObservations{Zone: z, Ready: 4, Capacity: 4, Load: 1, Cost: 0.01, OwnLoad: make([]float64, len(n.w.classes)), Attempts: 5})
	}
	news.Classes = make([]choice.ClassObservations, len(n.w.classes))
	return news
}

// read is how a light world's node reads a document: words, of which some are beyond some nodes.
func (n *node) read(text []byte) (*policy.Document, error) {
	d := &policy.Document{Attempts: 4, Classes: []policy.Class{{Name: "gold", SetupObjective: time.Second, Deadline: 4 * time.Second, Priority: 1}}}
	for _, word := range strings.Fields(string(text)) {
		key, value, _ := strings.Cut(word, "=")
		switch {
		case key == "newer" && n.old:
			return nil, errors.New("line 1: newer: no such key")
		case key == "room" && n.i%7 == 3:
			return nil, errors.New("[needs] descriptors = 4096: this node has 1024")
		case key == "attempts":
			fmt.Sscan(value, &d.Attempts)
		}
	}
	return d, nil
}

func (n *node) policyOptions() *agent.Policy {
	return &agent.Policy{Rules: lightRules, Read: n.read, Counts: func() (float64, float64) { return n.came, n.away }}
}

// admits has requests come to a node for as long as its process runs; those that come while it is stopped wait for it.
func (n *node) admits() {
	n.on(n.w.now+time.Duration(float64(admitEvery)*(0.5+n.w.rng.Float64())), func() {
		n.came++
		s, until := n.agent.ActivePolicy()
		switch {
		case s.Known && n.clock() < until:
			n.w.note(faults.Event{Kind: faults.KindAdmit, Node: n.name, Zone: n.zone, Number: s.Number, Detail: "lease"})
		default:
			n.away++
			n.w.note(faults.Event{Kind: faults.KindAdmit, Node: n.name, Zone: n.zone, Number: s.Number, Detail: "none"})
		}
		n.admits()
	})
}

// operator is a person or script with the command, on a machine of its own.
type operator struct {
	w     *World
	name  string
	known uint64
	n     int
	cut   bool
	last  *agent.Call // a change of its own that has ended
	looks bool        // it does nothing but ask for what is in force
}

func (w *World) operators(count int) {
	for range count {
		o := &operator{w: w, name: fmt.Sprintf("op%d", len(w.ops))}
		w.ops = append(w.ops, o)
		w.at(4*time.Second+time.Duration(w.rng.Float64()*float64(3*time.Second)), o.next)
	}
}

func (o *operator) pause() time.Duration {
	if o.looks {
		return 20 * time.Millisecond
	}
	return time.Duration(o.w.rng.ExpFloat64() * float64(o.w.opPause))
}

func (o *operator) next() {
	w := o.w
	if w.now > w.o.Length-8*time.Second {
		return // the last ones are to end
	}
	again := func() { w.at(w.now+o.pause(), o.next) }
	o.n++
	id := fmt.Sprintf("%s-%d", o.name, o.n)
	began := w.now
	end := func(verb, result string, number uint64) {
		w.note(faults.Event{Kind: faults.KindOp, ID: id, Node: o.name, Detail: verb, Result: result, Number: number, Value: began.Seconds()})
		again()
	}
	by := w.now + opTime
	if !o.looks && o.last != nil && w.rng.IntN(10) == 0 { // proposing an id again changes nothing, and tells the same end
		id = o.last.ID
		o.propose(*o.last, by, 0, func(_, result string, number uint64) { end("again", result, number) })
		return
	}
	switch x := w.rng.IntN(10); {
	case x < 4 || o.looks:
		o.status(by, func(r *agent.PolicyReply) {
			if r == nil {
				end("status", "unknown", 0)
				return
			}
			o.known = r.Number
			end("status", "ok", r.Number)
		})
	default:
		text := fmt.Sprintf("of=%s", id)
		often := 8
		if w.olds {
			often = 3
		}
		switch w.rng.IntN(often) {
		case 0:
			text += " newer=1"
		case 1:
			text += " room=1"
		}
		var part policy.Canary
		if w.rng.IntN(4) == 0 {
			part = policy.Canary{OneIn: 3, Seconds: 1 + 3*w.rng.Float64(), MaxExtraRejections: 0.2}
		}
		abort := time.Duration(0)
		if w.rng.IntN(6) == 0 {
			abort = w.now + time.Duration(w.rng.Float64()*float64(2*time.Second))
		}
		c := agent.Call{Verb: "policy-propose", ID: id, Data: []byte(text), Base: o.known, Part: part}
		o.propose(c, by, abort, func(verb, result string, number uint64) {
			if result == "taken" || result == "given up" {
				o.last = &c
			}
			end(verb, result, number)
		})
	}
}

// call asks one voter, with what the way does to both messages.
func (o *operator) call(to *node, c agent.Call, done func(r agent.Reply, ok bool)) {
	w := o.w
	over := false
	finish := func(r agent.Reply, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	w.at(w.now+max(callTime, w.patience), func() { finish(agent.Reply{}, false) })
	lost := func() bool { return o.cut || to.deaf && !to.reached || w.rng.Float64() < w.loss }
	if !to.up || lost() {
		return
	}
	way := func() time.Duration {
		return time.Millisecond + time.Duration(w.rng.Float64()*float64(5*time.Millisecond))
	}
	to.on(w.now+way(), func() {
		b, ok := to.agent.Answer(agent.Seal([]byte(labKey), w.list, to.i, c), to.clock())
		if !ok || lost() {
			return
		}
		w.at(w.now+way(), func() {
			r, err := agent.Unseal([]byte(labKey), w.list, b)
			finish(r, err == nil)
		})
	})
}

// status asks for what is in force: an answer that is not older than the call.
func (o *operator) status(by time.Duration, done func(r *agent.PolicyReply)) {
	w := o.w
	var begin func()
	retry := func() { w.at(w.now+100*time.Millisecond, begin) }
	begin = func() {
		if w.now > by {
			done(nil)
			return
		}
		v := w.voters()[w.rng.IntN(len(w.voters()))]
		o.call(v, agent.Call{Verb: "policy"}, func(r agent.Reply, ok bool) {
			if !ok || r.Policy == nil {
				retry()
				return
			}
			token, tries := r.Policy.Token, 0
			var ask func()
			ask = func() {
				o.call(v, agent.Call{Verb: "policy", Arg: token}, func(r agent.Reply, ok bool) {
					switch tries++; {
					case ok && r.Policy != nil && !r.Retry:
						done(r.Policy)
					case ok && r.Policy != nil && tries < 20 && w.now < by:
						w.at(w.now+50*time.Millisecond, ask)
					default:
						retry()
					}
				})
			}
			ask()
		})
	}
	begin()
}

// propose proposes and waits for the end of it.
func (o *operator) propose(c agent.Call, by, abort time.Duration, end func(verb, result string, number uint64)) {
	w := o.w
	out := false // it may be on the log, or on its way there
	var send, look func()
	later := func(fn func()) { w.at(w.now+150*time.Millisecond, fn) }
	look = func() {
		o.status(by, func(r *agent.PolicyReply) {
			if r == nil {
				end("propose", "unknown", 0)
				return
			}
			o.known = r.Number
			for _, e := range r.Ended {
				if e.ID == c.ID {
					result := "given up"
					if e.Accepted {
						result = "taken"
					}
					end("propose", result, e.Number)
					return
				}
			}
			if x := r.Change; x != nil && x.ID == c.ID {
				if abort > 0 && w.now > abort {
					abort = 0
					o.call(w.leader(), agent.Call{Verb: "policy-abort", ID: c.ID}, func(agent.Reply, bool) { later(look) })
					return
				}
				later(look)
				return
			}
			later(send)
		})
	}
	send = func() {
		if w.now > by {
			result := "unknown"
			if !out {
				result = "refused"
			}
			end("propose", result, 0)
			return
		}
		o.call(w.voters()[w.rng.IntN(len(w.voters()))], c, func(r agent.Reply, ok bool) {
			switch {
			case !ok:
				out = true
				later(look)
			case r.Leader != "" && !r.Leads && r.Error != "":
				later(send)
			case r.Error != "" && !r.Retry && !out:
				end("propose", "refused", 0)
			case r.Error == "":
				out = true
				later(look)
			case out:
				later(look)
			default:
				later(send)
			}
		})
	}
	send()
}

// PolicyScenarios are the hard cases of changes, by name.
var PolicyScenarios = []Scenario{
	{"policy-calm", "changes by three operators at once, no fault", func(w *World) {}, map[string]int{"policies": 2, "op taken": 2}, nil},
	{"policy-crashes", "whoever takes a step may be killed right then, and comes back with its files", func(w *World) { w.crashy = 0.03 },
		map[string]int{"policies": 1, "crash": 3}, nil},
	{"policy-leader-dies", "the one that leads is killed or stopped each 4 s", func(w *World) {
		for t := 6 * sec; t < w.o.Length-10*sec; t += 4 * sec {
			w.fault(t, "leader killed", func() {
				if n := w.leader(); w.rng.IntN(2) == 0 {
					w.restart(n, "kept", time.Duration(200+w.rng.IntN(2000))*time.Millisecond)
				} else {
					n.still = w.now + time.Duration(500+w.rng.IntN(6000))*time.Millisecond
				}
			})
		}
	}, map[string]int{"policies": 1, "leads": 3}, nil},
	{"policy-third-down", "a third of the nodes is down through changes, and comes back with old files", func(w *World) {
		w.fault(5*sec, "third killed", func() {
			for i, n := range w.nodes {
				if i%3 == 2 && !n.isVoter() {
					w.restart(n, "kept", 18*sec+time.Duration(w.rng.IntN(3000))*time.Millisecond)
				}
			}
		})
	}, map[string]int{"policies": 1, "crash": 2}, nil},
	{"policy-stalls", "nodes are stopped before changes and go on long after, with clients in their queues", func(w *World) {
		for t := 5 * sec; t < w.o.Length-16*sec; t += 2 * sec {
			w.fault(t, "stall", func() {
				n := w.nodes[w.rng.IntN(len(w.nodes))]
				n.still = w.now + time.Duration(2000+w.rng.IntN(12000))*time.Millisecond
			})
		}
	}, map[string]int{"policies": 2}, nil},
	{"policy-cut-off", "nodes are cut off from all others, and their clients go on asking them", func(w *World) {
		for t := 5 * sec; t < w.o.Length-16*sec; t += 3 * sec {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			w.faultOf(t, "cut off", n.name, "", func() { n.deaf = true })
			w.faultOf(t+time.Duration(2000+w.rng.IntN(10000))*time.Millisecond, "well", n.name, "", func() { n.deaf = false })
		}
	}, map[string]int{"policies": 1}, nil},
	{"policy-stale", "a voter is cut off from all others, not from operators, or the one that leads is stopped with their calls in its queue, in turn", func(w *World) {
		w.patience = 6 * sec
		w.operators(4) // that look at any moment of a change
		for _, o := range w.ops[3:] {
			o.looks = true
		}
		for i, t := 0, 6*sec; t < w.o.Length-14*sec; i, t = i+1, t+5*sec {
			w.fault(t, "voter out of touch", func() {
				if i%2 == 0 {
					w.leader().still = w.now + 3*sec
					return
				}
				n := w.voters()[w.rng.IntN(len(w.voters()))]
				n.deaf, n.reached = true, true
				w.at(w.now+3*sec, func() { n.deaf, n.reached = false, false })
			})
		}
	}, map[string]int{"policies": 1, "leads": 2}, nil},
	{"policy-all-lost", "every message is lost for 6 s", func(w *World) {
		w.fault(9*sec, "all lost", func() { w.loss = 1 })
		w.fault(15*sec, "no more", func() { w.loss = w.o.Loss })
	}, map[string]int{"policies": 1}, nil},
	{"policy-late", "messages come up to 2 s late, and twice", func(w *World) {
		w.fault(6*sec, "late and twice", func() { w.late, w.repeat = 2*sec, 0.4 })
		w.fault(w.o.Length-14*sec, "in time again", func() { w.late, w.repeat = 0, 0 })
	}, map[string]int{"fault": 1}, nil},
	{"policy-joins", "nodes that were never there come in during checks", func(w *World) {
		for i, n := range w.nodes {
			if i%4 == 3 && !n.isVoter() {
				w.fault(sec, "not there yet", n.crash)
				w.at(time.Duration(5000+w.rng.IntN(12000))*time.Millisecond, func() { w.restart(n, "lost", 0) })
			}
		}
	}, map[string]int{"policies": 1}, nil},
	{"policy-older", "one in five is of an older version that doesn't know a key", func(w *World) {
		w.olds = true
		for i, n := range w.nodes {
			n.old = i%5 == 4
		}
	}, map[string]int{"policies": 1, "change given up": 1}, nil},
	{"policy-disk-full", "the disks of a node and of a voter take nothing for 8 s", func(w *World) {
		w.fault(6*sec, "disks full", func() {
			for _, n := range []*node{w.voters()[w.rng.IntN(len(w.voters()))], w.nodes[len(w.nodes)-1]} {
				n.diskBad = true
				w.at(w.now+8*sec, func() { n.diskBad = false })
			}
		})
	}, map[string]int{"policies": 1}, nil},
	{"policy-all-killed", "all nodes are killed at one moment and come back", func(w *World) {
		w.fault(14*sec, "all killed", func() {
			for _, n := range w.nodes {
				w.restart(n, "kept", time.Duration(w.rng.IntN(2000))*time.Millisecond)
			}
		})
	}, map[string]int{"policies": 1, "crash": 5}, nil},
	{"policy-drawn", "faults drawn by seed, and crashes at steps", func(w *World) {
		w.crashy = []float64{0, 0.005, 0.02}[w.rng.IntN(3)]
		w.draw()
	}, map[string]int{"fault": 1}, nil},
}

// lightUsual is the usual light world.
func (o Options) lightUsual() Options {
	o.Light = true
	if o.Length == 0 {
		o.Length = 45 * time.Second
	}
	return o
}
