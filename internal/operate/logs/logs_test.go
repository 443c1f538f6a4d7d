package logs

import (
	"strings"
	"testing"

	"go.uber.org/zap"
)

// TestFlood checks that a flood of one event is cut to the rate, hides no other event, and that what was left out is told.
func TestFlood(t *testing.T) {
	t.Cleanup(zap.ReplaceGlobals(zap.L()))
	var out strings.Builder
	if err := Setup(&out, Options{Format: "json", Level: "info"}); err != nil {
		t.Fatal(err)
	}
	for range 1000 { // may touch two of the sampler's windows
		zap.L().Warn("client_sent_garbage", zap.Int("bytes", 7))
	}
	if n := strings.Count(out.String(), "\n"); n < first || n > 3*first {
		t.Errorf("%d lines of a flood passed", n)
	}
	out.Reset()
	zap.L().Warn("host_silent")
	if !strings.Contains(out.String(), `"event":"host_silent"`) || !strings.Contains(out.String(), `"left_out_lines":9`) {
		t.Errorf("then came %q", out.String())
	}
	for _, o := range []Options{{"xml", "info"}, {"json", "loud"}} {
		if Setup(&out, o) == nil {
			t.Errorf("%v passed", o)
		}
	}
}

// TestRequestsAreWhole checks that lines of level debug, which tell of single requests, are not cut to the rate.
func TestRequestsAreWhole(t *testing.T) {
	t.Cleanup(zap.ReplaceGlobals(zap.L()))
	var out strings.Builder
	if err := Setup(&out, Options{Format: "json", Level: "debug"}); err != nil {
		t.Fatal(err)
	}
	for range 10 * first {
		zap.L().Debug("request_read")
	}
	if n := strings.Count(out.String(), "request_read"); n != 10*first {
		t.Errorf("%d of %d lines passed", n, 10*first)
	}
}
