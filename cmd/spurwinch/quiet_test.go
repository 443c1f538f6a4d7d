package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestQuiet checks that a flood of log lines is cut to the rate, and that what was left out is told.
func TestQuiet(t *testing.T) {
	var out strings.Builder
	now := time.Unix(1, 0)
	q := &quiet{out: &out, now: func() time.Time { return now }}
	for i := range 1000 {
		fmt.Fprintf(q, "line %d\n", i)
	}
	if n := strings.Count(out.String(), "\n"); n != logBurst {
		t.Errorf("%d lines of a flood passed", n)
	}
	out.Reset()
	now = now.Add(time.Second)
	fmt.Fprint(q, "more\n")
	if out.String() != "900 lines left out\nmore\n" {
		t.Errorf("then came %q", out.String())
	}
}
