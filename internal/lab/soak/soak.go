// Package soak runs many processes of the program on loopback and makes rare events coincide: signals, failing system
// calls, clock steps, and servers, clients and a discovery service that misbehave. A checker compares what
// clients and servers saw with the promises of a node (docs/promises.md). docs/soak.md describes the design.
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

// Options configure a run.
type Options struct {
	Program   string // the spurwinch program
	Dir       string // for configurations, files and logs
	Seed      uint64
	Nodes     int           // 2 to MaxNodes
	FaultTime time.Duration // how long the run injects faults
	Rate      float64       // requests per second to the whole fleet; 0: derived from the servers' capacity
	Only      []string      // kinds of faults that the run may inject; empty: all
}

// Report is the result of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Nodes      int            `json:"nodes"`
	Judged     bool           `json:"judged"`
	Why        string         `json:"why,omitempty"` // why the run is not judged
	Violations []Violation    `json:"violations"`
	Faults     []string       `json:"troubles"` // the deployment, and the injected faults with their times
	Seen       map[string]int `json:"seen"`     // how often each event happened
}

const (
	// MaxNodes is the maximum number of nodes in one run. It bounds the number of processes, because a node has two
	// during an upgrade.
	MaxNodes = 100

	serverCount        = 12
	zoneCount          = 2
	defaultUtilization = 0.45                   // of the servers' capacity
	maxHarnessDelay    = 400 * time.Millisecond // if the harness itself is later than this, the run is not judged
	clockTick          = 20 * time.Millisecond
	pollInterval       = 20 * time.Millisecond
	timeBeforeFaults   = 1500 * time.Millisecond
	timeAfterFaults    = 4500 * time.Millisecond
	startTimeout       = 30 * time.Second // until all nodes are ready
)

// Stream numbers that keep the random generators of one seed independent.
const (
	arrivalStream = 1
	faultStream   = 2
	clientStream  = 3
	proxyStream   = 21
	serverStream  = 22
)

// ErrNodeCount is wrapped by the error that Run returns for a number of nodes that is out of range.
var ErrNodeCount = errors.New("number of nodes out of range")

// harness is one run. It owns the nodes, the servers and the discovery service.
type harness struct {
	options    Options
	deployment deployment
	checker    *Checker
	library    string // path of the shim library
	servers    []*server
	nodes      []*node
	discovery  *discovery
	faults     []string // for the report; only the goroutine of Run uses it

	done       chan struct{} // closed when the run ends
	ended      atomic.Bool
	background sync.WaitGroup
	extraLoad  atomic.Int64 // extra load as a multiple of the usual rate
	worstDelay atomic.Int64 // longest delay of the harness itself, ns
}

// over reports whether the run has ended.
func (h *harness) over() bool { return h.ended.Load() }

// rate returns the current number of requests per second.
func (h *harness) rate() float64 {
	rate := h.options.Rate
	if rate == 0 {
		rate = defaultUtilization * serverCount * serverCapacity / meanConnectionTime.Seconds()
	}
	return rate * float64(1+h.extraLoad.Load())
}

// Run runs the nodes, clients and faults of one seed. When it returns, everything that it started has ended.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Nodes < 2 || options.Nodes > MaxNodes {
		return Report{}, fmt.Errorf("%w: got %d, must be between 2 and %d", ErrNodeCount, options.Nodes, MaxNodes)
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
		if err := n.startCurrentProcess(); err != nil {
			return err
		}
	}
	return h.awaitNodes()
}

// zoneOf returns the zone of the node or server with an index.
func zoneOf(index int) string { return fmt.Sprintf("z%d", index%zoneCount) }

// addNode creates a node with its directory, its addresses and its control of the shim.
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

// awaitNodes waits until all nodes are ready for clients.
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

// admittedNodes returns the nodes that the front end sends clients to.
func (h *harness) admittedNodes() []*node {
	var admitted []*node
	for _, n := range h.nodes {
		if n.isAdmitted() {
			admitted = append(admitted, n)
		}
	}
	return admitted
}

// play starts the clients, injects faults, ends all faults, and then performs a planned stop of half of the nodes. The
// other half serves the clients that migrate.
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

// inBackground runs a function in a goroutine. The run waits for the goroutine before it ends.
func (h *harness) inBackground(run func()) { h.background.Go(run) }

// pause waits for the given time, or until the context ends.
func (h *harness) pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// watchClock measures how late the harness itself is. While it is late, a delay that it sees may be its own.
func (h *harness) watchClock() {
	for last := time.Now(); !h.over(); {
		time.Sleep(clockTick)
		now := time.Now()
		h.worstDelay.Store(max(h.worstDelay.Load(), int64(now.Sub(last)-clockTick)))
		last = now
	}
}

// close ends the run and releases everything that the run started.
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
		_ = n.control.Close() // unmaps memory that is no longer used
	}
}

// countFailedCalls counts the system calls that the shim made fail.
func (h *harness) countFailedCalls() {
	for _, n := range h.nodes {
		for kind := range shim.KindCount {
			if failed := n.control.Injected(kind); failed > 0 {
				h.checker.seen["failed "+kind.String()] += int(failed)
			}
		}
	}
}

// report returns the result of the run.
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
		report.Why = fmt.Sprintf("the harness itself was %v late", delay.Round(time.Millisecond))
	}
	if report.Seen["answer UP"] == 0 || report.Seen["attempts"] == 0 {
		report.Violations = append(report.Violations, Violation{0, RunExercised, "no request was served"})
	}
	return report
}
