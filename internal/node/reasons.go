package node

import (
	"go.uber.org/zap"

	"spurwinch/internal/invariant"
	"spurwinch/internal/operations/stats"
)

func logViolation(violation invariant.Violation) {
	zap.L().Error("invariant_broken", zap.Stringer("rule", violation.Rule), zap.Stringer("step", violation.Step),
		zap.String("request", violation.Request), zap.String("host", violation.Server))
}

// reasons writes how often connections were closed, attempts repeated and requests rejected, by reason, and what the
// invariant monitor saw.
func (p *Program) reasons(buf []byte) []byte {
	counter := func(kind, name string, count uint64) { buf = stats.AppendCounter(buf, count, kind, name) }
	p.trace.Each(counter)
	p.monitor.Each(counter)
	return buf
}

// logReasons puts the same into the log, at the planned stop.
func (p *Program) logReasons() {
	var fields []zap.Field
	p.trace.Each(func(kind, name string, count uint64) {
		fields = append(fields, zap.Uint64(kind+"_"+name, count))
	})
	fields = append(fields, zap.Uint64("invariants_broken", p.monitor.Violations()))
	zap.L().Info("request_totals", fields...)
}
