package node

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
)

const (
	reloadRetryInterval = 100 * time.Millisecond // while files can't be read for a moment
	reloadRetryTime     = 30 * time.Second       // then the old configuration stays, until the next signal
)

// reloader reads and checks a part's files again. The function that it returns applies them.
type reloader = func() (apply func(), err error)

// Reload reads the files again. They are applied all together; with a fault in one of them nothing is applied.
func (p *Program) Reload() {
	if p.cancelReload != nil {
		p.cancelReload()
		p.cancelReload = nil
	}
	p.reloadUntil(p.loop.Now().Add(reloadRetryTime))
}

// reloadUntil retries until a deadline where files can't be read for a moment: no further signal would come for them.
func (p *Program) reloadUntil(deadline time.Time) {
	apply, err := p.readFiles()
	next := p.loop.Now().Add(reloadRetryInterval)
	switch {
	case err == nil:
		for _, applyPart := range apply {
			applyPart()
		}
		p.telemetry.figures.ReloadsOK++
	case loop.IsTransient(err) && next.Before(deadline):
		zap.L().Warn("reload_retried", zap.Error(err))
		p.cancelReload = p.loop.At(next, func() {
			p.cancelReload = nil
			p.reloadUntil(deadline)
		})
	default:
		p.telemetry.figures.ReloadsFailed++
		zap.L().Error("reload_rejected", zap.Error(err))
	}
}

// readFiles reads and checks all files. The functions that it returns apply them.
func (p *Program) readFiles() (apply []func(), err error) {
	for _, read := range p.reloaders {
		applyPart, err := read()
		if err != nil {
			return nil, err
		}
		apply = append(apply, applyPart)
	}
	return apply, nil
}

// platformReloader is the reloader of the platform's front.
func (p *Program) platformReloader(platform *platform, path string) reloader {
	return func() (apply func(), err error) {
		next, err := config.ReloadNode(path, platform.config)
		if err == nil && p.fleet != nil {
			if conflict := p.fleet.checkPolicyConflict(next.Settings); conflict != nil {
				err = fmt.Errorf("%s: %w", path, conflict)
			}
		}
		return func() {
			platform.reload(next)
			p.restart.setLimits(next)
			if p.fleet != nil {
				p.fleet.updateClasses()
			}
		}, err
	}
}
