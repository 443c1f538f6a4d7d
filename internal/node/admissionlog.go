package node

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
)

const (
	maxLoggedAdmissions  = 400 // requests in one line of the log
	admissionLogInterval = 100 * time.Millisecond
)

// admissionRecorder notes which request was admitted under which policy, where the log wants it: a laboratory reads it
// there. Nil: the log's level leaves it out.
func (f *fleet) admissionRecorder() func(id choice.RequestID, number uint64, how string) {
	if !zap.L().Core().Enabled(zap.DebugLevel) {
		return nil
	}
	return func(id choice.RequestID, number uint64, how string) {
		state := &f.policy
		if len(state.admitted) >= maxLoggedAdmissions {
			state.unloggedAdmissions++
			return
		}
		entry := fmt.Sprintf("%s=%d=%s=%d", id, number, how, f.now().Microseconds())
		state.admitted = append(state.admitted, entry)
	}
}

// logAdmitted logs the admissions that were noted, a line for each interval at most.
func (f *fleet) logAdmitted(now time.Time) {
	state := &f.policy
	if len(state.admitted) == 0 || now.Sub(state.loggedAt) < admissionLogInterval {
		return
	}
	state.loggedAt = now
	zap.L().Debug("fleet_admitted", zap.String("requests", strings.Join(state.admitted, " ")),
		zap.Int64("now", f.now().Microseconds()), zap.Int("untold", state.unloggedAdmissions))
	state.admitted = state.admitted[:0]
	state.unloggedAdmissions = 0
}
