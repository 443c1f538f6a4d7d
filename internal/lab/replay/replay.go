// Package replay replays a load in real time on loopback, with real node processes between simulated clients and a fake
// fleet. It measures the results that the planner forecasts.
package replay

import (
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"spurwinch/internal/lab/fakeserver"
	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	startDelay  = 300 * time.Millisecond // from the start of the nodes to the beginning of the load
	worstWindow = 10 * time.Second       // length of the windows of Result.WorstWindow
	lagQuantile = 0.99
)

// Options configure a replay.
type Options struct {
	Program      string // path of the spurwinch program
	Dir          string // directory for configurations, logs and captures
	Seed         uint64
	Capture      bool   // nodes capture their load in Dir
	LostZone     string // zone that is lost at LossTime; empty: none
	LossTime     time.Duration
	AllWarmingUp bool // all servers start together with the load, in slow start
}

// Result holds the measurements of a replay. TimerLag is the 99th percentile of how late the clients' timers fired. If
// it is large, the machine was too busy, and the result reflects the machine instead of the program.
type Result struct {
	Account     *workload.Account
	Service     float64   // fraction of the demand that was served well, weighted by priority
	WorstWindow float64   // lowest service of any window of length worstWindow
	Classes     []float64 // service by class
	Tenants     []float64 // service by tenant
	Stats       Stats
	TimerLag    time.Duration
	Captures    []string // paths of the capture files
}

// Stats counts events that the clients and the servers have seen.
type Stats struct {
	Requests    int
	Established int
	Rejected    int
	Failed      int
	Migrations  int
	Resets      int
	Sheds       int
	Overloaded  int // servers that failed in slow start
}

// player is the state of one replay.
type player struct {
	options    Options
	fleet      *fleet.Fleet
	load       *workload.Load
	servers    *fakeserver.Fleet
	priorities []float64 // of one second of each session
	begin      time.Time // of the load
	nodes      []*node

	mu      sync.Mutex // guards the fields below
	account *workload.Account
	stats   Stats
	lags    []time.Duration
	rng     *rand.Rand
}

// Play replays a load through node processes that it starts in front of a fake fleet.
func Play(
	ctx context.Context, description *fleet.Fleet, load *workload.Load, options Options,
) (result Result, err error) {
	servers, err := fakeserver.New(description, options.Seed, options.AllWarmingUp)
	if err != nil {
		return result, err
	}
	defer servers.Close()
	replay := &player{
		options:    options,
		fleet:      description,
		load:       load,
		servers:    servers,
		priorities: workload.Priorities(description, load),
		account:    workload.NewAccount(description, load.Length),
		rng:        rand.New(rand.NewPCG(options.Seed, 3)),
	}
	replay.account.AddDemand(load, replay.priorities)
	defer func() {
		if stopErr := replay.stopNodes(); err == nil {
			err = stopErr
		}
		if options.Capture {
			// The pattern has no syntax error, and Glob ignores all others.
			result.Captures, _ = filepath.Glob(filepath.Join(options.Dir, capturePrefix+"-*.spwcap"))
		}
	}()
	if err := replay.startNodes(); err != nil {
		return result, err
	}
	if err := replay.run(ctx); err != nil {
		return result, err
	}
	return replay.result(), nil
}

func (p *player) result() Result {
	result := Result{Account: p.account, Stats: p.stats, TimerLag: percentile(p.lags, lagQuantile)}
	servers := p.servers.Stats()
	result.Stats.Sheds = servers.Sheds
	result.Stats.Overloaded = servers.Overloaded
	result.Service, result.Classes, result.Tenants = p.account.Service()
	result.Tenants = result.Tenants[:len(p.fleet.Tenants)]
	result.WorstWindow, _ = p.account.WorstWindow(worstWindow)
	return result
}

// run plays all sessions until the end of the load.
func (p *player) run(ctx context.Context) error {
	p.begin = time.Now().Add(startDelay)
	ctx, cancel := context.WithDeadline(ctx, p.begin.Add(p.load.Length))
	defer cancel()
	if zone := p.fleet.ZoneIndex(p.options.LostZone); zone >= 0 {
		timer := time.AfterFunc(time.Until(p.begin.Add(p.options.LossTime)), func() { p.loseZone(zone) })
		defer timer.Stop()
	}
	var sessions sync.WaitGroup
	for i := range p.load.Sessions {
		session := &p.load.Sessions[i]
		if !sleepUntil(ctx, p.begin.Add(session.Arrival)) {
			break
		}
		sessions.Add(1)
		go func() {
			defer sessions.Done()
			p.newClient(session, p.priorities[i]).run(ctx)
		}()
	}
	<-ctx.Done()
	sessions.Wait()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	return ctx.Err()
}

// loseZone kills the nodes and the servers of a zone.
func (p *player) loseZone(zone int) {
	for _, node := range p.nodes {
		if node.zone == zone {
			node.kill()
		}
	}
	for _, server := range p.servers.Servers {
		if server.Zone == zone {
			server.Kill()
		}
	}
}

// updateStats calls update on the counters under the lock.
func (p *player) updateStats(update func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}

// sleepUntil waits until the given time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
