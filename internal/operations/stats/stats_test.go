package stats

import (
	"testing"

	"spurwinch/internal/edge"
)

// TestText checks the form, a class that is looked up twice, and names with characters that separate a line's parts.
func TestText(t *testing.T) {
	var f Counters
	f.Class("b").Served = 812
	f.Class("a.b:c|d e").Failed = 2
	f.Class("b").Rejected++
	f.Attempts = 900
	f.ReloadsOK = 3
	f.ReloadsFailed = 1
	got := string(f.Append([]byte("x\n"), edge.Gauges{InFlight: 14, ServersKnown: 12, ServersExcluded: 2}))
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
		t.Errorf("got\n%s, want\n%s", got, want)
	}
}
