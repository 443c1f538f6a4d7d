package stats

import (
	"os"
	"testing"

	"spurwinch/internal/edge"
)

// TestGoldenMetrics writes all metrics, each with a different value.
func TestGoldenMetrics(t *testing.T) {
	var counters Counters
	*counters.Class("class-1") = edge.Counts{Served: 11, Rejected: 12, Failed: 13}
	*counters.Class("class-2") = edge.Counts{Served: 21, Rejected: 22, Failed: 23}
	counters.Attempts = 31
	counters.ReloadsOK = 32
	counters.ReloadsFailed = 33
	got := counters.Append(nil, edge.Gauges{InFlight: 41, ServersKnown: 42, ServersExcluded: 43})
	got = AppendCounter(got, 51, "kind", "name")
	want, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("Append and AppendCounter: got\n%s\nwant\n%s", got, want)
	}
}
