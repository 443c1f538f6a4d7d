package node

import (
	"go.uber.org/zap"

	"spurwinch/internal/edge"
	"spurwinch/internal/invariant"
	"spurwinch/internal/operations/stats"
	"spurwinch/internal/trace"
)

// telemetry is what a node counts of its requests, its reloads and the invariants that it checks. All cores of the
// process share one.
type telemetry struct {
	figures stats.Counters
	monitor invariant.Monitor
	trace   trace.Recorder
}

// logViolation logs a broken invariant; it is the monitor's OnViolation.
func logViolation(violation invariant.Violation) {
	zap.L().Error("invariant_broken", zap.Stringer("rule", violation.Rule), zap.Stringer("step", violation.Step),
		zap.String("request", violation.Request), zap.String("host", violation.Server))
}

// appendReasons appends how often connections were closed, attempts retried and requests rejected, by reason, and what
// the invariant monitor saw.
func (t *telemetry) appendReasons(buf []byte) []byte {
	counter := func(kind, name string, count uint64) { buf = stats.AppendCounter(buf, count, kind, name) }
	t.trace.Each(counter)
	t.monitor.Each(counter)
	return buf
}

// logReasons puts the same into the log, at the planned stop.
func (t *telemetry) logReasons() {
	var fields []zap.Field
	t.trace.Each(func(kind, name string, count uint64) {
		fields = append(fields, zap.Uint64(kind+"_"+name, count))
	})
	fields = append(fields, zap.Uint64("invariants_broken", t.monitor.Violations()))
	zap.L().Info("request_totals", fields...)
}

// appendFigures appends the figures of the process and the gauges of its cores.
func (p *Program) appendFigures(buf []byte) []byte {
	var gauges edge.Gauges
	for _, core := range p.cores {
		gauges.Add(core.Gauges())
	}
	return p.telemetry.figures.Append(buf, gauges)
}
