package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"spurwinch/internal/lab/fakeserver"
	"spurwinch/internal/lab/shim"
)

const (
	configurationTime = 4 * time.Second // in which a reloaded configuration is in use
	brokenGrace       = 3 * time.Second // after connections were broken under the node
	nodeMemory        = 192             // MB
	nodeDescriptors   = 1024
)

// Parts of a node's address range.
const (
	clientAddress = 0
	peerAddress   = 1
)

var errNodesNotReady = errors.New("not all nodes are ready")

// node is a node with its current process.
type node struct {
	harness        *harness
	name           string
	zone           string
	index          int
	dir            string
	addr           string   // of clients
	peer           string   // of gossip
	discoveryAddrs []string // of which the configuration names one
	control        *shim.Control

	mu            sync.Mutex
	process       *process
	incarnation   int  // planned and other restarts so far
	admitted      bool // the front sends clients
	claimed       bool // a fault of this node's process is under way
	discoveryAddr int  // index of the address that the configuration names
	startedAt     time.Time
	reloadedAt    time.Time
	killedAt      []time.Time
	brokenUntil   time.Time               // connections are broken under the node
	draining      map[*server]time.Time   // since when the process is notified that the server drains
	starts        map[*server][]time.Time // the servers' starts that it was notified of
}

func newNode(h *harness, index int) *node {
	name := fmt.Sprintf("n%02d", index)
	return &node{
		harness:  h,
		name:     name,
		zone:     zoneOf(index),
		index:    index,
		dir:      filepath.Join(h.options.Dir, name),
		draining: map[*server]time.Time{},
		starts:   map[*server][]time.Time{},
	}
}

// reserveAddress returns an address with a port of the kernel's choice on a loopback IP of the node's own, where nobody
// else gets a port. It is free for TCP and UDP.
func (n *node) reserveAddress(part int) (string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid%128), byte(pid/128%256), byte(part*MaxNodes+n.index+1))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	defer closeQuietly(listener)
	return listener.Addr().String(), nil
}

// configurationPath is the path of the node's configuration file.
func (n *node) configurationPath() string { return filepath.Join(n.dir, "config.json") }

// writeConfiguration replaces the node's configuration file. n.mu is held, or no process runs yet.
func (n *node) writeConfiguration() error {
	var peers []string
	for _, peer := range n.harness.nodes {
		peers = append(peers, peer.peer)
	}
	var known []fakeserver.ListEntry
	for _, s := range n.harness.servers {
		known = append(known, fakeserver.ListEntry{
			ID: s.id, Addr: s.addr(), Zone: s.zone, Kind: "k", State: stateServing, Weight: 1,
		})
	}
	settings := n.harness.deployment.settings(len(n.harness.nodes), n.index, len(n.harness.servers), n.zone)
	raw, err := json.Marshal(map[string]any{
		"name":        n.name,
		"listen":      n.addr,
		"discovery":   n.discoveryAddrs[n.discoveryAddr],
		"seed":        fmt.Sprintf("%x", n.harness.options.Seed*1000+uint64(n.index)),
		"limits":      map[string]any{"cores": 1, "memory_mb": nodeMemory, "sockets": nodeDescriptors},
		"peer_listen": n.peer,
		"peers":       peers,
		"known":       fakeserver.EncodeList(1, known),
		"settings":    settings,
	})
	if err != nil {
		return err
	}
	path := n.configurationPath()
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// isAdmitted reports whether the front sends clients to the node.
func (n *node) isAdmitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.admitted
}

// currentProcess is the node's process; nil, if none was started.
func (n *node) currentProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// currentIncarnation is the number of the node's restarts so far.
func (n *node) currentIncarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// claim claims the node for a fault of its process; false: another one is under way, or the node is not ready.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed || !n.admitted {
		return false
	}
	n.claimed = true
	return true
}

// release ends what claim began.
func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed = false
}

// failCalls has a part of the system calls of a kind fail. Broken connections are rarer and excuse the node.
func (n *node) failCalls(kind shim.Kind, rate float64, until time.Time) {
	if kind == shim.Break {
		rate /= breakRateFactor
		n.mu.Lock()
		n.brokenUntil = until.Add(brokenGrace)
		n.mu.Unlock()
	}
	n.control.Fail(kind, rate)
}

// notified records what discovery writes to the node.
func (n *node) notified(states []serverState) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, listed := range states {
		if listed.state == stateServing {
			delete(n.draining, listed.server)
		} else if n.draining[listed.server].IsZero() {
			n.draining[listed.server] = now
		}
		if !listed.started.IsZero() {
			n.starts[listed.server] = append(n.starts[listed.server], listed.started)
		}
	}
}

// knownDraining returns since when the node knows, or has to know, that a server drains; zero: it need not.
func (n *node) knownDraining(s *server) time.Time {
	drainingSince := s.drainingSince()
	if drainingSince.IsZero() {
		return time.Time{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.draining[s]
	reachableSince, reachable := n.harness.discovery.reachableSince()
	if !reachable {
		return known
	}
	due := latest(drainingSince, reachableSince, n.startedAt, n.reloadedAt.Add(configurationTime))
	if !n.harness.deployment.pushed { // a list that is pushed to the agent counts as known at once
		due = due.Add(drainNoticeTime)
	}
	if known.IsZero() || due.Before(known) {
		return due
	}
	return known
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// knowsStart reports whether the process that a request went to was notified of a server's start.
func (n *node) knowsStart(s *server, started time.Time, incarnation int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if incarnation != n.incarnation {
		return false
	}
	for _, known := range n.starts[s] {
		if known.Equal(started) {
			return true
		}
	}
	return false
}

// killedBetween reports whether the node's process was killed between two times.
func (n *node) killedBetween(start, end time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, at := range n.killedAt {
		if !at.Before(start) && !at.After(end) {
			return true
		}
	}
	return false
}

// connectionsBroken reports whether the harness breaks connections under the node, or did lately.
func (n *node) connectionsBroken() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.brokenUntil)
}
