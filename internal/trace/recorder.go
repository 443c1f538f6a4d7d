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

// Recorder counts reasons and logs changes of state. The zero Recorder is ready for use.
type Recorder struct {
	closes  map[Close]uint64
	retries map[choice.Outcome]uint64 // by the outcome of the attempt before
	answers map[Reason]uint64
}

// count raises one counter of a map that is made for the first one.
func count[K comparable](counters *map[K]uint64, key K) {
	if *counters == nil {
		*counters = map[K]uint64{}
	}
	(*counters)[key]++
}

// debug returns the log entry of an event, or nil below the log's level, for which no fields are made.
func debug(event string) *zapcore.CheckedEntry { return zap.L().Check(zap.DebugLevel, event) }

// Read records that a request was read completely; timeLeft is until its deadline.
func (r *Recorder) Read(request, class string, timeLeft time.Duration) {
	if entry := debug("request_read"); entry != nil {
		entry.Write(zap.String("request", request), zap.String("class", class), zap.Duration("left", timeLeft))
	}
}

// Started records that an attempt's server is dialled.
func (r *Recorder) Started(request string, attempt int, server string) {
	if entry := debug("attempt_started"); entry != nil {
		entry.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", server))
	}
}

// Retried records a retry, and why: the outcome of the attempt before.
func (r *Recorder) Retried(request string, outcome choice.Outcome) {
	count(&r.retries, outcome)
	if entry := debug("request_retried"); entry != nil {
		entry.Write(zap.String("request", request), zap.Stringer("after", outcome))
	}
}

// Sent records that an attempt's first byte goes out.
func (r *Recorder) Sent(request string, attempt int, server string) {
	if entry := debug("attempt_sent"); entry != nil {
		entry.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", server))
	}
}

// Ended records an attempt's outcome; written says that its last byte had gone out.
func (r *Recorder) Ended(request string, attempt int, server string, outcome choice.Outcome, written bool,
	took time.Duration,
) {
	if entry := debug("attempt_ended"); entry != nil {
		entry.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", server),
			zap.Stringer("outcome", outcome), zap.Bool("written", written), zap.Duration("took", took))
	}
}

// Served records that a server's answer is passed on.
func (r *Recorder) Served(request, server string) {
	if entry := debug("request_served"); entry != nil {
		entry.Write(zap.String("request", request), zap.String("host", server))
	}
}

// Answered records that the node gives an answer of its own; rejected says that it promises that a retry is harmless.
func (r *Recorder) Answered(request string, rejected bool, why Reason) {
	count(&r.answers, why)
	if entry := debug("request_answered"); entry != nil {
		entry.Write(zap.String("request", request), zap.Bool("refused", rejected), zap.String("reason", string(why)))
	}
}

// Closed records why a client's connection ended; request is empty where the client had sent none.
func (r *Recorder) Closed(request string, why Close) {
	count(&r.closes, why)
	if entry := debug("connection_closed"); entry != nil {
		entry.Write(zap.String("request", request), zap.String("reason", string(why)))
	}
}

// Each calls visit with each reason that was counted, in the order of kinds and names.
func (r *Recorder) Each(visit func(kind, reason string, count uint64)) {
	for _, why := range slices.Sorted(maps.Keys(r.closes)) {
		visit("closed", string(why), r.closes[why])
	}
	byName := func(a, b choice.Outcome) int { return strings.Compare(a.String(), b.String()) }
	for _, outcome := range slices.SortedFunc(maps.Keys(r.retries), byName) {
		visit("retried", outcome.String(), r.retries[outcome])
	}
	for _, why := range slices.Sorted(maps.Keys(r.answers)) {
		visit("answered", string(why), r.answers[why])
	}
}
