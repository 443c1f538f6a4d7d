package stats

import (
	"testing"

	"spurwinch/internal/edge"
)

// TestText checks the form, a class that is asked for twice, and names that hold the form's marks.
func TestText(t *testing.T) {
	var f Figures
	f.Class("b").Served = 812
	f.Class("a.b:c|d e").Failed = 2
	f.Class("b").Rejected++
	f.Attempts, f.ReloadsOK, f.ReloadsFailed = 900, 3, 1
	got := string(f.Append([]byte("x\n"), edge.Gauges{InFlight: 14, ServersKnown: 12, ServersExcluded: 2}))
	want := "x\ngw.requests.a_b_c_d_e.served:0|c\ngw.requests.a_b_c_d_e.refused:0|c\ngw.requests.a_b_c_d_e.failed:2|c\n" +
		"gw.requests.b.served:812|c\ngw.requests.b.refused:1|c\ngw.requests.b.failed:0|c\ngw.attempts:900|c\n" +
		"gw.in_flight:14|g\ngw.hosts_known:12|g\ngw.hosts_excluded:2|g\ngw.reloads_ok:3|c\ngw.reloads_failed:1|c\n"
	if got != want {
		t.Errorf("got %s", got)
	}
}
