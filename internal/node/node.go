// Package node puts the program together: the platform's front, the operator's fronts and clusters, the node's part
// in its fleet, and what happens to them on a reload, at a hot restart and at a planned stop. internal/node/command adds
// flags and signals, and nothing else.
package node

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/edge"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/invariant"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/admin"
	"spurwinch/internal/operations/stats"
	"spurwinch/internal/trace"
	"spurwinch/internal/xmpp"
)

// Program is a node on its loop. Its methods belong to the loop's goroutine, or to the time before the loop runs.
type Program struct {
	loop          *loop.Loop
	cores         []*edge.Core
	coreByCluster map[string]*edge.Core // the platform's has no name
	xmpp          *xmpp.Front
	platform      *platform // nil: there is only an operator's file
	fleet         *fleet    // nil: the node is none of a fleet

	reloaders    []reloader
	cancelReload func()   // calls off the next attempt at reading the files; nil: there is none
	onShutdown   []func() // when the planned stop begins
	onClose      []func()
	shutdownTime time.Duration
	restart      hotRestart

	figures   stats.Figures
	monitor   invariant.Monitor
	trace     trace.Recorder
	adminAddr netip.AddrPort

	serversKnown   bool          // the platform's front knows some, or has waited long enough
	firstListWait  time.Duration // for an agent's first list
	hasPredecessor bool          // started beside a running process
	// awaitsPolicy holds the platform's front back from saying that it takes clients before the policy is known.
	awaitsPolicy bool
}

// ErrVoter says that the node is to vote in its fleet and this program can't.
var ErrVoter = errors.New("this node is a voter of its fleet: spurwinch-voter is to be started in its place")

// newProgram is a node without fronts.
func newProgram(l *loop.Loop) *Program {
	program := &Program{
		loop: l, shutdownTime: operatorShutdownTime, firstListWait: maxFirstListWait,
		coreByCluster: map[string]*edge.Core{},
	}
	program.restart = hotRestart{program: program, listeners: map[string]*loop.Listener{}}
	program.monitor.OnViolation = logViolation
	return program
}

// New puts a node together on a loop that is not running yet: the platform's front where GW_CONFIG is set or nothing
// else is, and what the operator's file (if any) sets up beside it.
//
// newVoter makes a voter of the fleet's log; where it is nil and the node is to vote, the error is ErrVoter.
func New(
	l *loop.Loop, getenv func(string) string, operatorFile string, newVoter agent.NewVoter,
) (*Program, error) {
	program := newProgram(l)
	if err := program.assemble(getenv, operatorFile, newVoter); err != nil {
		program.Close() // files that were begun
		if grant := program.restart.grant; grant != nil {
			grant.Release(l.Serves)
		}
		return nil, err
	}
	return program, nil
}

// onServersKnown is called where the platform's front knows servers, or has waited long enough for some.
func (p *Program) onServersKnown() {
	p.serversKnown = true
	p.announceReady()
}

// announceReady has the platform's front say that it takes clients, once it can.
func (p *Program) announceReady() {
	if p.serversKnown && !p.awaitsPolicy && p.platform != nil {
		p.platform.front.Ready()
	}
}

// onReady is called once, when this process begins to take clients.
func (p *Program) onReady() {
	if p.restart.coordinator != nil {
		p.restart.coordinator.Ready()
	}
	p.restart.applyQuota()
}

func (p *Program) listenAdmin(addr string) error {
	answers := admin.Answers{Ready: p.ready, Telemetry: p.telemetry, Reasons: p.reasons}
	var err error
	if _, p.adminAddr, err = admin.Listen(p.loop, addr, answers); err != nil {
		return err
	}
	zap.L().Info("listening", zap.String("protocol", "operators"), zap.Stringer("address", p.adminAddr))
	return nil
}

// ready tells operators whether this process takes clients.
func (p *Program) ready() bool {
	for _, core := range p.cores {
		if core.Draining() {
			return false
		}
	}
	if p.restart.listenersClosed {
		return false
	}
	if p.fleet != nil && !p.hasPredecessor && !p.fleet.servesPolicy() {
		return false
	}
	return p.platform == nil || p.platform.front.Taking()
}

// telemetry writes the figures behind buf.
func (p *Program) telemetry(buf []byte) []byte {
	var gauges edge.Gauges
	for _, core := range p.cores {
		gauges.Add(core.Gauges())
	}
	return p.figures.Append(buf, gauges)
}

// Close finishes what outlives the loop. It is called once the loop has ended.
func (p *Program) Close() {
	for _, closeOne := range p.onClose {
		closeOne()
	}
}

// Run runs the loop until the planned stop is over. A signal on reload has the files read again; the first on stop
// begins the planned stop. Of two that come at once the files go first: how long a stop may take hangs on them.
func (p *Program) Run(reload, stop <-chan os.Signal) error {
	go p.forwardSignals(reload, stop)
	err := p.loop.Run()
	p.Close()
	if err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	return nil
}

// forwardSignals has the loop act on signals, as long as the process lives.
func (p *Program) forwardSignals(reload, stop <-chan os.Signal) {
	for {
		select {
		case <-reload:
			p.loop.Post(p.Reload)
		case <-stop:
			select {
			case <-reload:
				p.loop.Post(p.Reload)
			default:
			}
			p.loop.Post(p.Shutdown)
			stop = nil // a second one has nothing to add
		}
	}
}
