package node

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/edge"
)

const (
	// How long the loop continues to run after SIGTERM. The platform kills a process that shuts down, and treats a
	// process that exits earlier as crashed. On the platform the program therefore waits longer than the platform does.
	// Elsewhere it exits soon after its cores have drained, which takes 3.2 s.
	platformShutdownTime = 10 * time.Second
	operatorShutdownTime = 4 * time.Second
)

// Shutdown begins the planned shutdown, which ends the loop.
func (p *Program) Shutdown() {
	for _, begin := range p.onShutdown {
		begin()
	}
	toSuccessor := p.restart.shutdown()
	for _, core := range p.cores {
		p.drain(core, toSuccessor)
	}
	if toSuccessor { // the platform has the successor, so this process may end once its clients have their last bytes
		p.shutdownTime = operatorShutdownTime
		p.restart.transferAll()
	}
	p.loop.At(p.loop.Now().Add(p.shutdownTime), p.loop.Stop)
}

// drain drains a core, and transfers its connections to the successor if there is one.
func (p *Program) drain(core *edge.Core, toSuccessor bool) {
	zap.L().Info("shutdown_started", zap.Stringer("core", core), zap.Bool("handed_over", toSuccessor))
	drained := func() {
		p.loop.CloseIdle() // the end of the process would otherwise cut off clients that have sent no request
		zap.L().Info("shutdown_complete", zap.Stringer("core", core),
			zap.Int("attempts_spared", core.AttemptsNeverSent()))
		p.telemetry.logReasons()
	}
	if !toSuccessor {
		core.Drain(drained)
		return
	}
	core.DrainToSuccessor(func() {
		drained()
		p.restart.logTransfer()
	})
}
