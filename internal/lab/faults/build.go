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

func (lab *Lab) build(ctx context.Context) error {
	var lim unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &lim) == nil && lim.Cur < lim.Max {
		lim.Cur = lim.Max
		unix.Setrlimit(unix.RLIMIT_NOFILE, &lim)
	}
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
	for i := range lab.o.Nodes {
		ip := net.IPv4(127, byte(1+i/200), byte(i%200), 1)
		addr, err := freeAddr(ip)
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
		v := 0.0
		if n.voter {
			v = 1
		}
		lab.note(Event{Kind: KindNode, Node: n.name, Zone: n.zone, Value: v})
	}
	for _, n := range lab.nodes {
		for _, m := range lab.nodes {
			at := m.fleet
			if m != n && !lab.o.Alone {
				var err error
				if at, err = lab.relay.Link(n.name, m.name, m.fleet, true); err != nil {
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
		var err error
		if n.front, err = lab.relay.Link("clients:"+n.zone, n.name, "127.0.0.1:1", false); err != nil {
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
	// All at once, as after a power cut; each tells its address when it listens.
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
	lab := n.lab
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: lab.list.door(n), ReadHeaderTimeout: 5 * time.Second}
	go srv.Serve(l)
	lab.wait.Add(1)
	go func() {
		defer lab.wait.Done()
		<-lab.done
		srv.Close()
	}()
	at, err := lab.relay.Link(n.name, "list", l.Addr().String(), false)
	if err != nil {
		return err
	}
	conf, err := json.Marshal(map[string]any{"name": n.name, "listen": "127.0.0.1:0", "discovery": at, "seed": fmt.Sprintf("%x", lab.o.Seed+uint64(n.i)*977),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": n.sockets()}, "known": json.RawMessage(lab.list.entries(n)),
		"settings": SettingsJSON(lab.o.Nodes, n.i, n.zone)})
	if err != nil {
		return err
	}
	var text strings.Builder
	for j, m := range lab.nodes {
		fmt.Fprintf(&text, "[[node]]\nname = %q\naddr = %q\nzone = %q\nregion = %q\n", m.name, n.links[j], m.zone, lab.region[m.zone])
		if m.voter {
			text.WriteString("voter = true\n")
		}
	}
	text.WriteString("[plan]\nstay = [")
	for _, c := range Classes {
		if c.Stay {
			fmt.Fprintf(&text, "%q,", c.Name)
		}
	}
	text.WriteString("]\n")
	if lab.s.Fleet.Policy {
		text.WriteString("[policy]\nwindow = \"5s\"\nanswer = \"8s\"\n")
	}
	op := fmt.Sprintf("[fleet]\nself = %q\nlisten = %q\nnodes = %q\nkey_file = %q\ndir = %q\n", n.name, n.fleet, filepath.Join(n.dir, "nodes.toml"),
		filepath.Join(n.dir, "key"), filepath.Join(n.dir, "files"))
	if lab.s.Fleet.Older > 0 && n.i >= lab.o.Nodes-lab.s.Fleet.Older {
		op += "policy_level = 1\n"
	}
	for name, b := range map[string][]byte{"config.json": conf, "nodes.toml": []byte(text.String()), "operator.toml": []byte(op), "key": lab.key} {
		if err := os.WriteFile(filepath.Join(n.dir, name), b, 0o600); err != nil {
			return err
		}
	}
	return nil
}
