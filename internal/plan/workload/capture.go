package workload

import (
	"math"
	"sort"
	"time"

	"spurwinch/internal/operations/capture"
)

// Captured holds the contents of the capture files of a fleet's nodes, merged in the order of time.
type Captured struct {
	Headers     []capture.Header
	Faults      []capture.Fault
	Classes     []string // all names in the files, in the order of first mention
	Tenants     []string
	Share       float64 // least sampled share of the files, which the rates are divided by
	Begin       time.Time
	Length      time.Duration
	Dropped     uint64
	Requests    []Request // by time
	ReportCount int
	Servers     map[string]*ServerStats
}

// Request is a captured request with the lifetime of its connection.
type Request struct {
	capture.Placed
	At           time.Duration // since Begin
	Node         int           // index in Headers
	Zone         string
	Class        int // index in Captured.Classes
	Tenant       int // index in Captured.Tenants; -1: none
	Lifetime     time.Duration
	Ended        bool // else the connection was open at the end of the capture, or its end was lost
	Cause        capture.Cause
	ReportedLoad float64 // as reported last; 0: never
}

// load returns the load that was reported last, or else the one that the request announced; 0: unknown.
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
	Load    float64 `json:"Load"` // mean of the load in reports: the field x0, else utilization
	Peak    float64 `json:"Peak"` // largest
}

// ReadCaptures reads the files of one or more nodes. An error means that a file can't be used at all; damage within a
// file is in Faults.
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

// connectionKey identifies a connection over all files: a node, its run, and a number of the run.
type connectionKey struct {
	node     string
	run      int64
	sequence uint64
}

// captureMerger merges the records of files into one Captured.
type captureMerger struct {
	captured *Captured
	classes  map[string]int // indexes by name
	tenants  map[string]int
	open     map[connectionKey]int // index of the request whose connection has not ended yet
	starts   []int64               // of each request, in nanoseconds of Unix time
	first    int64                 // time of the earliest record, likewise; 0: none yet
	last     int64
}

// captureFile is the file that is being read.
type captureFile struct {
	header    capture.Header
	started   bool // a record was read
	node      int  // index in Captured.Headers
	loadField int  // index of the load in reports; -1: none
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
	if !file.started { // nothing but a header
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

// observeTime extends the captured period by a time in microseconds since the file's start. It returns that time in
// nanoseconds of Unix time.
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

// finish puts the requests in the order of time, relative to the first record.
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

// indexOfName returns the index of a name in a list, which it is appended to where it is new.
func indexOfName(indexes map[string]int, list *[]string, name string) int {
	i, ok := indexes[name]
	if !ok {
		i = len(*list)
		indexes[name] = i
		*list = append(*list, name)
	}
	return i
}

// maxServers bounds the servers that a capture is summarized by; those beyond are not kept.
const maxServers = 1 << 17

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
