package logs

import (
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestLinesOfOneEventAreLimited checks that the rate limit drops lines of one event, that it does not drop another
// event, and that the number of dropped lines is logged.
func TestLinesOfOneEventAreLimited(t *testing.T) {
	t.Cleanup(zap.ReplaceGlobals(zap.L()))
	var out strings.Builder
	if err := Setup(&out, Options{Format: "json", Level: "info"}); err != nil {
		t.Fatal(err)
	}
	for range 1000 { // may span two of the sampler's windows
		zap.L().Warn("client_sent_garbage", zap.Int("bytes", 7))
	}
	if n := strings.Count(out.String(), "\n"); n < linesPerWindow || n > 3*linesPerWindow {
		t.Errorf("logging 1000 lines of one event: got %d lines, want %d to %d", n, linesPerWindow, 3*linesPerWindow)
	}
	out.Reset()
	zap.L().Warn("host_silent")
	for _, want := range []string{`"event":"host_silent"`, `"left_out_lines":9`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("logging another event: got %q, want %s in it", out.String(), want)
		}
	}
	for _, test := range []struct {
		options Options
		want    error
		text    string
	}{
		{Options{"xml", "info"}, ErrUnknownFormat, `unknown log format "xml": must be console or json`},
		{Options{"json", "loud"}, ErrUnknownLevel, `unknown log level "loud": must be debug, info, warn or error`},
	} {
		if err := Setup(&out, test.options); !errors.Is(err, test.want) || err.Error() != test.text {
			t.Errorf("Setup with %v: got error %v, want %s", test.options, err, test.text)
		}
	}
}

// TestDebugLinesUnlimited checks that the rate limit doesn't apply to lines of level debug, which describe single
// requests.
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
		t.Errorf("logging lines of level debug: got %d lines, want %d", n, 10*linesPerWindow)
	}
}

// steppedClock is a wall clock whose time a test sets.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time                         { return c.now }
func (c *steppedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// TestEventsAreWrittenAfterClockIsSetBack checks that an event is written again in the next window, a second later,
// after the wall clock was set back by an hour.
func TestEventsAreWrittenAfterClockIsSetBack(t *testing.T) {
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
		t.Error("logging an event in the next window after the clock was set back: got no line, want one")
	}
}
