// Package node assembles the program of a node: the platform's front, the operator's fronts and clusters, and the
// node's membership in its fleet. It also implements reloads, hot restarts and the planned shutdown. Package
// internal/node/command adds only flags and signals.
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

// Program is a node on its loop. Its methods must be called on the loop's goroutine, or before the loop runs. Only
// forwardSignals has its own goroutine.
type Program struct {
	loop          *loop.Loop
	cores         []*edge.Core          // the platform's core, then those of the operator's file in its order
	coreByCluster map[string]*edge.Core // by cluster name; platformCluster for the platform's core
	platform      *platform             // nil: the node has only an operator's file
	xmpp          *xmpp.Front           // nil: there is no operator's file with clusters
	operator      *operatorFronts       // nil: as above
	fleet         *fleet                // nil: the node belongs to no fleet
	adminAddr     netip.AddrPort

	reloaders    []reloader
	cancelReload func()        // cancels the next attempt to read the files; nil: none is scheduled
	onShutdown   []func()      // called when the planned shutdown begins
	onClose      []func()      // called when the loop has ended or the start has failed
	shutdownTime time.Duration // maximum time from the start of the planned shutdown to the end of the loop

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

// New sets up a node on a loop that must not run yet. It sets up the platform's front if GW_CONFIG is set or there is
// no operator's file, and also the fronts and clusters of the operator's file, if there is one. If New fails, it gives
// everything that a running process granted back to that process.
//
// newVoter creates a voter of the fleet's log. If it is nil and the node is a voter, the error is ErrVoter.
func New(
	eventLoop *loop.Loop, getenv func(string) string, operatorFile string, newVoter agent.NewVoter,
) (*Program, error) {
	program := newProgram(eventLoop)
	if err := program.assemble(getenv, operatorFile, newVoter); err != nil {
		program.Close() // closes the files that are already open
		if grant := program.restart.grant; grant != nil {
			grant.Release(eventLoop.Serves)
		}
		return nil, err
	}
	return program, nil
}

// listenAdmin starts the admin server.
func (p *Program) listenAdmin(addr string) error {
	answers := admin.Answers{Ready: p.ready, Telemetry: p.appendTelemetry, Reasons: p.telemetry.appendReasons}
	_, bound, err := admin.Listen(p.loop, addr, answers)
	if err != nil {
		return err
	}
	p.adminAddr = bound
	logListening("operators", bound)
	return nil
}

// Close closes the parts that the end of the loop leaves open. It must be called after the loop has ended or after the
// start has failed.
func (p *Program) Close() {
	for _, closePart := range p.onClose {
		closePart()
	}
}

// Run runs the loop until the planned shutdown is complete. A signal on reload reloads the files; the first signal on
// stop begins the planned shutdown. If both signals are pending, Run reloads the files first, because they determine
// how long the shutdown may take.
func (p *Program) Run(reload, stop <-chan os.Signal) error {
	go p.forwardSignals(reload, stop)
	err := p.loop.Run()
	p.Close()
	if err != nil {
		return fmt.Errorf("loop: %w", err)
	}
	return nil
}

// forwardSignals forwards signals to the loop as long as the process runs. It runs in its own goroutine and accesses
// the program only through Post.
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
			stop = nil // further stop signals have no effect
		}
	}
}
