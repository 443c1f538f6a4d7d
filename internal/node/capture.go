package node

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/operations/capture"
)

const captureCloseTimeout = 2 * time.Second // for writing the rest of a capture when the program ends

// captureObserver records the events of one core in a capture. The core calls it on the loop as its edge.Observer. The
// writer writes in its own goroutine.
type captureObserver struct {
	writer  *capture.Writer
	classes int // number of classes whose names the writer knows
	tenants int // number of tenants whose names the writer knows
}

// startCapture starts the capture of one core. Without a path it starts no capture and returns a nil observer.
func (p *Program) startCapture(
	options config.Capture, name string, settings choice.Settings, fields []string,
) (edge.Observer, error) {
	if options.Path == "" {
		return nil, nil
	}
	header := capture.Header{Node: name, Zone: settings.Zone, Fields: fields}
	header.Classes, header.Tenants = classAndTenantNames(settings)
	path := options.Path
	if name != "" {
		path += "-" + name
	}
	writer, err := capture.NewWriter(capture.Options{
		Path: path, FileSize: int64(options.FileMB) << 20, Files: options.Files, Share: options.Fraction,
		Key: []byte(options.Key), Queue: options.Queue, Header: header,
		OnError: func(err error) { zap.L().Error("capture_write_failed", zap.Error(err)) },
	})
	if err != nil {
		return nil, fmt.Errorf("[capture] path = %q: %w", options.Path, err)
	}
	p.onClose = append(p.onClose, func() {
		if dropped := writer.Dropped(); dropped > 0 {
			zap.L().Warn("capture_records_dropped", zap.Uint64("records", dropped))
		}
		writer.Close(time.Now().Add(captureCloseTimeout))
	})
	zap.L().Info("capturing", zap.String("path", path), zap.Float64("share", options.Fraction))
	return &captureObserver{writer: writer, classes: len(header.Classes), tenants: len(header.Tenants)}, nil
}

// classAndTenantNames returns the names of all classes and tenants, in the order of the settings.
func classAndTenantNames(settings choice.Settings) (classes, tenants []string) {
	for _, class := range settings.Classes {
		classes = append(classes, class.Name)
	}
	for _, tenant := range settings.Tenants {
		tenants = append(tenants, tenant.Name)
	}
	return classes, tenants
}

// Settings records the names of new classes and tenants. The tables of classes and tenants only grow.
func (o *captureObserver) Settings(settings choice.Settings) {
	classes, tenants := classAndTenantNames(settings)
	if len(classes) > o.classes || len(tenants) > o.tenants {
		o.classes = len(classes)
		o.tenants = len(tenants)
		o.writer.SetNames(classes, tenants)
	}
}

// Answered records a request's final answer and its attempts.
func (o *captureObserver) Answered(answered edge.Answered) {
	record := capture.Placed{
		At: o.writer.Offset(answered.Arrived), Seq: answered.Sequence, Class: answered.Class, Tenant: answered.Tenant,
		Client: answered.Key, Group: answered.Group, Load: answered.Load, Returned: answered.Returned,
		TimeLeft: capture.Micros(answered.Deadline.Sub(answered.Arrived)), Took: capture.Micros(answered.Took),
		Answer: capture.Answer(answered.Answer),
	}
	for _, attempt := range answered.Attempts {
		record.Attempts = append(record.Attempts, capture.Attempt{
			Host: string(attempt.Server), Outcome: uint8(attempt.Outcome), Took: capture.Micros(attempt.Took),
		})
	}
	o.writer.Put(record)
}

// Ended records the end of an established connection.
func (o *captureObserver) Ended(
	sequence uint64, lifetime time.Duration, load float64, cause edge.EndCause,
) {
	o.writer.Put(capture.Ended{
		At: o.writer.Offset(time.Now()), Seq: sequence, Lifetime: capture.Micros(lifetime), Load: load,
		Cause: capture.Cause(cause),
	})
}

// Report records a server's load report. The values are in the order of the header's Fields. NaN means that the server
// did not report the value.
func (o *captureObserver) Report(server choice.ServerID, values []float64) {
	recorded := make([]float32, len(values))
	for i, value := range values {
		recorded[i] = float32(value)
	}
	o.writer.Put(capture.Report{At: o.writer.Offset(time.Now()), Host: string(server), Values: recorded})
}

// ServerChanged records an entry of the server list.
func (o *captureObserver) ServerChanged(server edge.ServerEntry) {
	o.writer.Put(capture.Host{
		At: o.writer.Offset(time.Now()), ID: string(server.ID), Zone: server.Zone, Kind: server.Kind,
		State: uint8(server.State),
	})
}
