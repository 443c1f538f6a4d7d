package trace

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"spurwinch/choice"
)

// Recorder counts reasons and logs the state changes of requests. The zero Recorder is ready for use.
type Recorder struct {
	closes  map[CloseReason]uint64
	retries map[choice.Outcome]uint64 // by the outcome of the attempt before the retry
	answers map[AnswerReason]uint64
}

// increment adds one to the counter of a key. It creates the map if there is none yet.
func increment[K comparable](counters *map[K]uint64, key K) {
	if *counters == nil {
		*counters = map[K]uint64{}
	}
	(*counters)[key]++
}

// debugEntry returns the log entry of an event, or nil if the log does not record level debug. Callers create the
// entry's fields only if it is not nil.
func debugEntry(event string) *zapcore.CheckedEntry { return zap.L().Check(zap.DebugLevel, event) }

// Read records that a request was read completely. timeLeft is the time until its deadline.
func (r *Recorder) Read(request, class string, timeLeft time.Duration) {
	if entry := debugEntry("request_read"); entry != nil {
		entry.Write(zap.String("request", request), zap.String("class", class), zap.Duration("left", timeLeft))
	}
}

// Started records that the node dials the server of an attempt.
func (r *Recorder) Started(request string, attempt int, server string) {
	if entry := debugEntry("attempt_started"); entry != nil {
		entry.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", server))
	}
}

// Retried records a retry and its reason, the outcome of the attempt before.
func (r *Recorder) Retried(request string, outcome choice.Outcome) {
	increment(&r.retries, outcome)
	if entry := debugEntry("request_retried"); entry != nil {
		entry.Write(zap.String("request", request), zap.Stringer("after", outcome))
	}
}

// Sent records that the first byte of an attempt is sent.
func (r *Recorder) Sent(request string, attempt int, server string) {
	if entry := debugEntry("attempt_sent"); entry != nil {
		entry.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", server))
	}
}

// Ended records an attempt's outcome. written means that the last byte of the attempt was sent.
func (r *Recorder) Ended(request string, attempt int, server string, outcome choice.Outcome, written bool,
	took time.Duration,
) {
	if entry := debugEntry("attempt_ended"); entry != nil {
		entry.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", server),
			zap.Stringer("outcome", outcome), zap.Bool("written", written), zap.Duration("took", took))
	}
}

// Served records that a server's answer is forwarded.
func (r *Recorder) Served(request, server string) {
	if entry := debugEntry("request_served"); entry != nil {
		entry.Write(zap.String("request", request), zap.String("host", server))
	}
}

// Answered records that the node gives an answer of its own. rejected means that the answer promises that a retry is
// harmless.
func (r *Recorder) Answered(request string, rejected bool, reason AnswerReason) {
	increment(&r.answers, reason)
	if entry := debugEntry("request_answered"); entry != nil {
		entry.Write(zap.String("request", request), zap.Bool("refused", rejected), zap.String("reason", string(reason)))
	}
}

// Closed records why a client's connection ended. request is empty if the client had sent no request.
func (r *Recorder) Closed(request string, reason CloseReason) {
	increment(&r.closes, reason)
	if entry := debugEntry("connection_closed"); entry != nil {
		entry.Write(zap.String("request", request), zap.String("reason", string(reason)))
	}
}

// Each calls visit with the kind, name and count of each reason that was counted. The kinds are in the order closed,
// retried and answered, and the reasons of each kind are sorted by name.
func (r *Recorder) Each(visit func(kind, reason string, count uint64)) {
	for _, reason := range slices.Sorted(maps.Keys(r.closes)) {
		visit("closed", string(reason), r.closes[reason])
	}
	byName := func(a, b choice.Outcome) int { return strings.Compare(a.String(), b.String()) }
	for _, outcome := range slices.SortedFunc(maps.Keys(r.retries), byName) {
		visit("retried", outcome.String(), r.retries[outcome])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.answers)) {
		visit("answered", string(reason), r.answers[reason])
	}
}
