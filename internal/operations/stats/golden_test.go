package stats

import (
	"os"
	"testing"

	"spurwinch/internal/edge"
)

// TestGoldenFigures writes each figure that there is with a value of its own.
func TestGoldenFigures(t *testing.T) {
	var f Counters
	*f.Class("class-1") = edge.Counts{Served: 11, Rejected: 12, Failed: 13}
	*f.Class("class-2") = edge.Counts{Served: 21, Rejected: 22, Failed: 23}
	f.Attempts = 31
	f.ReloadsOK = 32
	f.ReloadsFailed = 33
	got := f.Append(nil, edge.Gauges{InFlight: 41, ServersKnown: 42, ServersExcluded: 43})
	got = AppendCounter(got, 51, "kind", "name")
	want, err := os.ReadFile("testdata/figures.txt")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("the figures are written as\n%s\nwant\n%s", got, want)
	}
}
