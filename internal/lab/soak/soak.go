// Package soak plays many processes of the program on loopback while rare events cross: signals, failing system calls, a stepped
// clock, hosts, clients and a discovery that misbehave. A judge holds what clients and hosts saw to the node's promises. docs/soak.md has the
// design.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurwinch/internal/lab/shim"
)

// Options are a run's surroundings.
type Options struct {
	Program string // the spurwinch program
	Dir     string // for configurations, files and logs
	Seed    uint64
	Nodes   int
	Time    time.Duration // that troubles are drawn for
	Rate    float64       // requests a second of the whole fleet; 0: as the number of hosts bears
	// Only names the troubles that may be drawn; none: all.
	Only []string
}

// Report is what a run came to.
type Report struct {
	Seed       uint64         `json:"seed"`
	Nodes      int            `json:"nodes"`
	Judged     bool           `json:"judged"`
	Why        string         `json:"why,omitempty"` // it is not judged
	Violations []Violation    `json:"violations"`
	Troubles   []string       `json:"troubles"`
	Seen       map[string]int `json:"seen"`
}

const (
	// MostNodes bounds the processes of one run; an upgrade has two of a node.
	MostNodes   = 100
	hostCount   = 12
	zoneCount   = 2
	usualLoad   = 0.45                   // of what the hosts bear
	mostLate    = 400 * time.Millisecond // that the laboratory's own clock may be, or nothing is judged
	clockTick   = 20 * time.Millisecond
	calmBefore  = 1500 * time.Millisecond
	calmAfter   = 4500 * time.Millisecond
	startWithin = 30 * time.Second
)

// lab is one run.
type lab struct {
	o Options
	deployment
	judge     *Judge
	library   string
	hosts     []*host
	nodes     []*node
	discovery *discovery
	done      chan struct{}
	ended     atomic.Bool
	wait      sync.WaitGroup
	burst     atomic.Int64 // times the usual rate
	late      atomic.Int64 // ns, the most
	troubles  []string
}

func (l *lab) over() bool { return l.ended.Load() }

// rate is the requests a second now.
func (l *lab) rate() float64 {
	rate := l.o.Rate
	if rate == 0 {
		rate = usualLoad * hostCount * bears / meanLife.Seconds()
	}
	return rate * float64(1+l.burst.Load())
}

// Run plays one seed. All that was started has ended when it returns.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Nodes < 2 || o.Nodes > MostNodes {
		return Report{}, fmt.Errorf("%d nodes: 2 to %d are played", o.Nodes, MostNodes)
	}
	l := &lab{o: o, deployment: drawDeployment(o.Seed), judge: newJudge(), done: make(chan struct{})}
	err := l.build()
	if err == nil {
		l.play(ctx)
	}
	l.close()
	if err != nil {
		return Report{}, err
	}
	l.judge.finish()
	return l.report(), nil
}

func (l *lab) build() (err error) {
	if l.library, err = shim.Build(l.o.Dir); err != nil {
		return err
	}
	for i := range hostCount {
		h, err := newHost(fmt.Sprintf("h%02d", i), zoneOf(i), l.o.Seed*100+uint64(i), l.judge)
		if err != nil {
			return err
		}
		h.silent = l.reports == "off"
		l.hosts = append(l.hosts, h)
	}
	l.discovery = newDiscovery(l.hosts)
	for i := range l.o.Nodes {
		if err := l.addNode(i); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		if err := n.configuration(); err != nil {
			return err
		}
		if err := n.begin(); err != nil {
			return err
		}
	}
	return l.awaitNodes()
}

func zoneOf(i int) string { return fmt.Sprintf("z%d", i%zoneCount) }

func (l *lab) addNode(i int) error {
	n := &node{lab: l, name: fmt.Sprintf("n%02d", i), zone: zoneOf(i), index: i, leaving: map[*host]time.Time{}, starts: map[*host][]time.Time{}}
	n.dir = filepath.Join(l.o.Dir, n.name)
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return err
	}
	for range 2 {
		at, err := l.discovery.open(n)
		if err != nil {
			return err
		}
		n.doors = append(n.doors, at)
	}
	var err error
	if n.addr, err = n.ownAddress(0); err != nil {
		return err
	}
	if n.peer, err = n.ownAddress(1); err != nil {
		return err
	}
	if n.control, err = shim.NewControl(filepath.Join(n.dir, "faults"), l.o.Seed*7919+uint64(i)); err != nil {
		return err
	}
	l.nodes = append(l.nodes, n)
	return nil
}

// ownAddress is a loopback address of the node's own, where no port is given to anybody else, with a port of the kernel's choice. It holds for TCP and UDP.
func (n *node) ownAddress(part int) (string, error) {
	process := os.Getpid()
	at := fmt.Sprintf("127.%d.%d.%d:0", 64+process%128, process/128%256, part*MostNodes+n.index+1)
	c, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.Addr().String(), nil
}

func (l *lab) awaitNodes() error {
	for end := time.Now().Add(startWithin); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range l.nodes {
			n.mu.Lock()
			if n.admitted {
				ready++
			}
			n.mu.Unlock()
		}
		if ready == len(l.nodes) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready after %v (logs: %s)", ready, len(l.nodes), startWithin, l.o.Dir)
		}
	}
}

// play brings clients and troubles, heals everything, and stops all nodes as planned.
func (l *lab) play(ctx context.Context) {
	go l.watchClock()
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		l.arrivals(rand.New(rand.NewPCG(l.o.Seed, 1)))
	}()
	l.troubles = append(l.troubles, fmt.Sprintf("deployment: reports %s, lists pushed %v, peers %v", l.reports, l.pushed, l.peers))
	l.pause(ctx, calmBefore)
	l.trouble(ctx, rand.New(rand.NewPCG(l.o.Seed, 2)))
	l.heal()
	l.pause(ctx, calmAfter)
	var stops sync.WaitGroup
	for _, n := range l.nodes[:len(l.nodes)/2] { // the others go on, for the clients that are sent away
		if n.take() {
			stops.Add(1)
			go func() {
				defer stops.Done()
				n.stop(false)
			}()
		}
	}
	stops.Wait()
}

func (l *lab) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watchClock notes how late the laboratory itself is: what it calls late then may be its own doing.
func (l *lab) watchClock() {
	for last := time.Now(); !l.over(); {
		time.Sleep(clockTick)
		now := time.Now()
		l.late.Store(max(l.late.Load(), int64(now.Sub(last)-clockTick)))
		last = now
	}
}

func (l *lab) close() {
	l.judge.close()
	l.ended.Store(true)
	close(l.done)
	for _, n := range l.nodes {
		n.mu.Lock()
		p := n.process
		n.mu.Unlock()
		if p != nil {
			n.expect(p)
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
		}
	}
	l.wait.Wait()
	for _, h := range l.hosts {
		h.listen.Close()
		h.proxy.listen.Close()
	}
	if l.discovery != nil {
		l.discovery.close()
	}
	l.countFailures()
	for _, n := range l.nodes {
		n.control.Close()
	}
}

// countFailures notes how many system calls failed.
func (l *lab) countFailures() {
	for _, n := range l.nodes {
		for k := range shim.Kinds {
			if failed := n.control.Injected(k); failed > 0 {
				l.judge.seen["failed "+k.String()] += int(failed)
			}
		}
	}
}

func (l *lab) report() Report {
	j := l.judge
	r := Report{Seed: l.o.Seed, Nodes: l.o.Nodes, Judged: true, Violations: j.violations, Troubles: l.troubles, Seen: j.seen}
	if late := time.Duration(l.late.Load()); late > mostLate {
		r.Judged, r.Why = false, fmt.Sprintf("the laboratory's own clock was %v late", late.Round(time.Millisecond))
	}
	if j.seen["answer UP"] == 0 || j.seen["attempts"] == 0 {
		r.Violations = append(r.Violations, Violation{0, Exercise, "no request was served"})
	}
	return r
}
