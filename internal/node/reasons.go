package node

import (
	"go.uber.org/zap"

	"spurwinch/internal/invariant"
	"spurwinch/internal/operate/stats"
)

// What became of requests, and whether promises were kept, for operators.

func logViolation(v invariant.Violation) {
	zap.L().Error("invariant_broken", zap.Stringer("rule", v.Rule), zap.Stringer("step", v.Step), zap.String("request", v.Request),
		zap.String("host", v.Server))
}

// reasons writes how often connections were closed, attempts repeated and requests turned away, by reason, and what the guard saw.
func (p *Program) reasons(buf []byte) []byte {
	counter := func(kind, name string, count uint64) { buf = stats.AppendCounter(buf, count, kind, name) }
	p.trace.Each(counter)
	p.monitor.Each(counter)
	return buf
}

// logReasons puts the same into the log, at the planned stop.
func (p *Program) logReasons() {
	var all []zap.Field
	p.trace.Each(func(kind, name string, count uint64) { all = append(all, zap.Uint64(kind+"_"+name, count)) })
	zap.L().Info("request_totals", append(all, zap.Uint64("invariants_broken", p.monitor.Violations()))...)
}
