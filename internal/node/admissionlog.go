package node

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
)

const (
	maxLoggedAdmissions  = 400 // maximum number of requests in one log line
	admissionLogInterval = 100 * time.Millisecond
)

// admissionLog collects which request was admitted under which policy. Laboratory runs read it from the debug log.
type admissionLog struct {
	entries  []string
	omitted  int // number of admissions beyond maxLoggedAdmissions
	loggedAt time.Time
}

// admissionRecorder returns a function that adds an entry to the admission log, or nil if the log level excludes it.
func (f *fleet) admissionRecorder() func(id choice.RequestID, number uint64, admission string) {
	if !zap.L().Core().Enabled(zap.DebugLevel) {
		return nil
	}
	return func(id choice.RequestID, number uint64, admission string) {
		admissions := &f.admissions
		if len(admissions.entries) >= maxLoggedAdmissions {
			admissions.omitted++
			return
		}
		entry := fmt.Sprintf("%s=%d=%s=%d", id, number, admission, f.now().Microseconds())
		admissions.entries = append(admissions.entries, entry)
	}
}

// logAdmissions logs the collected admissions, with at most one line per admissionLogInterval.
func (f *fleet) logAdmissions(now time.Time) {
	admissions := &f.admissions
	if len(admissions.entries) == 0 || now.Sub(admissions.loggedAt) < admissionLogInterval {
		return
	}
	admissions.loggedAt = now
	zap.L().Debug("fleet_admitted", zap.String("requests", strings.Join(admissions.entries, " ")),
		zap.Int64("now", f.now().Microseconds()), zap.Int("untold", admissions.omitted))
	admissions.entries = admissions.entries[:0]
	admissions.omitted = 0
}
