package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/operate/fleetcall"
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

// do puts one fault.
func (lab *Lab) do(x Step, add func(time.Duration, func() error), now time.Duration) error {
	what := x.Do
	var touched []string // nodes that this fault touches, and no others; none: anybody
	later := func(fn func() error) {
		if x.For > 0 {
			add(now+time.Duration(x.For), fn)
		}
	}
	zone := func(down string, slow float64) {
		for _, h := range lab.hosts {
			if h.zone == x.Zone {
				h.set(down, slow)
			}
		}
	}
	switch x.Do {
	case "lose":
		what = "zone " + x.How
		if x.How == "slow" {
			zone("", 3)
		} else {
			zone(x.How, 1)
		}
		later(func() error {
			lab.note(Event{Kind: KindFault, Detail: "zone back", Zone: x.Zone})
			zone("", 1)
			return nil
		})
	case "back":
		zone("", 1)
	case "kill":
		all, err := lab.chosen(x.Node)
		if err != nil {
			return err
		}
		for _, n := range all {
			touched = append(touched, n.name)
			n.kill()
			later(func() error {
				n.mu.Lock()
				up := n.cmd != nil
				n.mu.Unlock()
				if up {
					return nil
				}
				files := x.Files
				if files == "" {
					files = "kept"
				}
				if err := n.start(files); err != nil {
					return err
				}
				lab.wait.Add(1)
				go func() {
					defer lab.wait.Done()
					select {
					case at := <-n.addr:
						lab.relay.moveFront(n, at)
					case <-lab.done:
					}
				}()
				return nil
			})
		}
	case "stall":
		all, err := lab.chosen(x.Node)
		if err != nil {
			return err
		}
		for _, n := range all {
			if !n.signal(syscall.SIGSTOP) {
				continue
			}
			touched = append(touched, n.name)
			n.mu.Lock()
			n.still = true
			n.mu.Unlock()
			later(func() error {
				n.mu.Lock()
				n.still, n.since = false, time.Now()
				n.mu.Unlock()
				n.signal(syscall.SIGCONT)
				return nil
			})
		}
	case "cut", "links":
		if x.Node != "" { // of one node, by what it is
			all, err := lab.chosen(x.Node)
			if err != nil {
				return err
			}
			touched = append(touched, all[0].name)
			if x.From == "node" {
				x.From = all[0].name
			}
			if x.To == "node" {
				x.To = all[0].name
			}
		}
		f := Fault{Cut: x.Do == "cut", Drop: x.Drop, Delay: time.Duration(x.Delay), Spread: time.Duration(x.Spread), Repeat: x.Repeat}
		lab.relay.Set(x.From, x.To, f)
		if x.Both {
			lab.relay.Set(x.To, x.From, f)
		}
		later(func() error {
			lab.note(Event{Kind: KindFault, Detail: "links well"})
			lab.relay.Set(x.From, x.To, Fault{})
			if x.Both {
				lab.relay.Set(x.To, x.From, Fault{})
			}
			return nil
		})
	case "heal":
		lab.relay.Heal()
		for _, h := range lab.hosts {
			h.set("", 1)
		}
	case "propose", "rollback", "status":
		lab.operate(x)
		return nil
	case "drain", "undrain":
		if err := lab.order(x.Do, x.Zone); err != nil {
			return err
		}
	}
	raw, _ := json.Marshal(x)
	if len(touched) == 0 {
		touched = []string{""}
	}
	for _, name := range touched {
		lab.note(Event{Kind: KindFault, Detail: what, Zone: x.Zone, Node: name, Digest: string(raw)})
	}
	return nil
}

// order calls the one that leads, as spurwinchctl does.
func (lab *Lab) order(verb, zone string) error {
	n := lab.leader()
	l, err := config.ReadFleetList(filepath.Join(n.dir, "nodes.toml"))
	if err != nil {
		return err
	}
	r, err := fleetcall.Ask(n.fleet, lab.key, l, n.name, agent.Call{Verb: verb, Arg: zone, ID: fmt.Sprintf("order-%d", time.Now().UnixNano())})
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return err
}
