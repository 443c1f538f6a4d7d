package node

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/operate/capture"
)

const closeTime = 2 * time.Second // for the rest of a capture, at the program's end

// recorder hands what a core sees to a capture's writer.
type recorder struct {
	w                *capture.Writer
	classes, tenants int // that the writer knows by name
}

// record starts the capture of one core, or returns nil where none is set.
func (p *Program) record(o config.Capture, name string, s choice.Settings, fields []string) (edge.Observer, error) {
	if o.Path == "" {
		return nil, nil
	}
	h := capture.Header{Node: name, Zone: s.Zone, Fields: fields}
	h.Classes, h.Tenants = names(s)
	path := o.Path
	if name != "" {
		path += "-" + name
	}
	w, err := capture.NewWriter(capture.Options{Path: path, FileSize: int64(o.FileMB) << 20, Files: o.Files, Share: o.Share,
		Key: []byte(o.Key), Queue: o.Queue, Header: h,
		Fault: func(err error) { zap.L().Error("capture_write_failed", zap.Error(err)) }})
	if err != nil {
		return nil, fmt.Errorf("[capture] path = %q: %w", o.Path, err)
	}
	p.closers = append(p.closers, func() {
		if n := w.Dropped(); n > 0 {
			zap.L().Warn("capture_records_dropped", zap.Uint64("records", n))
		}
		w.Close(time.Now().Add(closeTime))
	})
	zap.L().Info("capturing", zap.String("path", path), zap.Float64("share", o.Share))
	return &recorder{w, len(h.Classes), len(h.Tenants)}, nil
}

func names(s choice.Settings) (classes, tenants []string) {
	for _, c := range s.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	return classes, tenants
}

// Settings tells the writer of new names; the tables only grow.
func (r *recorder) Settings(s choice.Settings) {
	if classes, tenants := names(s); len(classes) > r.classes || len(tenants) > r.tenants {
		r.classes, r.tenants = len(classes), len(tenants)
		r.w.Named(classes, tenants)
	}
}

func (r *recorder) Answered(a edge.Answered) {
	p := capture.Placed{At: r.w.Offset(a.Arrived), Seq: a.Seq, Class: a.Class, Tenant: a.Tenant, Client: a.Key, Group: a.Group,
		Load: a.Load, Returned: a.Returned, Patience: capture.Micros(a.Deadline.Sub(a.Arrived)), Took: capture.Micros(a.Took),
		Answer: capture.Answer(a.Answer)}
	for _, t := range a.Attempts {
		p.Tries = append(p.Tries, capture.Try{Host: string(t.Server), Outcome: uint8(t.Outcome), Took: capture.Micros(t.Took)})
	}
	r.w.Put(p)
}

func (r *recorder) Ended(seq uint64, life time.Duration, load float64, cause edge.EndCause) {
	r.w.Put(capture.Ended{At: r.w.Offset(time.Now()), Seq: seq, Life: capture.Micros(life), Load: load, Cause: capture.Cause(cause)})
}

func (r *recorder) Report(h choice.ServerID, values []float64) {
	v := make([]float32, len(values))
	for i, x := range values {
		v[i] = float32(x)
	}
	r.w.Put(capture.Report{At: r.w.Offset(time.Now()), Host: string(h), Values: v})
}

func (r *recorder) ServerChanged(h edge.ServerEntry) {
	r.w.Put(capture.Host{At: r.w.Offset(time.Now()), ID: string(h.ID), Zone: h.Zone, Kind: h.Kind, State: uint8(h.State)})
}
