package trace

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"spurwinch/choice"
)

// TestGoldenReasons counts each reason a number of times of its own: their kinds, names, order and counts are those
// of the golden file.
func TestGoldenReasons(t *testing.T) {
	var recorder Recorder
	for i, why := range []Close{
		ClientEnded, ClientReset, ClientBrokeProtocol, ClientTimedOut, ClientEvicted, ServerEnded, ServerReset,
		ServerServed, NodeAnswered, NodeStopping, NodeMigratedClient, Transferred,
	} {
		for range 1 + i {
			recorder.Closed("request", why)
		}
	}
	for i, outcome := range []choice.Outcome{choice.TimedOut, choice.Reset} {
		for range 21 + i {
			recorder.Retried("request", outcome)
		}
	}
	for i, why := range []Reason{
		Stopping, NoFileDescriptor, NoPolicy, IDInUse, ServerLost, PastDeadline, Unreachable,
		LostByBalancer, UnsafeToReject,
	} {
		for range 31 + i {
			recorder.Answered("request", i%2 == 0, why)
		}
	}
	var got strings.Builder
	recorder.Each(func(kind, reason string, count uint64) { fmt.Fprintf(&got, "%s %s %d\n", kind, reason, count) })
	want, err := os.ReadFile("testdata/reasons.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("the reasons are told as\n%s\nwant\n%s", got.String(), want)
	}
}
