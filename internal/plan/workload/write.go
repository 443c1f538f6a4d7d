package workload

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"spurwinch/internal/operations/capture"
	"spurwinch/internal/plan/fleet"
)

const (
	generatedNode = "drawn" // prefix of the node names in generated captures
	writeQueue    = 1024    // maximum number of queued records
	writeTimeout  = time.Hour
)

// Write writes the load as capture files, as if one node in each zone had served its clients, and returns the names of
// the files. It writes no end for a connection that is open at the end of the load.
func (l *Load) Write(description *fleet.Fleet, path string) ([]string, error) {
	var files []string
	start := time.Now()
	for zone := -1; zone < len(description.Zones); zone++ {
		hasSessions := slices.ContainsFunc(l.Sessions, func(session Session) bool { return session.Zone == zone })
		if !hasSessions && zone != 0 { // zone 0 is written even if empty, because its file records the load's length
			continue
		}
		name, err := l.writeZone(description, path, zone, start)
		if err != nil {
			return nil, err
		}
		files = append(files, name)
	}
	return files, nil
}

// writeZone writes the sessions of one zone, or the sessions without a zone if zone is -1.
func (l *Load) writeZone(description *fleet.Fleet, path string, zone int, start time.Time) (string, error) {
	header := capture.Header{Node: generatedNode}
	if zone >= 0 {
		header.Zone = description.Zones[zone].Name
		header.Node += "-" + header.Zone
	}
	for _, class := range description.Classes {
		header.Classes = append(header.Classes, class.Name)
	}
	for _, tenant := range description.Tenants {
		header.Tenants = append(header.Tenants, tenant.Name)
	}
	var writeErr error
	writer, err := capture.NewWriter(capture.Options{
		Path:     path + "-" + header.Node,
		FileSize: math.MaxInt64,
		Files:    1,
		Share:    1,
		Key:      []byte("drawn: nobody's data"),
		Queue:    writeQueue,
		Header:   header,
		Start:    start,
		OnError:  func(err error) { writeErr = err },
	})
	if err != nil {
		return "", err
	}
	for _, record := range l.records(zone) {
		writer.PutWait(record)
	}
	writer.Close(time.Now().Add(writeTimeout))
	if writeErr != nil {
		return "", fmt.Errorf("%s: %w", path, writeErr)
	}
	return writer.Files()[0], nil
}

// records returns the records of a zone's sessions in time order.
func (l *Load) records(zone int) []capture.Record {
	type timedRecord struct {
		at     int64 // in microseconds since the beginning of the load
		record capture.Record
	}
	var timed []timedRecord
	add := func(at int64, record capture.Record) { timed = append(timed, timedRecord{at, record}) }
	for i := range l.Sessions {
		session := &l.Sessions[i]
		if session.Zone != zone {
			continue
		}
		at := session.Arrival.Microseconds()
		add(at, capture.Placed{
			At:     at,
			Seq:    uint64(i),
			Class:  session.Class,
			Tenant: session.Tenant,
			Client: session.Client,
			Group:  session.Group,
			Load:   session.Load,
		})
		if session.End() < l.Length {
			end := session.End().Microseconds()
			add(end, capture.Ended{At: end, Seq: uint64(i), Lifetime: session.Lifetime.Microseconds()})
		}
	}
	// The times of the first and the last record define the load's length.
	length := l.Length.Microseconds()
	add(0, capture.Dropped{})
	add(length, capture.Dropped{At: length})
	slices.SortStableFunc(timed, func(a, b timedRecord) int { return cmp.Compare(a.at, b.at) })
	records := make([]capture.Record, len(timed))
	for i := range timed {
		records[i] = timed[i].record
	}
	return records
}
