package workload

import (
	"math"
	"sort"
	"time"

	"spurwinch/internal/operations/capture"
)

// Captured holds the contents of the capture files of a fleet's nodes, merged in time order.
type Captured struct {
	Headers     []capture.Header
	Faults      []capture.Fault
	Classes     []string // all class names in the files, in order of first appearance
	Tenants     []string // all tenant names in the files, in order of first appearance
	Share       float64  // smallest sampled share of all files; Sessions scales the load by its inverse
	Begin       time.Time
	Length      time.Duration
	Dropped     uint64
	Requests    []Request // ordered by time
	ReportCount int
	Servers     map[string]*ServerStats
}

// Request is a captured request and the lifetime of its connection.
type Request struct {
	capture.Placed
	At           time.Duration // since Begin
	Node         int           // index in Headers
	Zone         string
	Class        int // index in Captured.Classes
	Tenant       int // index in Captured.Tenants; -1: none
	Lifetime     time.Duration
	Ended        bool // false if the connection was transferred or still open at the end, or if its end was lost
	Cause        capture.Cause
	ReportedLoad float64 // last reported load; 0: never reported
}

// load returns the last reported load, or the load that the request announced if none was reported. 0 means unknown.
func (r *Request) load() float64 {
	if r.ReportedLoad > 0 {
		return r.ReportedLoad
	}
	return r.Load
}

// ServerStats summarizes the load reports of one server.
type ServerStats struct {
	Kind    string  `json:"Kind"`
	Zone    string  `json:"Zone"`
	Reports int     `json:"Reports"`
	Load    float64 `json:"Load"` // mean of the reported field x0, or of utilization if the reports have no x0
	Peak    float64 `json:"Peak"` // largest reported load
}

// ReadCaptures reads the capture files of one or more nodes. It returns an error if a file can't be used at all. Damage
// within a file is recorded in Faults.
func ReadCaptures(files []string) (*Captured, error) {
	merger := &captureMerger{
		captured: &Captured{Share: 1, Servers: map[string]*ServerStats{}},
		classes:  map[string]int{},
		tenants:  map[string]int{},
		open:     map[connectionKey]int{},
	}
	for _, name := range files {
		if err := merger.readFile(name); err != nil {
			return nil, err
		}
	}
	return merger.finish(), nil
}

// connectionKey identifies a connection across all files by its node, the start of the node's run and the sequence
// number of the request in that run.
type connectionKey struct {
	node     string
	run      int64
	sequence uint64
}

// captureMerger merges the records of several files into one Captured.
type captureMerger struct {
	captured *Captured
	classes  map[string]int        // index in captured.Classes by name
	tenants  map[string]int        // index in captured.Tenants by name
	open     map[connectionKey]int // index in captured.Requests of each connection that has not ended yet
	starts   []int64               // arrival of each request, in nanoseconds of Unix time
	first    int64                 // time of the earliest record, in nanoseconds of Unix time; 0: none yet
	last     int64                 // time of the latest record, in nanoseconds of Unix time
}

// captureFile is the state of the file that readFile is reading.
type captureFile struct {
	header    capture.Header
	started   bool // at least one record was read
	node      int  // index of the header in Captured.Headers
	loadField int  // index of the load among a report's values; -1: none
}

func (m *captureMerger) readFile(name string) error {
	var file captureFile
	header, faults, err := capture.ReadFile(name, func(header capture.Header, record capture.Record) {
		if !file.started {
			file = m.startFile(header)
		}
		m.add(&file, record)
	})
	if err != nil {
		return err
	}
	if !file.started { // the file has a header but no records
		m.captured.Headers = append(m.captured.Headers, header)
	}
	m.captured.Faults = append(m.captured.Faults, faults...)
	return nil
}

func (m *captureMerger) startFile(header capture.Header) captureFile {
	file := captureFile{header: header, started: true, node: len(m.captured.Headers), loadField: -1}
	m.captured.Headers = append(m.captured.Headers, header)
	for i, field := range header.Fields {
		if field == "x0" || field == "utilization" && file.loadField < 0 {
			file.loadField = i
		}
	}
	if header.Share > 0 {
		m.captured.Share = min(m.captured.Share, header.Share)
	}
	return file
}

func (m *captureMerger) add(file *captureFile, record capture.Record) {
	switch record := record.(type) {
	case capture.Placed:
		m.addRequest(file, record)
	case capture.Ended:
		m.observeTime(file, record.At)
		m.endConnection(file, record)
	case capture.Report:
		m.observeTime(file, record.At)
		m.addReport(file, record)
	case capture.Host:
		server := m.captured.server(record.ID)
		server.Kind = record.Kind
		server.Zone = record.Zone
	case capture.Dropped:
		m.observeTime(file, record.At)
		m.captured.Dropped += record.Count
	}
}

// observeTime extends the captured period to include a time, which is given in microseconds since the file's start. It
// returns the time in nanoseconds of Unix time.
func (m *captureMerger) observeTime(file *captureFile, at int64) int64 {
	unix := file.header.Start + at*1000
	if m.first == 0 || unix < m.first {
		m.first = unix
	}
	m.last = max(m.last, unix)
	return unix
}

func (m *captureMerger) addRequest(file *captureFile, record capture.Placed) {
	header := &file.header
	request := Request{
		Placed: record,
		Node:   file.node,
		Zone:   header.Zone,
		Class:  indexOfName(m.classes, &m.captured.Classes, header.Classes[record.Class]),
		Tenant: -1,
	}
	if record.Tenant >= 0 {
		request.Tenant = indexOfName(m.tenants, &m.captured.Tenants, header.Tenants[record.Tenant])
	}
	if record.Answer == capture.Open {
		m.open[connectionKey{header.Node, header.Start, record.Seq}] = len(m.captured.Requests)
	}
	m.captured.Requests = append(m.captured.Requests, request)
	m.starts = append(m.starts, m.observeTime(file, record.At))
}

func (m *captureMerger) endConnection(file *captureFile, record capture.Ended) {
	key := connectionKey{file.header.Node, file.header.Start, record.Seq}
	i, ok := m.open[key]
	if !ok {
		return
	}
	request := &m.captured.Requests[i]
	request.Lifetime = capture.Duration(record.Lifetime)
	request.Ended = record.Cause != capture.Transferred
	request.Cause = record.Cause
	request.ReportedLoad = record.Load
	delete(m.open, key)
}

func (m *captureMerger) addReport(file *captureFile, record capture.Report) {
	m.captured.ReportCount++
	server := m.captured.server(record.Host)
	if file.loadField < 0 || file.loadField >= len(record.Values) {
		return
	}
	load := float64(record.Values[file.loadField])
	if math.IsNaN(load) { // the server left the field out
		return
	}
	server.Reports++
	server.Load += (load - server.Load) / float64(server.Reports)
	server.Peak = max(server.Peak, load)
}

// finish sorts the requests by time and makes their times relative to the first record. Connections without a recorded
// end last until the end of the capture.
func (m *captureMerger) finish() *Captured {
	captured := m.captured
	captured.Begin = time.Unix(0, m.first)
	captured.Length = time.Duration(m.last - m.first)
	for i := range captured.Requests {
		captured.Requests[i].At = time.Duration(m.starts[i] - m.first)
	}
	for _, i := range m.open {
		request := &captured.Requests[i]
		request.Lifetime = captured.Length - request.At - capture.Duration(request.Took)
	}
	sort.SliceStable(captured.Requests, func(i, j int) bool {
		return captured.Requests[i].At < captured.Requests[j].At
	})
	return captured
}

// indexOfName returns the index of a name in a list. It appends the name if the list does not have it yet.
func indexOfName(indexes map[string]int, list *[]string, name string) int {
	i, ok := indexes[name]
	if !ok {
		i = len(*list)
		indexes[name] = i
		*list = append(*list, name)
	}
	return i
}

// maxServers bounds the number of servers in Captured.Servers. The figures of further servers are discarded.
const maxServers = 1 << 17

// server returns the figures of the server with the given ID, which it adds if necessary.
func (c *Captured) server(id string) *ServerStats {
	server := c.Servers[id]
	if server != nil {
		return server
	}
	server = &ServerStats{}
	if len(c.Servers) < maxServers {
		c.Servers[id] = server
	}
	return server
}
