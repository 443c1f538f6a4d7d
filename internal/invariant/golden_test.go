package invariant

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestGoldenFigures counts each step and the violations of each rule a number of times of its own: their names, order
// and counts are those of the golden file.
func TestGoldenFigures(t *testing.T) {
	var monitor Monitor
	for i, step := range []Step{Start, Send, Repeat, Close} {
		monitor.checked[step] = uint64(11 + i)
	}
	for i, rule := range []Rule{
		SecondAnswer, Unanswered, LateAnswer, TooManyAttempts, ConcurrentAttempt, UnsafeRetry,
		UnsafeRejection, ClientGone, ServerDraining, SlowStart, ClosedWithoutMigration,
	} {
		monitor.broken[rule] = uint64(21 + i)
	}
	var got strings.Builder
	monitor.Each(func(kind, name string, count uint64) { fmt.Fprintf(&got, "%s %s %d\n", kind, name, count) })
	fmt.Fprintf(&got, "%s %d\n", Holds, monitor.Violations())
	want, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("the figures are\n%s\nwant\n%s", got.String(), want)
	}
}
