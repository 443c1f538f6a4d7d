package simulation

import (
	"fmt"
	"strings"
	"time"

	"spurwinch/internal/lab/faults"
)

const (
	crashFreeTail     = 14 * time.Second // in this time before the end of a run, no node crashes at a step
	minStepRestart    = 100              // ms, minimum time until a node that crashed at a step restarts
	stepRestartSpread = 4000             // ms, spread of the random part of that time
)

// logFields are the fields of a log line as alternating names and values. They implement faults.LogFields.
type logFields []any

// field returns the value of a field, or the zero value if the field is missing or has another type.
func field[T any](fields logFields, name string) T {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i] == name {
			value, _ := fields[i+1].(T)
			return value
		}
	}
	var zero T
	return zero
}

func (f logFields) Text(name string) string   { return field[string](f, name) }
func (f logFields) Number(name string) uint64 { return field[uint64](f, name) }
func (f logFields) Float(name string) float64 { return field[float64](f, name) }
func (f logFields) Bool(name string) bool     { return field[bool](f, name) }
func (f logFields) Bytes(name string) []byte  { return field[[]byte](f, name) }

// log records a log line of the node's agent as an event of the history.
func (n *node) log(event string, fields ...any) {
	recorded, ok := faults.EventOfLog(event, logFields(fields))
	switch {
	case !ok:
		recorded = faults.Event{Kind: faults.KindLog, Detail: event + fmt.Sprint(fields...)}
	case recorded.Kind == faults.KindProposalEnd:
		recorded.Result = faults.ResultAccepted
	}
	recorded.Node = n.name
	recorded.Zone = n.zone
	n.world.record(recorded)
	if strings.HasPrefix(event, "fleet_policy_") {
		n.maybeCrashAtStep()
	}
}

// maybeCrashAtStep crashes the node at a step of a policy change with the probability World.stepCrashRate.
func (n *node) maybeCrashAtStep() {
	world := n.world
	if world.stepCrashRate <= 0 || world.now >= world.options.Length-crashFreeTail {
		return
	}
	if world.rng.Float64() >= world.stepCrashRate {
		return
	}
	incarnation := n.incarnation
	world.schedule(world.now, func() {
		if n.incarnation == incarnation {
			world.record(faults.Event{Kind: faults.KindFault, Detail: "killed at a step", Node: n.name})
			n.restart(faults.FilesIntact, world.drawMilliseconds(minStepRestart, stepRestartSpread))
		}
	})
}

// drawMilliseconds draws a duration from the range of least (inclusive) to least+spread (exclusive) milliseconds.
func (w *World) drawMilliseconds(least, spread int) time.Duration {
	return time.Duration(least+w.rng.IntN(spread)) * time.Millisecond
}
