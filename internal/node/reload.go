package node

import (
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

const (
	reloadRetryInterval = 100 * time.Millisecond // between two tries at files that could not be read for a moment
	reloadRetryTime     = 30 * time.Second       // then the old configuration stays, until the next signal
)

// Reload reads the files again. They take effect all together, or one fault has everything stay as it was.
func (p *Program) Reload() {
	if p.cancelReload != nil {
		p.cancelReload()
		p.cancelReload = nil
	}
	p.reloadUntil(p.loop.Now().Add(reloadRetryTime))
}

// reloadUntil tries again, up to a time, where files can't be read for a moment: no further signal would come for them.
func (p *Program) reloadUntil(end time.Time) {
	takes, err := p.readFiles()
	next := p.loop.Now().Add(reloadRetryInterval)
	switch {
	case err == nil:
		for _, take := range takes {
			take()
		}
		p.figures.ReloadsOK++
	case loop.IsTransient(err) && next.Before(end):
		zap.L().Warn("reload_retried", zap.Error(err))
		p.cancelReload = p.loop.At(next, func() {
			p.cancelReload = nil
			p.reloadUntil(end)
		})
	default:
		p.figures.ReloadsFailed++
		zap.L().Error("reload_rejected", zap.Error(err))
	}
}

// readFiles reads and checks all files; what it returns has them take effect.
func (p *Program) readFiles() (takes []func(), err error) {
	for _, read := range p.reloaders {
		take, err := read()
		if err != nil {
			return nil, err
		}
		takes = append(takes, take)
	}
	return takes, nil
}
