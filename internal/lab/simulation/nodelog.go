package simulation

import (
	"fmt"
	"strings"
	"time"

	"spurwinch/internal/lab/faults"
)

// crashesEnd is how long before the end of a run no node is killed at a step any more.
const crashesEnd = 14 * time.Second

// logFields are the fields of a log line, names and values in turn.
type logFields []any

func field[T any](f logFields, name string) (value T) {
	for i := 0; i+1 < len(f); i += 2 {
		if f[i] == name {
			value, _ = f[i+1].(T)
			return value
		}
	}
	return value
}

// Text, Number, Float, Bool and Bytes make it faults.LogFields.
func (f logFields) Text(name string) string   { return field[string](f, name) }
func (f logFields) Number(name string) uint64 { return field[uint64](f, name) }
func (f logFields) Float(name string) float64 { return field[float64](f, name) }
func (f logFields) Bool(name string) bool     { return field[bool](f, name) }
func (f logFields) Bytes(name string) []byte  { return field[[]byte](f, name) }

// log makes events of what the node would write to its log.
func (n *node) log(event string, fields ...any) {
	e, ok := faults.EventFromLog(event, logFields(fields))
	switch {
	case !ok:
		e = faults.Event{Kind: "log", Detail: event + fmt.Sprint(fields...)}
	case e.Kind == faults.KindDecided:
		e.Result = "taken"
	}
	e.Node, e.Zone = n.name, n.zone
	n.w.note(e)
	if strings.HasPrefix(event, "fleet_policy_") {
		n.mayCrashAtStep()
	}
}

// mayCrashAtStep kills the node at a step of a policy, now and then.
func (n *node) mayCrashAtStep() {
	w := n.w
	if w.crashy <= 0 || w.now >= w.o.Length-crashesEnd || w.rng.Float64() >= w.crashy {
		return
	}
	born := n.born
	w.at(w.now, func() {
		if n.born == born {
			w.note(faults.Event{Kind: faults.KindFault, Detail: "killed at a step", Node: n.name})
			w.restart(n, "kept", time.Duration(100+w.rng.IntN(4000))*time.Millisecond)
		}
	})
}
