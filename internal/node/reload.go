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

// reloader reads and checks a part's files again; what it returns has them take effect.
type reloader = func() (apply func(), err error)

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
	apply, err := p.readFiles()
	next := p.loop.Now().Add(reloadRetryInterval)
	switch {
	case err == nil:
		for _, applyPart := range apply {
			applyPart()
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

// platformReloader is the platform's front's part of a reload.
func (p *Program) platformReloader(front *platform, path string) reloader {
	return func() (apply func(), err error) {
		next, err := config.ReloadNode(path, front.config)
		if err == nil && p.fleet != nil {
			if conflict := p.fleet.conflictWithPolicy(next.Settings); conflict != "" {
				err = fmt.Errorf("%s: %s", path, conflict)
			}
		}
		return func() {
			front.reload(next)
			p.restart.setLimits(next)
			if p.fleet != nil {
				p.fleet.updateClasses()
			}
		}, err
	}
}
