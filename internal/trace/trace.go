// Package trace tells what becomes of requests: each change of state with the request's id in the log (level debug), and how often
// connections were closed, attempts repeated and requests turned away, by their reason.
//
// A Recorder belongs to one goroutine.
package trace

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Reason is why a node gave an answer of its own.
type Reason string

// The reasons of answers that no decision of the module stands behind; choice.Reason has the module's.
const (
	Stopping       Reason = "node_stopping"
	NoDescriptor   Reason = "no_descriptor"
	NoPolicy       Reason = "no_policy_in_force"
	IDInUse        Reason = "id_in_use"
	HostLost       Reason = "host_lost_after_its_first_bytes"
	PastDeadline   Reason = "past_deadline"
	Unreachable    Reason = "standing_host_unreachable"
	LostByModule   Reason = "lost_by_module"
	UnsafeToReject Reason = "unsafe_to_refuse"
)

// Close is why a client's connection ended.
type Close string

// The reasons of closes.
const (
	ClientEnded     Close = "client_ended"
	ClientReset     Close = "client_reset"
	ClientBroken    Close = "client_broke_protocol"
	ClientSilent    Close = "client_silent"
	ClientEvicted   Close = "client_evicted"
	HostEnded       Close = "host_ended"
	HostReset       Close = "host_reset"
	HostServed      Close = "host_served_to_its_end"
	NodeAnswered    Close = "node_answered"
	NodeStopping    Close = "node_stopping"
	NodeMovedClient Close = "node_moved_client"
	HandedOver      Close = "handed_over"
)

// Recorder counts reasons and logs changes of state. The zero Recorder is ready for use.
type Recorder struct {
	closes  map[Close]uint64
	retries map[string]uint64
	answers map[Reason]uint64
}

func count[K comparable](m *map[K]uint64, key K) {
	if *m == nil {
		*m = map[K]uint64{}
	}
	(*m)[key]++
}

// debug gives the log entry of an event, or nil where the log's level leaves it out.
func debug(event string) *zapcore.CheckedEntry { return zap.L().Check(zap.DebugLevel, event) }

// Read says that a request was read whole.
func (r *Recorder) Read(request, class string, left time.Duration) {
	if e := debug("request_read"); e != nil {
		e.Write(zap.String("request", request), zap.String("class", class), zap.Duration("left", left))
	}
}

// Started says that an attempt's host is dialled.
func (r *Recorder) Started(request string, attempt int, host string) {
	if e := debug("attempt_started"); e != nil {
		e.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", host))
	}
}

// Retried says why a request is tried again: the outcome of the attempt before.
func (r *Recorder) Retried(request string, outcome string) {
	count(&r.retries, outcome)
	if e := debug("request_retried"); e != nil {
		e.Write(zap.String("request", request), zap.String("after", outcome))
	}
}

// Sent says that an attempt's first byte goes out.
func (r *Recorder) Sent(request string, attempt int, host string) {
	if e := debug("attempt_sent"); e != nil {
		e.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", host))
	}
}

// Ended tells an attempt's outcome; written says that its last byte had gone out.
func (r *Recorder) Ended(request string, attempt int, host, outcome string, written bool, took time.Duration) {
	if e := debug("attempt_ended"); e != nil {
		e.Write(zap.String("request", request), zap.Int("attempt", attempt), zap.String("host", host), zap.String("outcome", outcome),
			zap.Bool("written", written), zap.Duration("took", took))
	}
}

// Served says that a host's answer is passed on.
func (r *Recorder) Served(request, host string) {
	if e := debug("request_served"); e != nil {
		e.Write(zap.String("request", request), zap.String("host", host))
	}
}

// Answered says that the node gives an answer of its own.
func (r *Recorder) Answered(request string, refused bool, why Reason) {
	count(&r.answers, why)
	if e := debug("request_answered"); e != nil {
		e.Write(zap.String("request", request), zap.Bool("refused", refused), zap.String("reason", string(why)))
	}
}

// Closed says why a client's connection ended; request is empty where it had asked for nothing.
func (r *Recorder) Closed(request string, why Close) {
	count(&r.closes, why)
	if e := debug("connection_closed"); e != nil {
		e.Write(zap.String("request", request), zap.String("reason", string(why)))
	}
}

// Each calls fn with each reason that was counted, in the order of kinds and names.
func (r *Recorder) Each(fn func(kind, reason string, count uint64)) {
	for _, why := range slices.Sorted(maps.Keys(r.closes)) {
		fn("closed", string(why), r.closes[why])
	}
	for _, why := range slices.Sorted(maps.Keys(r.retries)) {
		fn("retried", why, r.retries[why])
	}
	for _, why := range slices.Sorted(maps.Keys(r.answers)) {
		fn("answered", string(why), r.answers[why])
	}
}
