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
	configurationTime = 4 * time.Second // until a node uses a reloaded configuration
	brokenGrace       = 3 * time.Second // how long broken connections excuse the node afterwards
	nodeMemory        = 192             // MB
	nodeDescriptors   = 1024
)

// Kinds of a node's addresses. reserveAddress takes the loopback IPs of each kind from a range of its own.
const (
	clientAddress = 0
	peerAddress   = 1
)

var errNodesNotReady = errors.New("not all nodes are ready")

// node is a node of the fleet with its current process.
type node struct {
	harness        *harness
	name           string
	zone           string
	index          int
	dir            string
	addr           string   // for clients
	peer           string   // for gossip
	discoveryAddrs []string // the configuration names one of them
	control        *shim.Control

	mu            sync.Mutex
	process       *process
	incarnation   int  // number of starts so far; an upgrade does not count
	admitted      bool // the front end sends clients to the node
	claimed       bool // a fault of this node's process is in progress
	discoveryAddr int  // index of the address that the configuration names
	startedAt     time.Time
	reloadedAt    time.Time
	killedAt      []time.Time
	brokenUntil   time.Time               // until when broken connections excuse the node
	draining      map[*server]time.Time   // when the process was notified that the server drains
	starts        map[*server][]time.Time // the servers' start times that the process was notified of
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

// reserveAddress returns an address on a loopback IP of the node's own, with a port that the kernel chooses. No other
// process gets a port on that IP, so the port is free for TCP and UDP.
func (n *node) reserveAddress(kind int) (string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid%128), byte(pid/128%256), byte(kind*MaxNodes+n.index+1))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	defer closeQuietly(listener)
	return listener.Addr().String(), nil
}

// configurationPath returns the path of the node's configuration file.
func (n *node) configurationPath() string { return filepath.Join(n.dir, "config.json") }

// writeConfiguration replaces the node's configuration file. The caller holds n.mu, unless no process runs yet.
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
		"peers_all":   n.peer,
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

// isAdmitted reports whether the front end sends clients to the node.
func (n *node) isAdmitted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.admitted
}

// currentProcess returns the node's process, or nil if none was started.
func (n *node) currentProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// currentIncarnation returns the number of the node's starts so far. An upgrade does not count as a start.
func (n *node) currentIncarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// claim claims the node for a fault of its process. It returns false if another such fault is in progress, or if the
// node is not admitted.
func (n *node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed || !n.admitted {
		return false
	}
	n.claimed = true
	return true
}

// release ends the claim.
func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed = false
}

// failCalls makes a fraction of the system calls of a kind fail. Broken connections are rarer than other failures, and
// they excuse the node when it ends connections.
func (n *node) failCalls(kind shim.Kind, rate float64, until time.Time) {
	if kind == shim.Break {
		rate /= breakRateFactor
		n.mu.Lock()
		n.brokenUntil = until.Add(brokenGrace)
		n.mu.Unlock()
	}
	n.control.Fail(kind, rate)
}

// recordNotified records the server states that discovery sends to the node.
func (n *node) recordNotified(states []serverState) {
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

// drainingKnownSince returns since when the node knows, or has to know, that a server drains. It returns zero if the
// node need not know.
func (n *node) drainingKnownSince(s *server) time.Time {
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
	if !n.harness.deployment.pushed { // a list pushed to the agent counts as known at once
		due = due.Add(drainNoticeTime)
	}
	if known.IsZero() || due.Before(known) {
		return due
	}
	return known
}

// latest returns the latest of the given times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// wasNotifiedOfStart reports whether the given incarnation is the node's current one and was notified of a server's
// start.
func (n *node) wasNotifiedOfStart(s *server, started time.Time, incarnation int) bool {
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

// connectionsBroken reports whether the harness breaks connections of the node, or did so within brokenGrace.
func (n *node) connectionsBroken() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.brokenUntil)
}
