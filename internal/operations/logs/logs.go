// Package logs sets up the programs' structured log: zap, with one event name a cause, fields that carry their units in
// their names, and a bound on how many lines of one event a second can bring.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	window = time.Second
	first  = 20 // lines of one event that pass in a window; the rest are counted
)

// Options say how a program logs.
type Options struct {
	Format string // "console" or "json"
	Level  string // "debug", "info", "warn" or "error"
}

// Setup makes the process's logger, which zap.L returns from then on. Lines beyond the bound are left out; the next
// line that passes tells how many, as left_out_lines.
func Setup(out io.Writer, o Options) error {
	level, err := zapcore.ParseLevel(o.Level)
	if err != nil || level > zapcore.ErrorLevel {
		return fmt.Errorf("unknown log level %q: one of debug, info, warn, error", o.Level)
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.MessageKey, c.CallerKey, c.StacktraceKey = "time", "event", "", ""
	c.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000000Z07:00")
	var enc zapcore.Encoder
	switch o.Format {
	case "json":
		enc = zapcore.NewJSONEncoder(c)
	case "console":
		c.EncodeLevel = zapcore.CapitalLevelEncoder
		c.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000000")
		c.ConsoleSeparator = " "
		enc = zapcore.NewConsoleEncoder(c)
	default:
		return fmt.Errorf("unknown log format %q: console or json", o.Format)
	}
	left := new(atomic.Int64)
	core := telling{zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(out)), level), left}
	sampled := zapcore.NewSamplerWithOptions(core, window, first, 0, zapcore.SamplerHook(
		func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				left.Add(1)
			}
		}))
	zap.ReplaceGlobals(zap.New(bounded{sampled, core, time.Now()}))
	return nil
}

// bounded has lines of level debug, which tell single requests, pass whole, and all others within their bound. The bound counts time that
// has passed: the wall clock may be stepped back, and an event would be shut up until it has caught up.
type bounded struct {
	zapcore.Core
	whole zapcore.Core
	began time.Time
}

func (b bounded) With(f []zapcore.Field) zapcore.Core {
	return bounded{b.Core.With(f), b.whole.With(f), b.began}
}

func (b bounded) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if e.Level == zapcore.DebugLevel {
		return b.whole.Check(e, c)
	}
	told := e.Time
	e.Time = b.began.Add(time.Since(b.began))
	if c = b.Core.Check(e, c); c != nil {
		c.Time = told
	}
	return c
}

// telling adds to a line how many were left out before it.
type telling struct {
	zapcore.Core
	left *atomic.Int64
}

func (t telling) With(f []zapcore.Field) zapcore.Core { return telling{t.Core.With(f), t.left} }

func (t telling) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if t.Enabled(e.Level) {
		return c.AddCore(e, t)
	}
	return c
}

func (t telling) Write(e zapcore.Entry, f []zapcore.Field) error {
	if n := t.left.Swap(0); n > 0 {
		f = append(f[:len(f):len(f)], zap.Int64("left_out_lines", n))
	}
	return t.Core.Write(e, f)
}
