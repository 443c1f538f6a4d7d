package stats

import (
	"testing"

	"spurwinch/internal/edge"
)

// TestAppend checks the text format, a class that is looked up twice, and a class name that contains the separators of
// a line.
func TestAppend(t *testing.T) {
	var counters Counters
	counters.Class("b").Served = 812
	counters.Class("a.b:c|d e").Failed = 2
	counters.Class("b").Rejected++
	counters.Attempts = 900
	counters.ReloadsOK = 3
	counters.ReloadsFailed = 1
	got := string(counters.Append([]byte("x\n"), edge.Gauges{InFlight: 14, ServersKnown: 12, ServersExcluded: 2}))
	want := "x\n" +
		"gw.requests.a_b_c_d_e.served:0|c\n" +
		"gw.requests.a_b_c_d_e.refused:0|c\n" +
		"gw.requests.a_b_c_d_e.failed:2|c\n" +
		"gw.requests.b.served:812|c\n" +
		"gw.requests.b.refused:1|c\n" +
		"gw.requests.b.failed:0|c\n" +
		"gw.attempts:900|c\n" +
		"gw.in_flight:14|g\n" +
		"gw.hosts_known:12|g\n" +
		"gw.hosts_excluded:2|g\n" +
		"gw.reloads_ok:3|c\n" +
		"gw.reloads_failed:1|c\n"
	if got != want {
		t.Errorf("Append: got\n%s, want\n%s", got, want)
	}
}
