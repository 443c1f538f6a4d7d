package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// build makes the fleet's hosts, nodes and links, and starts all processes.
func (lab *Lab) build(ctx context.Context) error {
	raiseDescriptorLimit()
	if err := lab.makeHosts(); err != nil {
		return err
	}
	if err := lab.makeNodes(); err != nil {
		return err
	}
	for _, n := range lab.nodes {
		if err := n.link(); err != nil {
			return err
		}
		if err := n.write(); err != nil {
			return err
		}
	}
	if lab.s.Fleet.Policy {
		if err := lab.operatorsFiles(); err != nil {
			return err
		}
	}
	return lab.startAll(ctx)
}

// raiseDescriptorLimit has the laboratory open as many files as it is allowed to.
func raiseDescriptorLimit() {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < limit.Max {
		limit.Cur = limit.Max
		unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)
	}
}

// makeHosts makes the zones with their hosts.
func (lab *Lab) makeHosts() error {
	f := lab.s.Fleet
	for z := range f.Zones {
		name := fmt.Sprintf("z%d", z)
		lab.zones = append(lab.zones, name)
		lab.region[name] = fmt.Sprintf("r%d", z*f.Regions/f.Zones)
		lab.note(Event{Kind: KindZone, Zone: name, Detail: lab.region[name], Value: float64(f.Hosts * lab.o.Bears)})
		for range f.Hosts {
			h, err := lab.newHost(fmt.Sprintf("h%03d", len(lab.hosts)), name, lab.o.Bears)
			if err != nil {
				return err
			}
			lab.hosts = append(lab.hosts, h)
			lab.byID[h.id] = h
			lab.relay.Place(h.id, "hosts:"+name)
		}
	}
	return nil
}

// makeNodes makes the nodes with their addresses and directories. The first ones vote.
func (lab *Lab) makeNodes() error {
	f := lab.s.Fleet
	for i := range lab.o.Nodes {
		addr, err := freeAddr(net.IPv4(127, byte(1+i/200), byte(i%200), 1))
		if err != nil {
			return err
		}
		n := &proc{lab: lab, i: i, name: fmt.Sprintf("n%03d", i), zone: lab.zones[i%f.Zones], voter: i < f.Voters, fleet: addr, addr: make(chan string, 4)}
		n.dir = filepath.Join(lab.o.Dir, n.name)
		if err := os.MkdirAll(n.dir, 0o700); err != nil {
			return err
		}
		lab.relay.Place(n.name, "zone:"+n.zone)
		lab.nodes = append(lab.nodes, n)
		votes := 0.0
		if n.voter {
			votes = 1
		}
		lab.note(Event{Kind: KindNode, Node: n.name, Zone: n.zone, Value: votes})
	}
	return nil
}

// link makes the node's links through the relay: to the other nodes, to the hosts, and of its clients to it.
func (n *proc) link() (err error) {
	lab := n.lab
	for _, other := range lab.nodes {
		at := other.fleet
		if other != n && !lab.o.Alone {
			if at, err = lab.relay.Link(n.name, other.name, other.fleet, true); err != nil {
				return err
			}
		}
		n.links = append(n.links, at)
	}
	for _, h := range lab.hosts {
		at, err := lab.relay.Link(n.name, h.id, h.addr, false)
		if err != nil {
			return err
		}
		n.hosts = append(n.hosts, at)
	}
	n.front, err = lab.relay.Link("clients:"+n.zone, n.name, "127.0.0.1:1", false)
	return err
}

// startAll starts all processes at once, as after a power cut; each tells its address when it listens.
func (lab *Lab) startAll(ctx context.Context) error {
	for _, n := range lab.nodes {
		if err := n.start("new"); err != nil {
			return err
		}
	}
	for _, n := range lab.nodes {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startTime):
			return fmt.Errorf("%s does not listen after %v: see %s", n.name, startTime, filepath.Join(n.dir, "log"))
		case <-n.gone:
			return fmt.Errorf("%s ended at its start: see %s", n.name, filepath.Join(n.dir, "log"))
		case at := <-n.addr:
			lab.relay.moveFront(n, at)
		}
	}
	return nil
}

// freeAddr finds a number that both kinds of sockets can have now, on an address that no other party of the run uses.
func freeAddr(ip net.IP) (string, error) {
	for range 50 {
		t, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			return "", err
		}
		at := t.Addr().(*net.TCPAddr)
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: at.Port})
		t.Close()
		if err == nil {
			u.Close()
			return at.String(), nil
		}
	}
	return "", errors.New("no free address on " + ip.String())
}

// moveFront has clients of a node come to where it listens now.
func (r *Relay) moveFront(n *proc, at string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		if l.to == n.name && strings.HasPrefix(l.from, "clients:") {
			l.dest.Store(&at)
		}
	}
}

// write writes a node's files.
func (n *proc) write() error {
	discovery, err := n.serveList()
	if err != nil {
		return err
	}
	config, err := n.configuration(discovery)
	if err != nil {
		return err
	}
	for name, text := range map[string][]byte{"config.json": config, "nodes.toml": []byte(n.nodesFile()), "operator.toml": []byte(n.operatorFile()),
		"key": n.lab.key} {
		if err := os.WriteFile(filepath.Join(n.dir, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// serveList serves the list of hosts to a node, and gives the address where the node finds it.
func (n *proc) serveList() (address string, err error) {
	lab := n.lab
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: lab.list.door(n), ReadHeaderTimeout: 5 * time.Second}
	go server.Serve(l)
	lab.wait.Add(1)
	go func() {
		defer lab.wait.Done()
		<-lab.done
		server.Close()
	}()
	return lab.relay.Link(n.name, "list", l.Addr().String(), false)
}

// configuration is the platform's configuration of a node.
func (n *proc) configuration(discovery string) ([]byte, error) {
	lab := n.lab
	return json.Marshal(map[string]any{"name": n.name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": fmt.Sprintf("%x", lab.o.Seed+uint64(n.i)*977),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": n.sockets()}, "known": lab.list.entries(n),
		"settings": NodeSettings(lab.o.Nodes, n.i, n.zone)})
}

// nodesFile is the fleet's list of nodes, with their addresses as this node sees them.
func (n *proc) nodesFile() string {
	lab := n.lab
	var text strings.Builder
	for i, other := range lab.nodes {
		lab.writeNode(&text, other, n.links[i])
	}
	text.WriteString("[plan]\nstay = [")
	for _, c := range Classes {
		if c.StayInRegion {
			fmt.Fprintf(&text, "%q,", c.Name)
		}
	}
	text.WriteString("]\n")
	if lab.s.Fleet.Policy {
		text.WriteString("[policy]\nwindow = \"5s\"\nanswer = \"8s\"\n")
	}
	return text.String()
}

// writeNode writes a node's entry in a list of nodes.
func (lab *Lab) writeNode(text *strings.Builder, n *proc, address string) {
	fmt.Fprintf(text, "[[node]]\nname = %q\naddr = %q\nzone = %q\nregion = %q\n", n.name, address, n.zone, lab.region[n.zone])
	if n.voter {
		text.WriteString("voter = true\n")
	}
}

// operatorFile is the operator's file of a node. The last nodes may know older policies only.
func (n *proc) operatorFile() string {
	text := fmt.Sprintf("[fleet]\nself = %q\nlisten = %q\nnodes = %q\nkey_file = %q\ndir = %q\n", n.name, n.fleet, filepath.Join(n.dir, "nodes.toml"),
		filepath.Join(n.dir, "key"), filepath.Join(n.dir, "files"))
	if older := n.lab.s.Fleet.Older; older > 0 && n.i >= n.lab.o.Nodes-older {
		text += "policy_level = 1\n"
	}
	return text
}
