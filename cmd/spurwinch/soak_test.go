package main

import (
	"context"
	"testing"
	"time"

	"spurwinch/internal/lab/soak"
)

const (
	soakAttempts  = 4
	soakTimeout   = 2 * time.Minute
	firstSoakSeed = 11
)

// TestSoak runs a few processes for a few seconds under overlapping faults, which are drawn by the seed. It is the
// short form of spurwinchctl lab soak.
func TestSoak(t *testing.T) {
	program := buildAsDeployed(t)
	for name, test := range map[string]struct {
		only []string // faults that may be drawn; nil: all
		want []string // events that must have been seen
	}{
		"system calls and clocks": {
			only: []string{"calls", "clock", "stop"},
			want: []string{"trouble calls", "trouble clock", "planned stops"},
		},
		"everything": {want: []string{"requests", "repeats"}},
	} {
		t.Run(name, func(t *testing.T) {
			report := playSoak(t, program, test.only)
			for _, violation := range report.Violations {
				t.Errorf("%.2f s: %s: %s", violation.At.Seconds(), violation.Promise, violation.What)
			}
			for _, event := range test.want {
				if report.Seen[event] == 0 {
					t.Errorf("got no event %s in the run, want at least one", event)
				}
			}
		})
	}
}

// playSoak does one run and repeats it with other seeds if this machine was delayed.
func playSoak(t *testing.T, program string, only []string) soak.Report {
	t.Helper()
	for attempt := range soakAttempts {
		ctx, stop := context.WithTimeout(context.Background(), soakTimeout)
		report, err := soak.Run(ctx, soak.Options{
			Program:   program,
			Dir:       t.TempDir(),
			Seed:      uint64(firstSoakSeed + attempt),
			Nodes:     6,
			FaultTime: 6 * time.Second,
			Only:      only,
		})
		stop()
		if err != nil {
			t.Fatal(err)
		}
		if report.Judged {
			return report
		}
		t.Logf("not judged: %s", report.Why)
	}
	t.Fatal("none of four runs was judged because this machine was delayed in each of them")
	return soak.Report{}
}
