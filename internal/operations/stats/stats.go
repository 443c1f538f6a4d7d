// Package stats provides a node's counters and writes them, with its gauges, as text.
//
// The counters are plain numbers that only the goroutine of the event loop may use. The metric names in the text are
// those of the operators' documentation ("refused", "hosts_known"); this package maps the terms of the code to them.
package stats

import (
	"slices"
	"strconv"
	"strings"

	"spurwinch/internal/edge"
)

// Counters are the counts of one process since its start.
type Counters struct {
	Attempts      uint64        // attempts that were written completely to a server
	ReloadsOK     uint64        // reloads of the configuration that took effect
	ReloadsFailed uint64        // reloads that were rejected
	classes       []classCounts // sorted by name
}

type classCounts struct {
	name string // as written in the text, with the replacements of escapeName
	*edge.Counts
}

const prefix = "gw" // first part of each metric name

// metricKind is the type of a metric, as written in the text.
type metricKind byte

const (
	counter metricKind = 'c'
	gauge   metricKind = 'g'
)

// Attempt counts an attempt whose request line was written completely to the kernel.
func (c *Counters) Attempt() { c.Attempts++ }

// Class returns the counters of a class. A name has the same counters as long as the process runs, so that a class that
// is removed from the settings and added again continues with its earlier counts.
func (c *Counters) Class(name string) *edge.Counts {
	name = escapeName(name)
	i, ok := slices.BinarySearchFunc(c.classes, name, func(class classCounts, name string) int {
		return strings.Compare(class.name, name)
	})
	if !ok {
		c.classes = slices.Insert(c.classes, i, classCounts{name, &edge.Counts{}})
	}
	return c.classes[i].Counts
}

// escapeName replaces the separators of a line, and all characters other than printable ASCII, by underscores.
func escapeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r >= 0x7f || r == ':' || r == '|' || r == '.' {
			return '_'
		}
		return r
	}, name)
}

// Append appends all counters and the given gauges to buf, one per line, and returns the extended buffer.
func (c *Counters) Append(buf []byte, gauges edge.Gauges) []byte {
	for _, class := range c.classes {
		buf = AppendCounter(buf, class.Served, "requests", class.name, "served")
		buf = AppendCounter(buf, class.Rejected, "requests", class.name, "refused")
		buf = AppendCounter(buf, class.Failed, "requests", class.name, "failed")
	}
	buf = AppendCounter(buf, c.Attempts, "attempts")
	buf = appendGauge(buf, gauges.InFlight, "in_flight")
	buf = appendGauge(buf, gauges.ServersKnown, "hosts_known")
	buf = appendGauge(buf, gauges.ServersExcluded, "hosts_excluded")
	buf = AppendCounter(buf, c.ReloadsOK, "reloads_ok")
	return AppendCounter(buf, c.ReloadsFailed, "reloads_failed")
}

// AppendCounter appends one counter to buf, in the format of Counters.Append. Dots join the parts of its name.
func AppendCounter(buf []byte, value uint64, name ...string) []byte {
	return appendMetric(buf, value, counter, name...)
}

func appendGauge(buf []byte, value int, name string) []byte {
	return appendMetric(buf, uint64(max(0, value)), gauge, name)
}

// appendMetric appends a line in the StatsD format: gw.NAME:VALUE|KIND. Dots join the parts of the name.
func appendMetric(buf []byte, value uint64, kind metricKind, name ...string) []byte {
	buf = append(buf, prefix...)
	for _, part := range name {
		buf = append(buf, '.')
		buf = append(buf, part...)
	}
	buf = append(buf, ':')
	buf = strconv.AppendUint(buf, value, 10)
	return append(buf, '|', byte(kind), '\n')
}
