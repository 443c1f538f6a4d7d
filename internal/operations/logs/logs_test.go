package logs

import (
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestFlood checks that lines of one event are limited to the rate, that no other event is dropped with them, and that
// the number of dropped lines is logged.
func TestFlood(t *testing.T) {
	t.Cleanup(zap.ReplaceGlobals(zap.L()))
	var out strings.Builder
	if err := Setup(&out, Options{Format: "json", Level: "info"}); err != nil {
		t.Fatal(err)
	}
	for range 1000 { // may touch two of the sampler's windows
		zap.L().Warn("client_sent_garbage", zap.Int("bytes", 7))
	}
	if n := strings.Count(out.String(), "\n"); n < linesPerWindow || n > 3*linesPerWindow {
		t.Errorf("of 1000 lines of one event %d were written, want %d to %d", n, linesPerWindow, 3*linesPerWindow)
	}
	out.Reset()
	zap.L().Warn("host_silent")
	for _, want := range []string{`"event":"host_silent"`, `"left_out_lines":9`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the next event is written as %q, want %s in it", out.String(), want)
		}
	}
	for _, test := range []struct {
		options Options
		want    error
		text    string
	}{
		{Options{"xml", "info"}, ErrUnknownFormat, `unknown log format "xml": console or json`},
		{Options{"json", "loud"}, ErrUnknownLevel, `unknown log level "loud": one of debug, info, warn, error`},
	} {
		if err := Setup(&out, test.options); !errors.Is(err, test.want) || err.Error() != test.text {
			t.Errorf("%v: got error %v, want %s", test.options, err, test.text)
		}
	}
}

// TestDebugLinesUnlimited checks that lines of level debug, which are of single requests, are not limited to the rate.
func TestDebugLinesUnlimited(t *testing.T) {
	t.Cleanup(zap.ReplaceGlobals(zap.L()))
	var out strings.Builder
	if err := Setup(&out, Options{Format: "json", Level: "debug"}); err != nil {
		t.Fatal(err)
	}
	for range 10 * linesPerWindow {
		zap.L().Debug("request_read")
	}
	if n := strings.Count(out.String(), "request_read"); n != 10*linesPerWindow {
		t.Errorf("%d of %d lines were written", n, 10*linesPerWindow)
	}
}

// steppedClock is a wall clock that a test sets.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time                         { return c.now }
func (c *steppedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// TestSteppedBack sets the wall clock back by an hour: events are written as before, a second later.
func TestSteppedBack(t *testing.T) {
	t.Cleanup(zap.ReplaceGlobals(zap.L()))
	var out strings.Builder
	if err := Setup(&out, Options{Format: "json", Level: "info"}); err != nil {
		t.Fatal(err)
	}
	clock := &steppedClock{time.Now()}
	logger := zap.L().WithOptions(zap.WithClock(clock))
	for range 2 * linesPerWindow {
		logger.Warn("host_silent")
	}
	clock.now = clock.now.Add(-time.Hour)
	time.Sleep(sampleWindow + 50*time.Millisecond)
	out.Reset()
	if logger.Warn("host_silent"); !strings.Contains(out.String(), "host_silent") {
		t.Error("an event of a second later is dropped")
	}
}
