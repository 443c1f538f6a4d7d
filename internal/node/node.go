// Package node composes the program of a node: the platform's front, the operator's fronts and clusters, the node's
// part in its fleet, and what happens to them on a reload, at a hot restart and at a planned stop.
// internal/node/command adds flags and signals, and nothing else.
package node

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"spurwinch/internal/edge"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/admin"
	"spurwinch/internal/xmpp"
)

// Program is a node on its loop. Its methods belong to the loop's goroutine, or to the time before the loop runs;
// forwardSignals alone has a goroutine of its own.
type Program struct {
	loop          *loop.Loop
	cores         []*edge.Core          // the platform's, then those of the operator's file in its order
	coreByCluster map[string]*edge.Core // the platform's by platformCluster
	platform      *platform             // nil: there is only an operator's file
	xmpp          *xmpp.Front           // nil: no operator's file has clusters
	fleet         *fleet                // nil: the node belongs to no fleet
	adminAddr     netip.AddrPort

	reloaders    []reloader
	cancelReload func()        // cancels the next attempt at reading the files; nil: there is none
	onShutdown   []func()      // when the planned stop begins
	onClose      []func()      // when the loop has ended, or the start has failed
	shutdownTime time.Duration // from the start of the planned stop to the end of the loop, at the most

	restart   hotRestart
	readiness readiness
	telemetry telemetry
}

// newProgram creates a node without fronts.
func newProgram(eventLoop *loop.Loop) *Program {
	program := &Program{
		loop:          eventLoop,
		coreByCluster: map[string]*edge.Core{},
		shutdownTime:  operatorShutdownTime,
		readiness:     readiness{firstListWait: maxFirstListWait},
	}
	program.restart = hotRestart{program: program, listeners: map[string]*loop.Listener{}}
	program.telemetry.monitor.OnViolation = logViolation
	return program
}

// New sets a node up on a loop that is not running yet: the platform's front where GW_CONFIG is set or there is no
// operator's file, and what the operator's file (if any) sets up beside it. If it fails, all that a running process
// granted is given back.
//
// newVoter makes a voter of the fleet's log; where it is nil and the node is a voter, the error is ErrVoter.
func New(
	eventLoop *loop.Loop, getenv func(string) string, operatorFile string, newVoter agent.NewVoter,
) (*Program, error) {
	program := newProgram(eventLoop)
	if err := program.assemble(getenv, operatorFile, newVoter); err != nil {
		program.Close() // the files that are open
		if grant := program.restart.grant; grant != nil {
			grant.Release(eventLoop.Serves)
		}
		return nil, err
	}
	return program, nil
}

// listenAdmin starts the admin server.
func (p *Program) listenAdmin(addr string) error {
	answers := admin.Answers{Ready: p.ready, Telemetry: p.appendFigures, Reasons: p.telemetry.appendReasons}
	_, bound, err := admin.Listen(p.loop, addr, answers)
	if err != nil {
		return err
	}
	p.adminAddr = bound
	logListening("operators", bound)
	return nil
}

// Close closes what outlives the loop. It is called once the loop has ended.
func (p *Program) Close() {
	for _, closePart := range p.onClose {
		closePart()
	}
}

// Run runs the loop until the planned stop is complete. A signal on reload reloads the files; the first on stop begins
// the planned stop. Of two that come at once the reload goes first: how long a stop may take depends on the files.
func (p *Program) Run(reload, stop <-chan os.Signal) error {
	go p.forwardSignals(reload, stop)
	err := p.loop.Run()
	p.Close()
	if err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	return nil
}

// forwardSignals passes signals on to the loop, as long as the process runs. It is the body of a goroutine, and touches
// the program by Post alone.
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
