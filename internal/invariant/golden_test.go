package invariant

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestGoldenCounts gives each step and each rule a different count. It checks that their names, order and counts match
// the golden file.
func TestGoldenCounts(t *testing.T) {
	var monitor Monitor
	for i, step := range []Step{Start, Send, Repeat, Close} {
		monitor.checked[step] = uint64(11 + i)
	}
	for i, rule := range []Rule{
		SecondAnswer, Unanswered, LateAnswer, TooManyAttempts, ConcurrentAttempt, UnsafeRetry,
		UnsafeRejection, ClientGone, ServerDraining, SlowStart, ClosedWithoutMigration,
	} {
		monitor.violations[rule] = uint64(21 + i)
	}
	var got strings.Builder
	monitor.Each(func(kind, name string, count uint64) { fmt.Fprintf(&got, "%s %s %d\n", kind, name, count) })
	fmt.Fprintf(&got, "%s %d\n", NoViolation, monitor.Violations())
	want, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("Each: got\n%s\nwant\n%s", got.String(), want)
	}
}
