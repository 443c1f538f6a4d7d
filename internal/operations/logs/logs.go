// Package logs sets up the structured log of the programs, by zap: each line has the name of an event, and fields whose
// names carry their units. Of each event a limited number of lines a second is written.
//
// internal/node/command calls Setup once, before anything is logged; the log is zap's global logger from then on.
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
	linesPerWindow = 20 // lines of one event that are written in a window; the rest are counted
)

var (
	// ErrUnknownLevel says that Options.Level is none of the levels.
	ErrUnknownLevel = errors.New("unknown log level")
	// ErrUnknownFormat says that Options.Format is none of the formats.
	ErrUnknownFormat = errors.New("unknown log format")
)

// Options say how a program logs.
type Options struct {
	Format string // "console" or "json"
	Level  string // "debug", "info", "warn" or "error"
}

// Setup makes the logger of the process, which zap.L returns from then on, and has it write to out. Lines over the
// limit are dropped; the next line that is written has their number, as left_out_lines. The error is ErrUnknownLevel or
// ErrUnknownFormat.
func Setup(out io.Writer, options Options) error {
	level, err := zapcore.ParseLevel(options.Level)
	if err != nil || level > zapcore.ErrorLevel {
		return fmt.Errorf("%w %q: one of debug, info, warn, error", ErrUnknownLevel, options.Level)
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
		return nil, fmt.Errorf("%w %q: console or json", ErrUnknownFormat, format)
	}
}

// sampledCore writes all lines of level debug, which are of single requests, and others within their limit. The sampler
// gets the time that has passed since the start and not the wall clock: if that is set back, an event would be dropped
// until the clock has caught up.
type sampledCore struct {
	zapcore.Core              // the sampler in front of complete
	complete     zapcore.Core // without a limit
	start        time.Time
}

// With is the core with fields added to each line.
func (c sampledCore) With(fields []zapcore.Field) zapcore.Core {
	return sampledCore{Core: c.Core.With(fields), complete: c.complete.With(fields), start: c.start}
}

// Check adds the core to those that write the entry, if the entry is within its limit.
func (c sampledCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.Level == zapcore.DebugLevel {
		return c.complete.Check(entry, checked)
	}
	written := entry.Time
	entry.Time = c.start.Add(time.Since(c.start))
	checked = c.Core.Check(entry, checked)
	if checked != nil {
		checked.Time = written
	}
	return checked
}

// droppedCountCore adds to a line how many were dropped before it.
type droppedCountCore struct {
	zapcore.Core
	dropped *atomic.Int64 // since the last line that was written
}

// With is the core with fields added to each line.
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

// Write writes one line.
func (c droppedCountCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if count := c.dropped.Swap(0); count > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int64("left_out_lines", count))
	}
	return c.Core.Write(entry, fields)
}
