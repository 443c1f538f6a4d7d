package trace

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"spurwinch/choice"
)

// TestGoldenReasons gives each reason a different count. It checks that their kinds, names, order and counts match the
// golden file.
func TestGoldenReasons(t *testing.T) {
	var recorder Recorder
	for i, reason := range []CloseReason{
		ClientEnded, ClientReset, ClientBrokeProtocol, ClientTimedOut, ClientEvicted, ServerEnded, ServerReset,
		ServerServed, NodeAnswered, NodeStopping, NodeMigratedClient, Transferred,
	} {
		for range 1 + i {
			recorder.Closed("request", reason)
		}
	}
	for i, outcome := range []choice.Outcome{choice.TimedOut, choice.Reset} {
		for range 21 + i {
			recorder.Retried("request", outcome)
		}
	}
	for i, reason := range []AnswerReason{
		Stopping, NoFileDescriptor, NoPolicy, IDInUse, ServerLost, PastDeadline, Unreachable,
		BalancerTimedOut, UnsafeToReject,
	} {
		for range 31 + i {
			recorder.Answered("request", i%2 == 0, reason)
		}
	}
	var got strings.Builder
	recorder.Each(func(kind, reason string, count uint64) { fmt.Fprintf(&got, "%s %s %d\n", kind, reason, count) })
	want, err := os.ReadFile("testdata/reasons.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("Each: got\n%s\nwant\n%s", got.String(), want)
	}
}
