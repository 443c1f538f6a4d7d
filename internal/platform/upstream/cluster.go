// Package upstream speaks the platform's protocol with its servers: attempts, relayed connections, health checks and
// load reports.
package upstream

import (
	"container/list"
	"math"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
)

// Names that servers give to a load report's values, where they differ from those of the settings.
var reportFieldAliases = map[string]string{
	"outstanding":  "inflight",
	"backlog":      "queue",
	"utilization":  "util",
	"recent_ms":    "latency_ms",
	"throughput":   "qps",
	"errors_per_s": "eps",
}

// Sink is the client's side of an upstream request. After ServerEnded or Served, and once the request is ended or given
// up, nothing is called.
type Sink interface {
	Established(upLine []byte) // the server's own UP line, which serves the client
	Forward(data []byte)       // what follows it, unchanged
	ServerEnded(reset bool)    // the server ended the connection after UP, by FIN or by a reset
	ServerDrained()            // the kernel has all that was to be written to the server
	Served(reply []byte)       // the server served the request to its end with this line, without UP
	CheckClient()              // reads the client's end, if it is in the socket; the attempt is given up then
}

// Cluster starts upstream requests and health checks at the platform's servers.
type Cluster struct {
	loop         *loop.Loop
	reportFields []string // names of a load report's values, in the order of the settings
	checkers     map[choice.ServerID]*healthChecker

	connected           list.List // of *healthChecker: those with a connection, the longest unused first
	maxCheckConnections int       // limit of connected; 0: none
}

// New makes a Cluster; reportFields are the names of a load report's values in the settings.
func New(eventLoop *loop.Loop, reportFields []string) *Cluster {
	return &Cluster{loop: eventLoop, reportFields: reportFields, checkers: map[choice.ServerID]*healthChecker{}}
}

// SetReportFields sets the names of a load report's values from now on.
func (c *Cluster) SetReportFields(reportFields []string) { c.reportFields = reportFields }

// Attempt starts an attempt. openLine is the client's OPEN line; only its d is rewritten.
func (c *Cluster) Attempt(attempt *edge.Attempt, openLine []byte, sink Sink) *Request {
	request := &Request{cluster: c, attempt: attempt, sink: sink, openLine: openLine}
	request.conn = c.loop.Dial(attempt.Server.Addr, attempt.ConnectBy(), request)
	return request
}

// parseReport reads "name=value,name=value" into the order of the settings. A value that is absent, not a number or
// below 0 is NaN; without any value the report is nil.
func (c *Cluster) parseReport(info []byte) []float64 {
	if len(info) == 0 {
		return nil
	}
	var report []float64
	for index, name := range c.reportFields {
		from, to := line.FindField(info, name)
		if from < 0 {
			from, to = line.FindField(info, reportFieldAliases[name])
		}
		if from < 0 {
			continue
		}
		value, ok := line.ParseNumber(string(info[from:to]))
		if !ok {
			continue
		}
		if report == nil {
			report = emptyReport(len(c.reportFields))
		}
		report[index] = value
	}
	return report
}

// emptyReport is a report without values.
func emptyReport(size int) []float64 {
	report := make([]float64, size)
	for index := range report {
		report[index] = math.NaN()
	}
	return report
}

// withDeadline rewrites d in the list of an OPEN line, in whole milliseconds; all else stays as it came.
func withDeadline(openLine []byte, left time.Duration) []byte {
	start := line.FieldsStart(openLine)
	from, to := line.FindField(openLine[start:], "d")
	if from < 0 {
		return openLine
	}
	rewritten := make([]byte, 0, len(openLine)+maxAddedDigits)
	rewritten = append(rewritten, openLine[:start+from]...)
	rewritten = strconv.AppendInt(rewritten, max(1, left.Milliseconds()), 10)
	return append(rewritten, openLine[start+to:]...)
}
