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

const captureCloseTimeout = 2 * time.Second // for the rest of a capture, at the program's end

// captureObserver hands what a core sees to a capture's writer.
type captureObserver struct {
	writer           *capture.Writer
	classes, tenants int // that the writer knows by name
}

// startCapture starts the capture of one core, or returns nil where none is set.
func (p *Program) startCapture(o config.Capture, name string, s choice.Settings, fields []string) (edge.Observer, error) {
	if o.Path == "" {
		return nil, nil
	}
	h := capture.Header{Node: name, Zone: s.Zone, Fields: fields}
	h.Classes, h.Tenants = classAndTenantNames(s)
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
	p.onClose = append(p.onClose, func() {
		if n := w.Dropped(); n > 0 {
			zap.L().Warn("capture_records_dropped", zap.Uint64("records", n))
		}
		w.Close(time.Now().Add(captureCloseTimeout))
	})
	zap.L().Info("capturing", zap.String("path", path), zap.Float64("share", o.Share))
	return &captureObserver{w, len(h.Classes), len(h.Tenants)}, nil
}

func classAndTenantNames(s choice.Settings) (classes, tenants []string) {
	for _, c := range s.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	return classes, tenants
}

// Settings tells the writer of new names; the tables only grow.
func (r *captureObserver) Settings(s choice.Settings) {
	if classes, tenants := classAndTenantNames(s); len(classes) > r.classes || len(tenants) > r.tenants {
		r.classes, r.tenants = len(classes), len(tenants)
		r.writer.Named(classes, tenants)
	}
}

func (r *captureObserver) Answered(a edge.Answered) {
	p := capture.Placed{At: r.writer.Offset(a.Arrived), Seq: a.Sequence, Class: a.Class, Tenant: a.Tenant, Client: a.Key, Group: a.Group,
		Load: a.Load, Returned: a.Returned, Patience: capture.Micros(a.Deadline.Sub(a.Arrived)), Took: capture.Micros(a.Took),
		Answer: capture.Answer(a.Answer)}
	for _, t := range a.Attempts {
		p.Tries = append(p.Tries, capture.Try{Host: string(t.Server), Outcome: uint8(t.Outcome), Took: capture.Micros(t.Took)})
	}
	r.writer.Put(p)
}

func (r *captureObserver) Ended(seq uint64, life time.Duration, load float64, cause edge.EndCause) {
	r.writer.Put(capture.Ended{At: r.writer.Offset(time.Now()), Seq: seq, Life: capture.Micros(life), Load: load, Cause: capture.Cause(cause)})
}

func (r *captureObserver) Report(h choice.ServerID, values []float64) {
	v := make([]float32, len(values))
	for i, x := range values {
		v[i] = float32(x)
	}
	r.writer.Put(capture.Report{At: r.writer.Offset(time.Now()), Host: string(h), Values: v})
}

func (r *captureObserver) ServerChanged(h edge.ServerEntry) {
	r.writer.Put(capture.Host{At: r.writer.Offset(time.Now()), ID: string(h.ID), Zone: h.Zone, Kind: h.Kind, State: uint8(h.State)})
}
