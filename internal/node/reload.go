package node

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
)

const (
	reloadRetryInterval = 100 * time.Millisecond // while files are temporarily unreadable
	reloadRetryTime     = 30 * time.Second       // after this, the old configuration stays until the next signal
)

// reloader rereads and checks the files of one part of the program. It returns a function that applies them.
type reloader = func() (apply func(), err error)

// Reload rereads the files and applies all of them together. If one of them is invalid, it applies none.
func (p *Program) Reload() {
	if p.cancelReload != nil {
		p.cancelReload()
		p.cancelReload = nil
	}
	p.reloadUntil(p.loop.Now().Add(reloadRetryTime))
}

// reloadUntil rereads the files, and retries until a deadline while files are temporarily unreadable, because no
// further signal would trigger another reload.
func (p *Program) reloadUntil(deadline time.Time) {
	apply, err := p.readFiles()
	next := p.loop.Now().Add(reloadRetryInterval)
	switch {
	case err == nil:
		for _, applyPart := range apply {
			applyPart()
		}
		p.telemetry.counters.ReloadsOK++
	case loop.IsTransient(err) && next.Before(deadline):
		zap.L().Warn("reload_retried", zap.Error(err))
		p.cancelReload = p.loop.At(next, func() {
			p.cancelReload = nil
			p.reloadUntil(deadline)
		})
	default:
		p.telemetry.counters.ReloadsFailed++
		zap.L().Error("reload_rejected", zap.Error(err), zap.String("key", rejectedKey(err)),
			zap.String("kept", "all files in force, with their addresses of discovery"))
	}
}

// rejectedKey returns the key whose value is missing or invalid, or "" if the error concerns no single key.
func rejectedKey(err error) string {
	var conflict *policyConflictError
	if errors.As(err, &conflict) {
		return conflict.key
	}
	return config.InvalidKey(err)
}

// readFiles reads and checks all files. It returns functions that apply them.
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

// logRestartKeys logs the keys of a file whose new values are not applied before a restart.
func logRestartKeys(file string, keys []string) {
	if len(keys) > 0 {
		zap.L().Warn("reload_needs_restart", zap.String("file", file), zap.Strings("keys", keys),
			zap.String("kept", "the values of the start, until a restart"))
	}
}

// platformReloader returns the reloader of the platform's front.
func (p *Program) platformReloader(platform *platform, path string) reloader {
	return func() (apply func(), err error) {
		next, err := config.ReloadNode(path, platform.config)
		if err == nil && p.fleet != nil {
			if conflict := p.fleet.checkPolicyConflict(next.Settings); conflict != nil {
				err = fmt.Errorf("%s: %w", path, conflict)
			}
		}
		return func() {
			logRestartKeys(path, next.RestartKeys)
			platform.reload(next)
			p.restart.setLimits(next)
			if p.fleet != nil {
				p.fleet.updateClasses()
			}
		}, err
	}
}
