package logs

import (
	"strings"
	"testing"
	"time"

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

// steppedClock is a wall clock that a test sets.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time                         { return c.now }
func (c *steppedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// TestSteppedBack has the wall clock be stepped back by an hour: events are told as before, a second later.
func TestSteppedBack(t *testing.T) {
	t.Cleanup(zap.ReplaceGlobals(zap.L()))
	var out strings.Builder
	if err := Setup(&out, Options{Format: "json", Level: "info"}); err != nil {
		t.Fatal(err)
	}
	clock := &steppedClock{time.Now()}
	logger := zap.L().WithOptions(zap.WithClock(clock))
	for range 2 * first {
		logger.Warn("host_silent")
	}
	clock.now = clock.now.Add(-time.Hour)
	time.Sleep(window + 50*time.Millisecond)
	out.Reset()
	if logger.Warn("host_silent"); !strings.Contains(out.String(), "host_silent") {
		t.Error("an event of a second later is left out")
	}
}
