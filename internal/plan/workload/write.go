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

// Write writes the load as captures, as if a node in each centre had served its clients, and returns the files' names. What
// stands at the end has no end there.
func (l *Load) Write(f *fleet.Fleet, path string) ([]string, error) {
	var files []string
	began := time.Now()
	for c := -1; c < len(f.Centres); c++ {
		some := c == 0 // an empty load still has its length
		for i := range l.Sessions {
			some = some || l.Sessions[i].Zone == c
		}
		if !some {
			continue
		}
		name, err := l.write(f, path, c, began)
		if err != nil {
			return nil, err
		}
		files = append(files, name)
	}
	return files, nil
}

func (l *Load) write(f *fleet.Fleet, path string, centre int, began time.Time) (string, error) {
	h := capture.Header{Node: "drawn"}
	if centre >= 0 {
		h.Zone = f.Centres[centre].Name
		h.Node += "-" + h.Zone
	}
	for _, c := range f.Classes {
		h.Classes = append(h.Classes, c.Name)
	}
	for _, e := range f.Editions {
		h.Tenants = append(h.Tenants, e.Name)
	}
	var fault error
	w, err := capture.NewWriter(capture.Options{Path: path + "-" + h.Node, FileSize: math.MaxInt64, Files: 1, Share: 1,
		Key: []byte("drawn: nobody's data"), Queue: 1024, Header: h, Began: began, Fault: func(err error) { fault = err }})
	if err != nil {
		return "", err
	}
	type record struct {
		at int64
		r  capture.Record
	}
	var all []record
	for i, s := range l.Sessions {
		if s.Zone != centre {
			continue
		}
		at := s.Arrival.Microseconds()
		all = append(all, record{at, capture.Placed{At: at, Seq: uint64(i), Class: s.Class, Tenant: s.Tenant, Client: s.Client, Group: s.Group, Load: s.Load}})
		if end := s.Arrival + s.Lifetime; end < l.Length {
			all = append(all, record{end.Microseconds(), capture.Ended{At: end.Microseconds(), Seq: uint64(i), Life: s.Lifetime.Microseconds()}})
		}
	}
	// The first and the last record tell how long the load is.
	all = append(all, record{0, capture.Dropped{}}, record{l.Length.Microseconds(), capture.Dropped{At: l.Length.Microseconds()}})
	slices.SortStableFunc(all, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	for _, r := range all {
		w.PutWait(r.r)
	}
	w.Close(time.Now().Add(time.Hour))
	if fault != nil {
		return "", fmt.Errorf("%s: %w", path, fault)
	}
	return w.Files()[0], nil
}
