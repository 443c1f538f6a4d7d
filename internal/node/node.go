// Package node puts the program together: the platform's front, the operator's fronts and clusters, and what happens to
// them on a reload and at a planned stop. cmd/spurwinch adds flags and signals, and nothing else.
package node

import (
	"fmt"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/admin"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/stats"
)

const (
	// The platform ends a leaving process by itself, and counts one that ends too early as crashed; elsewhere the
	// program ends once all have left.
	platformExit = 10 * time.Second
	operatorExit = 4 * time.Second
)

// Program is a node on its loop. Its methods belong to the loop's goroutine, or to the time before the loop runs.
type Program struct {
	loop    *loop.Loop
	cores   []*edge.Core
	reloads []func()
	leaves  []func() // when the planned stop begins
	closers []func()
	exit    time.Duration
	figures stats.Figures
	taking  func() bool // the platform's front takes clients
	door    netip.AddrPort
}

// New puts a node together on a loop that is not running yet: the platform's front where GW_CONFIG is set or nothing else
// is, and what the operator's file (if any) sets up beside it.
func New(l *loop.Loop, getenv func(string) string, operator string) (*Program, error) {
	p := &Program{loop: l, exit: operatorExit}
	mgmt := getenv("GW_MGMT")
	seed := uint64(time.Now().UnixNano())
	var o config.Operator
	if operator != "" {
		var err error
		if o, err = config.ReadOperator(operator); err != nil {
			return nil, err
		}
	}
	if getenv("GW_CONFIG") != "" || operator == "" {
		n, err := config.FromEnvironment(getenv)
		if err != nil {
			return nil, err
		}
		if n.MemoryMB > 0 { // the collector works harder well before the node would be killed
			debug.SetMemoryLimit(int64(n.MemoryMB) << 20 * 6 / 10)
		}
		observer, err := p.record(o.Capture, n.Name, n.Settings.Settings, n.Settings.ReportFields)
		if err != nil {
			return nil, err
		}
		front, _, err := serve(l, n, observer, &p.figures)
		if err != nil {
			return nil, err
		}
		p.cores, seed, p.exit = append(p.cores, front.core), n.Seed, platformExit
		mgmt, p.taking = n.Mgmt, front.front.Taking
		p.leaves = append(p.leaves, func() { front.others.report(front.core.Unbelieved()) })
		p.reloads = append(p.reloads, func() { front.reload(config.DiscoveryNow(getenv("GW_CONFIG"))) })
	}
	if len(o.Clusters) > 0 {
		more, op, err := serveOperator(l, operator, o, seed, p)
		if err != nil {
			return nil, err
		}
		p.cores = append(p.cores, more...)
		p.reloads = append(p.reloads, op.reread)
	}
	if mgmt != "" {
		if err := p.openDoor(mgmt); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *Program) openDoor(addr string) (err error) {
	if _, p.door, err = admin.Listen(p.loop, addr, p.ready, p.telemetry); err == nil {
		zap.L().Info("listening", zap.String("protocol", "operators"), zap.Stringer("address", p.door))
	}
	return err
}

// ready tells operators whether this process takes clients.
func (p *Program) ready() bool {
	for _, core := range p.cores {
		if core.Draining() {
			return false
		}
	}
	return p.taking == nil || p.taking()
}

// telemetry writes the figures behind buf.
func (p *Program) telemetry(buf []byte) []byte {
	var g stats.Gauges
	for _, core := range p.cores {
		g.Add(core.Gauges())
	}
	return p.figures.Append(buf, g)
}

// Reload reads the files again.
func (p *Program) Reload() {
	for _, fn := range p.reloads {
		fn()
	}
}

// Leave begins the planned stop, which ends the loop.
func (p *Program) Leave() {
	for _, fn := range p.leaves {
		fn()
	}
	for _, core := range p.cores {
		zap.L().Info("leaving", zap.Stringer("core", core))
		core.Drain(func() { zap.L().Info("left", zap.Stringer("core", core)) })
	}
	p.loop.At(p.loop.Now().Add(p.exit), p.loop.Stop)
}

// Close finishes what outlives the loop. It is called once the loop has ended.
func (p *Program) Close() {
	for _, fn := range p.closers {
		fn()
	}
}

// Run runs the loop until the planned stop is over. A signal on reload has the files read again; the first on stop begins
// the planned stop.
func (p *Program) Run(reload, stop <-chan os.Signal) error {
	go func() {
		for range reload {
			p.loop.Post(p.Reload)
		}
	}()
	go func() {
		<-stop
		p.loop.Post(p.Leave)
	}()
	err := p.loop.Run()
	p.Close()
	if err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	return nil
}
