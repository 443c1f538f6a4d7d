package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurwinch/deploy"
)

// call runs a command and returns its output and its error's text.
func call(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := root()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

// TestEvening goes the operators' way from a load to its plans, on a small fleet.
func TestEvening(t *testing.T) {
	dir := t.TempDir()
	fleetFile := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(fleetFile, deploy.FleetEvening, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := call(t, "capture", "draw", "--fleet", fleetFile, "--standing", "40", "--length", "20s", "--out", filepath.Join(dir, "load")); err != nil {
		t.Fatal(out, err)
	}
	caps := filepath.Join(dir, "load*")
	files, _ := filepath.Glob(caps)
	if out, err := call(t, append([]string{"check", fleetFile}, files...)...); err != nil || strings.Count(out, "a sound") != 1+len(files) {
		t.Error(out, err)
	}
	if out, err := call(t, "capture", "summary", caps); err != nil || !strings.Contains(out, "Capture of 4 nodes") {
		t.Error(out, err)
	}
	plan := func(args ...string) (string, error) {
		return call(t, append([]string{"plan", args[0], "--load", caps, "--fleet", fleetFile, "--reps", "2"}, args[1:]...)...)
	}
	a, err := plan("forecast", "--json")
	b, _ := plan("forecast", "--json")
	var f struct {
		Service struct{ Mean float64 }
		First   struct{ Limit string } `json:"first_to_break"`
	}
	if err != nil || a != b || json.Unmarshal([]byte(a), &f) != nil || f.Service.Mean <= 0.3 || f.First.Limit == "" {
		t.Error("one seed, two answers, or none: ", a, b, err)
	}
	svg := filepath.Join(dir, "size.svg")
	if out, err := plan("size", "--target", "0.8", "--plot", svg); err != nil || !strings.Contains(out, "Least: ") || !strings.Contains(out, "less: ") {
		t.Error(out, err)
	}
	if i, err := os.Stat(svg); err != nil || i.Size() < 1000 {
		t.Error("no plot", err)
	}
	if out, err := plan("lose", "--centre", "cluj-1"); err != nil || !strings.Contains(out, "storm of returns") || !strings.Contains(out, "3 of 13 servers, 1 of 4 nodes") {
		t.Error(out, err)
	}
	// What can't be has status 1 where the answer is no, and 2 where the question is bad.
	slow := strings.Replace(string(deploy.FleetEvening), "rate = 40 ", "rate = 0.01 ", 1)
	if err := os.WriteFile(fleetFile, []byte(slow), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		want int
		args []string
	}{
		{1, []string{"plan", "size", "--load", caps, "--fleet", fleetFile, "--reps", "1", "--most", "20"}},
		{2, []string{"plan", "size", "--load", caps, "--fleet", fleetFile, "--target", "1.5"}},
		{2, []string{"plan", "forecast", "--load", filepath.Join(dir, "none*"), "--fleet", fleetFile}},
		{2, []string{"plan", "forecast", "--load", fleetFile, "--fleet", fleetFile}},
		{2, []string{"plan", "lose", "--load", caps, "--fleet", fleetFile, "--centre", "mars"}},
		{2, []string{"plan", "forecast", "--fleet", fleetFile}},
		{2, []string{"check", caps}},
		{2, []string{"no-such"}},
		{0, []string{"completion", "bash"}},
	} {
		if got := run(k.args); got != k.want {
			t.Errorf("%v ended with status %d, want %d", k.args, got, k.want)
		}
	}
}
