package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxAddressAttempts = 50            // ports to try for one node
	nodesPerSubnet     = 200           // nodes that share x of their loopback addresses 127.x.y.1
	noTarget           = "127.0.0.1:1" // target of links to a node that isn't listening yet; it refuses connections
)

// Errors while a run is set up.
var (
	ErrNoFreeAddress = errors.New("no port is free for both TCP and UDP")
	ErrNotListening  = errors.New("the node is not listening")
	ErrExitedAtStart = errors.New("the node exited while it started")
)

// setUp creates the fleet's servers, nodes and links, and starts all processes.
func (h *harness) setUp(ctx context.Context) error {
	raiseDescriptorLimit()
	if err := h.makeServers(); err != nil {
		return err
	}
	if err := h.makeNodes(); err != nil {
		return err
	}
	for _, n := range h.nodes {
		if err := n.makeLinks(); err != nil {
			return err
		}
		if err := n.writeFiles(); err != nil {
			return err
		}
	}
	if h.scenario.Fleet.Policy {
		if err := h.writeOperatorFiles(); err != nil {
			return err
		}
	}
	return h.startAll(ctx)
}

// raiseDescriptorLimit raises the soft limit of open files of this process to its hard limit. The servers and the links
// of all nodes are sockets of this one process.
func raiseDescriptorLimit() {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= limit.Max {
		return
	}
	limit.Cur = limit.Max
	_ = unix.Setrlimit(unix.RLIMIT_NOFILE, &limit) // a run that lacks descriptors records that, and is then not judged
}

// makeServers creates the zones and starts their servers.
func (h *harness) makeServers() error {
	fleet := h.scenario.Fleet
	for i := range fleet.Zones {
		zone := fmt.Sprintf("z%d", i)
		region := fmt.Sprintf("r%d", i*fleet.Regions/fleet.Zones)
		h.zones = append(h.zones, zone)
		h.regionOf[zone] = region
		h.record(Event{Kind: KindZone, Zone: zone, Detail: region, Value: float64(h.zoneCapacity())})
		for range fleet.ServersPerZone {
			started, err := h.newServer(fmt.Sprintf("h%03d", len(h.servers)), zone, h.serverCapacity)
			if err != nil {
				return err
			}
			h.servers = append(h.servers, started)
			h.serverByID[started.id] = started
			h.relay.Place(started.id, serverGroup+zone)
		}
	}
	return nil
}

// makeNodes creates the nodes with their addresses and directories. The first ones are voters.
func (h *harness) makeNodes() error {
	fleet := h.scenario.Fleet
	for i := range h.options.Nodes {
		address, err := freeAddress(net.IPv4(127, byte(1+i/nodesPerSubnet), byte(i%nodesPerSubnet), 1))
		if err != nil {
			return err
		}
		created := newNode(h, i, address)
		if err := os.MkdirAll(created.dir, 0o700); err != nil {
			return err
		}
		h.relay.Place(created.name, nodeGroup+created.zone)
		h.nodes = append(h.nodes, created)
		votes := 0.0
		created.isVoter = i < fleet.Voters
		if created.isVoter {
			votes = 1
		}
		h.record(Event{Kind: KindNode, Node: created.name, Zone: created.zone, Value: votes})
	}
	return nil
}

// makeLinks creates the node's links through the relay to the other nodes, to the servers and from its clients.
func (n *node) makeLinks() error {
	relay := n.harness.relay
	for _, other := range n.harness.nodes {
		address := other.fleetAddr
		if other != n && !n.harness.options.Standalone {
			linked, err := relay.Link(n.name, other.name, other.fleetAddr, true)
			if err != nil {
				return err
			}
			address = linked
		}
		n.nodeLinks = append(n.nodeLinks, address)
	}
	for _, s := range n.harness.servers {
		address, err := relay.Link(n.name, s.id, s.addr, false)
		if err != nil {
			return err
		}
		n.serverLinks = append(n.serverLinks, address)
	}
	address, err := relay.Link(clientGroup+n.zone, n.name, noTarget, false)
	n.clientAddr = address
	return err
}

// startAll starts all processes at once, as after a power cut, and waits until all listen. It waits for the nodes one
// after another, up to startTimeout for each. If it fails, harness.close kills the running processes.
func (h *harness) startAll(ctx context.Context) error {
	for _, n := range h.nodes {
		if err := n.start(FilesNew); err != nil {
			return err
		}
	}
	for _, n := range h.nodes {
		if err := n.awaitListening(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitListening waits until the node listens, and directs its clients to the address.
func (n *node) awaitListening(ctx context.Context) error {
	log := filepath.Join(n.dir, "log")
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(startTimeout):
		return fmt.Errorf("%s after %v: %w: see %s", n.name, startTimeout, ErrNotListening, log)
	case <-n.exited:
		return fmt.Errorf("%s: %w: see %s", n.name, ErrExitedAtStart, log)
	case address := <-n.listening:
		n.harness.relay.MoveClients(n.name, address)
	}
	return nil
}

// freeAddress returns an address with a port that is free for TCP and UDP. No other part of the run may use the IP.
func freeAddress(ip net.IP) (string, error) {
	for range maxAddressAttempts {
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			return "", err
		}
		address := tcp.Addr().String()
		udp, err := net.ListenPacket("udp", address)
		closeQuietly(tcp)
		if err == nil {
			closeQuietly(udp)
			return address, nil
		}
	}
	return "", fmt.Errorf("%w on %v", ErrNoFreeAddress, ip)
}
