// Package soak plays many processes of the program on loopback while rare events coincide: signals, failing system
// calls, a stepped clock, and servers, clients and a discovery service that misbehave. A checker holds what clients and
// servers saw to the promises of a node (docs/promises.md). docs/soak.md has the design.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurwinch/internal/lab/shim"
)

// Options say what a run plays.
type Options struct {
	Program   string // the spurwinch program
	Dir       string // for configurations, files and logs
	Seed      uint64
	Nodes     int           // 2 to MaxNodes
	FaultTime time.Duration // over which faults are drawn
	Rate      float64       // requests a second to the whole fleet; 0: by the capacity of the servers
	Only      []string      // kinds of faults that may be drawn; none: all
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Nodes      int            `json:"nodes"`
	Judged     bool           `json:"judged"`
	Why        string         `json:"why,omitempty"` // it is not judged
	Violations []Violation    `json:"violations"`
	Faults     []string       `json:"troubles"` // the faults that were injected, with their times
	Seen       map[string]int `json:"seen"`     // what happened, and how often
}

const (
	// MaxNodes bounds the processes of one run; an upgrade has two of a node.
	MaxNodes = 100

	serverCount        = 12
	zoneCount          = 2
	defaultUtilization = 0.45                   // of the servers
	maxHarnessDelay    = 400 * time.Millisecond // by which the harness itself may be late, or nothing is judged
	clockTick          = 20 * time.Millisecond
	pollInterval       = 20 * time.Millisecond
	timeBeforeFaults   = 1500 * time.Millisecond
	timeAfterFaults    = 4500 * time.Millisecond
	startTimeout       = 30 * time.Second // of all nodes
)

// Streams of the random generators of one seed.
const (
	arrivalStream = 1
	faultStream   = 2
	clientStream  = 3
	proxyStream   = 21
	serverStream  = 22
)

// ErrNodeCount is wrapped by the error of Run for a number of nodes that can't be played.
var ErrNodeCount = errors.New("number of nodes out of range")

// harness is one run. It owns the nodes, the servers and the discovery service.
type harness struct {
	options    Options
	deployment deployment
	checker    *Checker
	library    string // of the shim
	servers    []*server
	nodes      []*node
	discovery  *discovery
	faults     []string // injected so far; of the run's own goroutine

	done       chan struct{} // closed at the end
	ended      atomic.Bool
	background sync.WaitGroup
	extraLoad  atomic.Int64 // added to the usual rate, a multiple of it
	worstDelay atomic.Int64 // of the harness, ns
}

// over reports whether the run has ended.
func (h *harness) over() bool { return h.ended.Load() }

// rate is the number of requests a second at this time.
func (h *harness) rate() float64 {
	rate := h.options.Rate
	if rate == 0 {
		rate = defaultUtilization * serverCount * serverCapacity / meanConnection.Seconds()
	}
	return rate * float64(1+h.extraLoad.Load())
}

// Run plays one seed. All that was started has ended when it returns.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Nodes < 2 || options.Nodes > MaxNodes {
		return Report{}, fmt.Errorf("%w: %d; 2 to %d are played", ErrNodeCount, options.Nodes, MaxNodes)
	}
	run := &harness{
		options:    options,
		deployment: drawDeployment(options.Seed),
		checker:    newChecker(),
		done:       make(chan struct{}),
	}
	err := run.build()
	if err == nil {
		run.play(ctx)
	}
	run.close()
	if err != nil {
		return Report{}, err
	}
	run.checker.finish()
	return run.report(), nil
}

// build starts the servers, the discovery service and the nodes, and waits until all nodes are ready.
func (h *harness) build() error {
	library, err := shim.Build(h.options.Dir)
	if err != nil {
		return err
	}
	h.library = library
	for i := range serverCount {
		started, err := newServer(fmt.Sprintf("h%02d", i), zoneOf(i), h.options.Seed*100+uint64(i), h.checker)
		if err != nil {
			return err
		}
		started.reportsLoad = h.deployment.reports != "off"
		h.servers = append(h.servers, started)
	}
	h.discovery = newDiscovery(h.servers)
	for i := range h.options.Nodes {
		if err := h.addNode(i); err != nil {
			return err
		}
	}
	for _, n := range h.nodes {
		if err := n.writeConfiguration(); err != nil {
			return err
		}
		if err := n.begin(); err != nil {
			return err
		}
	}
	return h.awaitNodes()
}

// zoneOf is the zone of a node or server with an index.
func zoneOf(index int) string { return fmt.Sprintf("z%d", index%zoneCount) }

// addNode makes a node with its addresses and its directory.
func (h *harness) addNode(index int) error {
	added := newNode(h, index)
	if err := os.MkdirAll(added.dir, 0o700); err != nil {
		return err
	}
	for range discoveryAddresses {
		address, err := h.discovery.open(added)
		if err != nil {
			return err
		}
		added.discoveryAddrs = append(added.discoveryAddrs, address)
	}
	var err error
	if added.addr, err = added.reserveAddress(clientAddress); err != nil {
		return err
	}
	if added.peer, err = added.reserveAddress(peerAddress); err != nil {
		return err
	}
	seed := h.options.Seed*7919 + uint64(index)
	if added.control, err = shim.NewControl(filepath.Join(added.dir, "faults"), seed); err != nil {
		return err
	}
	h.nodes = append(h.nodes, added)
	return nil
}

// awaitNodes waits until all nodes take clients.
func (h *harness) awaitNodes() error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		ready := len(h.admittedNodes())
		if ready == len(h.nodes) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d of %d after %v (logs: %s)",
				errNodesNotReady, ready, len(h.nodes), startTimeout, h.options.Dir)
		}
	}
}

// admittedNodes are the nodes that the front sends clients to.
func (h *harness) admittedNodes() []*node {
	var admitted []*node
	for _, n := range h.nodes {
		if n.isAdmitted() {
			admitted = append(admitted, n)
		}
	}
	return admitted
}

// play brings clients and faults, ends all faults, and stops half of the nodes as planned; the other half serves the
// clients that are migrated.
func (h *harness) play(ctx context.Context) {
	go h.watchClock()
	h.inBackground(func() { h.runArrivals(rand.New(rand.NewPCG(h.options.Seed, arrivalStream))) })
	h.faults = append(h.faults, fmt.Sprintf("deployment: reports %s, lists pushed %v, peers %v",
		h.deployment.reports, h.deployment.pushed, h.deployment.peers))
	h.pause(ctx, timeBeforeFaults)
	h.injectFaults(ctx, rand.New(rand.NewPCG(h.options.Seed, faultStream)))
	h.endFaults()
	h.pause(ctx, timeAfterFaults)
	var stops sync.WaitGroup
	for _, n := range h.nodes[:len(h.nodes)/2] {
		if n.claim() {
			stops.Go(func() { n.stop(false) })
		}
	}
	stops.Wait()
}

// inBackground runs a function in a goroutine that the run waits for.
func (h *harness) inBackground(run func()) { h.background.Go(run) }

// pause waits for a time, or until the context ends.
func (h *harness) pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// watchClock measures how late the harness itself is: a delay that it sees then may be its own.
func (h *harness) watchClock() {
	for last := time.Now(); !h.over(); {
		time.Sleep(clockTick)
		now := time.Now()
		h.worstDelay.Store(max(h.worstDelay.Load(), int64(now.Sub(last)-clockTick)))
		last = now
	}
}

// close ends all that the run has started.
func (h *harness) close() {
	h.checker.close()
	h.ended.Store(true)
	close(h.done)
	for _, n := range h.nodes {
		if p := n.currentProcess(); p != nil {
			n.expectEnd(p)
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	h.background.Wait()
	for _, s := range h.servers {
		closeQuietly(s.listener)
		closeQuietly(s.proxy.listener)
	}
	if h.discovery != nil {
		h.discovery.close()
	}
	h.countFailedCalls()
	for _, n := range h.nodes {
		_ = n.control.Close() // unmaps memory that nobody needs any more
	}
}

// countFailedCalls counts the system calls that the shim had fail.
func (h *harness) countFailedCalls() {
	for _, n := range h.nodes {
		for kind := range shim.KindCount {
			if failed := n.control.Injected(kind); failed > 0 {
				h.checker.seen["failed "+kind.String()] += int(failed)
			}
		}
	}
}

// report is the outcome of the run.
func (h *harness) report() Report {
	report := Report{
		Seed:       h.options.Seed,
		Nodes:      h.options.Nodes,
		Judged:     true,
		Violations: h.checker.violations,
		Faults:     h.faults,
		Seen:       h.checker.seen,
	}
	if delay := time.Duration(h.worstDelay.Load()); delay > maxHarnessDelay {
		report.Judged = false
		report.Why = fmt.Sprintf("the laboratory's own clock was %v late", delay.Round(time.Millisecond))
	}
	if report.Seen["answer UP"] == 0 || report.Seen["attempts"] == 0 {
		report.Violations = append(report.Violations, Violation{0, Exercise, "no request was served"})
	}
	return report
}
