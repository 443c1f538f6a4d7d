package main

import (
	"context"
	"testing"
	"time"

	"spurwinch/internal/lab/soak"
)

// TestSoak plays few processes for a few seconds while troubles cross, drawn by seed: the short form of spurwinchctl lab soak.
func TestSoak(t *testing.T) {
	bin := buildAsDeployed(t)
	for name, c := range map[string]struct {
		only  []string
		wants []string // must have been seen
	}{
		"system calls and clocks": {[]string{"calls", "clock", "stop"}, []string{"trouble calls", "trouble clock", "planned stops"}},
		"everything":              {nil, []string{"requests", "repeats"}},
	} {
		t.Run(name, func(t *testing.T) {
			for try := range 4 {
				ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
				r, err := soak.Run(ctx, soak.Options{Program: bin, Dir: t.TempDir(), Seed: uint64(11 + try), Nodes: 6, Time: 6 * time.Second, Only: c.only})
				stop()
				if err != nil {
					t.Fatal(err)
				}
				if !r.Judged {
					t.Logf("not judged: %s", r.Why)
					continue
				}
				for _, v := range r.Violations {
					t.Errorf("%.2f s: %s: %s", v.At.Seconds(), v.Promise, v.What)
				}
				for _, what := range c.wants {
					if r.Seen[what] == 0 {
						t.Errorf("no %s: the run shows nothing of it", what)
					}
				}
				return
			}
			t.Error("not judged: this machine was late in each of four runs")
		})
	}
}
