// Package logs sets up the structured log of the programs with zap. Each line has the name of an event, and fields
// whose names include their units. The number of lines per second is limited for each event.
//
// internal/node/command calls Setup once, before anything is logged. From then on, the log is zap's global logger.
package logs

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	sampleWindow   = time.Second
	linesPerWindow = 20 // lines written for one event in a window; further lines are dropped and counted
)

var (
	// ErrUnknownLevel means that Options.Level is not a known level.
	ErrUnknownLevel = errors.New("unknown log level")
	// ErrUnknownFormat means that Options.Format is not a known format.
	ErrUnknownFormat = errors.New("unknown log format")
)

// Options are the format and the level of a program's log.
type Options struct {
	Format string // "console" or "json"
	Level  string // "debug", "info", "warn" or "error"
}

// Setup replaces the logger that zap.L returns by one that writes to out. The logger drops lines over the limit; the
// next line that it writes has the number of dropped lines in the field left_out_lines. The error is ErrUnknownLevel or
// ErrUnknownFormat.
func Setup(out io.Writer, options Options) error {
	level, err := zapcore.ParseLevel(options.Level)
	if err != nil || level > zapcore.ErrorLevel {
		return fmt.Errorf("%w %q: must be debug, info, warn or error", ErrUnknownLevel, options.Level)
	}
	encoder, err := newEncoder(options.Format)
	if err != nil {
		return err
	}
	dropped := new(atomic.Int64)
	output := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), level)
	complete := droppedCountCore{Core: output, dropped: dropped}
	countDropped := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			dropped.Add(1)
		}
	}
	sampled := zapcore.NewSamplerWithOptions(complete, sampleWindow, linesPerWindow, 0,
		zapcore.SamplerHook(countDropped))
	zap.ReplaceGlobals(zap.New(sampledCore{Core: sampled, complete: complete, start: time.Now()}))
	return nil
}

func newEncoder(format string) (zapcore.Encoder, error) {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.CallerKey = ""
	config.StacktraceKey = ""
	switch format {
	case "json":
		config.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000000Z07:00")
		return zapcore.NewJSONEncoder(config), nil
	case "console":
		config.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000000")
		config.EncodeLevel = zapcore.CapitalLevelEncoder
		config.ConsoleSeparator = " "
		return zapcore.NewConsoleEncoder(config), nil
	default:
		return nil, fmt.Errorf("%w %q: must be console or json", ErrUnknownFormat, format)
	}
}

// sampledCore writes all lines of level debug, which describe single requests, and limits the other lines. It passes
// the sampler the start time plus the time elapsed since then, and not the wall clock. If the wall clock were set back,
// the sampler would otherwise drop an event until the clock has caught up.
type sampledCore struct {
	zapcore.Core              // the sampler, which passes lines on to complete
	complete     zapcore.Core // writes lines without a limit
	start        time.Time
}

// With returns a core that adds fields to each line.
func (c sampledCore) With(fields []zapcore.Field) zapcore.Core {
	return sampledCore{Core: c.Core.With(fields), complete: c.complete.With(fields), start: c.start}
}

// Check adds the core to those that write the entry, if the entry is within its limit.
func (c sampledCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Level == zapcore.DebugLevel {
		return c.complete.Check(entry, checked)
	}
	wallTime := entry.Time
	entry.Time = c.start.Add(time.Since(c.start))
	checked = c.Core.Check(entry, checked)
	if checked != nil {
		checked.Time = wallTime
	}
	return checked
}

// droppedCountCore adds to each line the number of lines that were dropped before it.
type droppedCountCore struct {
	zapcore.Core
	dropped *atomic.Int64 // lines dropped since the last line that was written
}

// With returns a core that adds fields to each line.
func (c droppedCountCore) With(fields []zapcore.Field) zapcore.Core {
	return droppedCountCore{Core: c.Core.With(fields), dropped: c.dropped}
}

// Check adds the core to those that write the entry, if its level is enabled.
func (c droppedCountCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write writes one line, with the number of dropped lines if there are any.
func (c droppedCountCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if count := c.dropped.Swap(0); count > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("left_out_lines", count))
	}
	return c.Core.Write(entry, fields)
}
