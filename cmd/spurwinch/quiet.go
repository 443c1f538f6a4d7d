package main

import (
	"fmt"
	"io"
	"time"
)

const (
	logBurst  = 100 // lines at once
	logPerSec = 20  // lines a second in the long run
)

// quiet passes log lines on at a bounded rate: clients that send what can't be read by the thousand must not fill the
// operator's disk, nor take the node's time for writing. How many lines were left out is told with the next one passed.
type quiet struct {
	out   io.Writer
	now   func() time.Time
	since time.Time
	spent float64 // lines passed, less what the time since has given back
	left  int
}

func (q *quiet) Write(line []byte) (int, error) {
	now := q.now()
	q.spent = max(0, q.spent-logPerSec*now.Sub(q.since).Seconds())
	q.since = now
	if q.spent+1 > logBurst {
		q.left++
		return len(line), nil
	}
	q.spent++
	if q.left > 0 {
		line = fmt.Appendf(nil, "%d lines left out\n%s", q.left, line)
		q.left = 0
	}
	if _, err := q.out.Write(line); err != nil {
		return 0, err
	}
	return len(line), nil
}
