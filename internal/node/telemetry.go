package node

import (
	"go.uber.org/zap"

	"spurwinch/internal/edge"
	"spurwinch/internal/invariant"
	"spurwinch/internal/operations/stats"
	"spurwinch/internal/trace"
)

// telemetry counts requests, reloads and invariant checks of a node. All cores of the process share one telemetry.
type telemetry struct {
	counters stats.Counters
	monitor  invariant.Monitor
	trace    trace.Recorder
}

// logViolation logs a violated invariant. The monitor calls it as its OnViolation.
func logViolation(violation invariant.Violation) {
	zap.L().Error("invariant_broken", zap.Stringer("rule", violation.Rule), zap.Stringer("step", violation.Step),
		zap.String("request", violation.Request), zap.String("host", violation.Server))
}

// appendReasons appends the counts of closed connections, retried attempts and rejected requests by reason, and the
// counters of the invariant monitor.
func (t *telemetry) appendReasons(buf []byte) []byte {
	counter := func(kind, name string, count uint64) { buf = stats.AppendCounter(buf, count, kind, name) }
	t.trace.Each(counter)
	t.monitor.Each(counter)
	return buf
}

// logReasons logs the counts by reason and the number of invariant violations, at the planned shutdown.
func (t *telemetry) logReasons() {
	var fields []zap.Field
	t.trace.Each(func(kind, name string, count uint64) {
		fields = append(fields, zap.Uint64(kind+"_"+name, count))
	})
	fields = append(fields, zap.Uint64("invariants_broken", t.monitor.Violations()))
	zap.L().Info("request_totals", fields...)
}

// appendTelemetry appends the counters of the process and the gauges of its cores.
func (p *Program) appendTelemetry(buf []byte) []byte {
	var gauges edge.Gauges
	for _, core := range p.cores {
		gauges.Add(core.Gauges())
	}
	return p.telemetry.counters.Append(buf, gauges)
}
