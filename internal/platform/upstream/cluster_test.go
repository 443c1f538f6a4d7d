package upstream

import (
	"math"
	"testing"
	"time"
)

func TestWithDeadlineRewritesOnlyDeadlineField(t *testing.T) {
	for _, test := range []struct {
		in, want string
		left     time.Duration
	}{
		{"OPEN 1 2 c=a,d=2000,g=5\r\n", "OPEN 1 2 c=a,d=1500,g=5\r\n", 1500*time.Millisecond + 999},
		{"OPEN 1 2 d=2000\r\n", "OPEN 1 2 d=1\r\n", -time.Second},
		{"OPEN d=9 2 c=a,x=d=7\r\n", "OPEN d=9 2 c=a,x=d=7\r\n", time.Second},
	} {
		if got := string(withDeadline([]byte(test.in), test.left)); got != test.want {
			t.Errorf("withDeadline(%q): got %q, want %q", test.in, got, test.want)
		}
	}
}

func TestParseReport(t *testing.T) {
	c := &Cluster{reportFields: []string{"recent_ms", "utilization", "x0"}}
	got := c.parseReport([]byte("x0=1.5,util=0.25,more=3"))
	if len(got) != 3 || !math.IsNaN(got[0]) || got[1] != 0.25 || got[2] != 1.5 {
		t.Error(got)
	}
	for _, bad := range []string{"", "nothing", "x0=,util=high", "x0=Inf", "x0=-1,util=NaN"} {
		if got := c.parseReport([]byte(bad)); got != nil {
			t.Errorf("parseReport(%q): got %v, want nil", bad, got)
		}
	}
}
