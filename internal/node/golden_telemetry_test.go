package node

import (
	"fmt"
	"os"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/invariant"
	"spurwinch/internal/trace"
)

// TestGoldenTelemetry compares the bodies of /api/reasons and /api/telemetry with golden files. They contain all
// counters of a process, one on each line.
func TestGoldenTelemetry(t *testing.T) {
	var program Program
	for range 2 {
		program.telemetry.trace.Closed("request", trace.ClientEnded)
	}
	for range 3 {
		program.telemetry.trace.Retried("request", choice.TimedOut)
	}
	for range 4 {
		program.telemetry.trace.Answered("request", true, trace.Stopping)
	}
	for range 5 {
		program.telemetry.trace.Answered("request", true, trace.AnswerReason(choice.ServersCrowded.String()))
	}
	begin := time.Unix(1e9, 0)
	for i := range 6 {
		request := program.telemetry.monitor.NewRequest(invariant.RequestFacts{
			ID: "request", Class: choice.Class{Idempotency: choice.Idempotent}, Deadline: begin, MaxAttempts: 2,
		})
		request.Start(invariant.Server{ID: "host"}, begin)
		if i > 1 {
			request.Send(invariant.Server{ID: "host"}, begin)
		}
		if i > 2 {
			request.Close(invariant.ByNode, false)
		}
	}
	compareGolden(t, "testdata/reasons.txt", string(program.telemetry.appendReasons(nil)))

	*program.telemetry.counters.Class("class-1") = edge.Counts{Served: 11, Rejected: 12, Failed: 13}
	program.telemetry.counters.Attempts = 14
	program.telemetry.counters.ReloadsOK = 15
	program.telemetry.counters.ReloadsFailed = 16
	compareGolden(t, "testdata/telemetry.txt", string(program.appendTelemetry(nil)))
}

// TestGoldenReasonStrings compares the strings of package choice's outcomes and reasons with a golden file.
func TestGoldenReasonStrings(t *testing.T) {
	got := ""
	for outcome := choice.Served; outcome <= choice.NeverSent; outcome++ {
		got += fmt.Sprintf("outcome %d %s, never ran: %v\n", outcome, outcome, outcome.NeverRan())
	}
	for reason := choice.Unspecified; reason <= choice.Withdrawn; reason++ {
		got += fmt.Sprintf("reason %d %s\n", reason, reason)
	}
	compareGolden(t, "testdata/reason_words.txt", got)
}

// compareGolden compares a text with a golden file.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}
