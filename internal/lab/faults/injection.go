package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/operations/fleetclient"
)

// chosen finds the nodes that a step names.
func (lab *Lab) chosen(what string) (all []*proc, err error) {
	kind, arg, _ := strings.Cut(what, ":")
	n, bad := strconv.Atoi(arg)
	switch kind {
	case "leader":
		return []*proc{lab.leader()}, nil
	case "voter":
		if arg == "" {
			for _, p := range lab.nodes {
				if p.voter {
					all = append(all, p)
				}
			}
			return all, nil
		}
		if bad == nil && n >= 0 && n < lab.s.Fleet.Voters {
			return []*proc{lab.nodes[n]}, nil
		}
	case "follower":
		l := lab.leader()
		for _, p := range lab.nodes {
			if p.voter && p != l {
				return []*proc{p}, nil
			}
		}
	case "node":
		if bad == nil && n >= 0 {
			return []*proc{lab.nodes[n%len(lab.nodes)]}, nil
		}
	case "last":
		return []*proc{lab.nodes[len(lab.nodes)-1]}, nil
	case "zone":
		for _, p := range lab.nodes {
			if p.zone == arg {
				all = append(all, p)
			}
		}
		return all, nil
	case "third":
		for i, p := range lab.nodes {
			if i%3 == 2 && !p.voter {
				all = append(all, p)
			}
		}
		return all, nil
	case "all":
		return lab.nodes, nil
	}
	return nil, fmt.Errorf("node = %q: leader, follower, voter, voter:N, node:N, last, zone:Z, third or all is wanted", what)
}

// leader is the node that said last that it leads.
func (lab *Lab) leader() *proc {
	lab.mu.Lock()
	defer lab.mu.Unlock()
	best, term := lab.nodes[0], uint64(0)
	for _, e := range lab.events {
		if e.Kind == KindLeads && e.Number >= term {
			for _, n := range lab.nodes {
				if n.name == e.Node {
					best, term = n, e.Number
				}
			}
		}
	}
	return best
}

// injection is one fault on its way into the fleet.
type injection struct {
	*Lab
	step    Step
	what    string                            // as the history tells it
	touched []string                          // nodes that this fault touches, and no others; none: anybody
	add     func(time.Duration, func() error) // to the timetable
	now     time.Duration
}

// do puts one fault.
func (lab *Lab) do(x Step, add func(time.Duration, func() error), now time.Duration) error {
	in := &injection{Lab: lab, step: x, what: x.Do, add: add, now: now}
	var err error
	switch x.Do {
	case "lose":
		in.loseZone()
	case "back":
		in.setHosts("", 1)
	case "kill":
		err = in.killNodes()
	case "stall":
		err = in.stallNodes()
	case "cut", "links":
		err = in.setLinks()
	case "heal":
		lab.relay.Heal()
		for _, h := range lab.hosts {
			h.set("", 1)
		}
	case "propose", "rollback", "status":
		lab.operate(x)
		return nil
	case "drain", "undrain":
		err = lab.order(x.Do, x.Zone)
	}
	if err != nil {
		return err
	}
	in.record()
	return nil
}

// record tells the fault, once for each node that it touches.
func (in *injection) record() {
	raw, _ := json.Marshal(in.step)
	if len(in.touched) == 0 {
		in.touched = []string{""}
	}
	for _, name := range in.touched {
		in.note(Event{Kind: KindFault, Detail: in.what, Zone: in.step.Zone, Node: name, Digest: string(raw)})
	}
}

// later takes the fault back when its time is over, if it has one.
func (in *injection) later(undo func() error) {
	if in.step.For > 0 {
		in.add(in.now+time.Duration(in.step.For), undo)
	}
}

// setHosts has the hosts of the step's zone fail in a way, or be slow by a factor.
func (in *injection) setHosts(down string, slow float64) {
	for _, h := range in.hosts {
		if h.zone == in.step.Zone {
			h.set(down, slow)
		}
	}
}

func (in *injection) loseZone() {
	in.what = "zone " + in.step.How
	if in.step.How == "slow" {
		in.setHosts("", slowFactor)
	} else {
		in.setHosts(in.step.How, 1)
	}
	in.later(func() error {
		in.note(Event{Kind: KindFault, Detail: "zone back", Zone: in.step.Zone})
		in.setHosts("", 1)
		return nil
	})
}

func (in *injection) killNodes() error {
	all, err := in.chosen(in.step.Node)
	if err != nil {
		return err
	}
	for _, n := range all {
		in.touched = append(in.touched, n.name)
		n.kill()
		in.later(func() error { return n.restart(in.step.Files) })
	}
	return nil
}

func (in *injection) stallNodes() error {
	all, err := in.chosen(in.step.Node)
	if err != nil {
		return err
	}
	for _, n := range all {
		if !n.stall() {
			continue
		}
		in.touched = append(in.touched, n.name)
		in.later(func() error {
			n.resume()
			return nil
		})
	}
	return nil
}

// setLinks cuts or spoils links. Those of one node are named by what it is.
func (in *injection) setLinks() error {
	x := &in.step
	if x.Node != "" {
		all, err := in.chosen(x.Node)
		if err != nil {
			return err
		}
		in.touched = append(in.touched, all[0].name)
		if x.From == "node" {
			x.From = all[0].name
		}
		if x.To == "node" {
			x.To = all[0].name
		}
	}
	in.putOnLinks(Fault{Cut: x.Do == "cut", Drop: x.Drop, Delay: time.Duration(x.Delay), Spread: time.Duration(x.Spread), Repeat: x.Repeat})
	in.later(func() error {
		in.note(Event{Kind: KindFault, Detail: "links well"})
		in.putOnLinks(Fault{})
		return nil
	})
	return nil
}

// putOnLinks sets a fault on the step's links, both ways if it says so.
func (in *injection) putOnLinks(f Fault) {
	in.relay.Set(in.step.From, in.step.To, f)
	if in.step.Both {
		in.relay.Set(in.step.To, in.step.From, f)
	}
}

// order calls the one that leads, as spurwinchctl does.
func (lab *Lab) order(verb, zone string) error {
	n := lab.leader()
	l, err := config.ReadFleetList(filepath.Join(n.dir, "nodes.toml"))
	if err != nil {
		return err
	}
	r, err := fleetclient.Call(n.fleet, lab.key, l, n.name, agent.Call{Verb: verb, Arg: zone, ID: fmt.Sprintf("order-%d", time.Now().UnixNano())})
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return err
}
