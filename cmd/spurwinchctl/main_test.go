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

// execute runs a command and returns its output (standard output and error) and the returned error.
func execute(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	command := rootCommand()
	command.SetArgs(args)
	command.SetOut(&out)
	command.SetErr(&out)
	err := command.Execute()
	return out.String(), err
}

// planFiles are the input files of the plan commands.
type planFiles struct {
	fleet    string
	captures string // pattern
}

// plan runs a plan command on the files.
func (f planFiles) plan(t *testing.T, name string, args ...string) (string, error) {
	t.Helper()
	common := []string{"plan", name, "--load", f.captures, "--fleet", f.fleet, "--reps", "2"}
	return execute(t, append(common, args...)...)
}

// TestCaptureToPlans runs the commands that an operator uses to get from a load to its plans, for a small fleet.
func TestCaptureToPlans(t *testing.T) {
	dir := t.TempDir()
	files := planFiles{fleet: filepath.Join(dir, "fleet.toml"), captures: filepath.Join(dir, "load*")}
	if err := os.WriteFile(files.fleet, deploy.ExampleFleet, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := execute(t, "capture", "draw", "--fleet", files.fleet, "--standing", "40", "--length", "20s",
		"--out", filepath.Join(dir, "load")); err != nil {
		t.Fatal(out, err)
	}
	checkCaptures(t, files)
	checkForecast(t, files)
	checkSize(t, files, filepath.Join(dir, "size.svg"))
	checkLoss(t, files)
	checkStatuses(t, files, filepath.Join(dir, "none*"))
}

func checkCaptures(t *testing.T, files planFiles) {
	t.Helper()
	captures, err := filepath.Glob(files.captures)
	if err != nil {
		t.Fatal(err)
	}
	out, err := execute(t, append([]string{"check", files.fleet}, captures...)...)
	if err != nil || strings.Count(out, ": valid ") != 1+len(captures) {
		t.Error("check: got an error or an invalid file, want each file valid:", out, err)
	}
	out, err = execute(t, "capture", "summary", files.captures)
	if err != nil || !strings.Contains(out, "Capture of 4 nodes") {
		t.Error("capture summary: got an error or another summary, want that of 4 nodes:", out, err)
	}
}

func checkForecast(t *testing.T, files planFiles) {
	t.Helper()
	first, err := files.plan(t, "forecast", "--json")
	if err != nil {
		t.Error("plan forecast --json: got an error, want none:", err)
	}
	second, err := files.plan(t, "forecast", "--json")
	if err != nil {
		t.Error("plan forecast --json: got an error, want none:", err)
	}
	if first != second {
		t.Error("plan forecast: got different forecasts for the same seed, want equal ones: ", first, second)
	}
	var forecast struct {
		Service struct{ Mean float64 }
		First   struct{ Limit string } `json:"first_to_break"`
	}
	if err := json.Unmarshal([]byte(first), &forecast); err != nil {
		t.Error("plan forecast --json: got an error on decoding, want a JSON object:", err)
	}
	if forecast.Service.Mean <= 0.3 || forecast.First.Limit == "" {
		t.Error("plan forecast: got no service over 0.3 or no first limit, want both: ", first)
	}
}

func checkSize(t *testing.T, files planFiles, plotPath string) {
	t.Helper()
	out, err := files.plan(t, "size", "--target", "0.8", "--plot", plotPath)
	if err != nil || !strings.Contains(out, "Minimum: ") || !strings.Contains(out, "less: ") {
		t.Error("plan size: got an error or no minimum, want the minimum and the service with one less:", out, err)
	}
	if info, err := os.Stat(plotPath); err != nil || info.Size() < 1000 {
		t.Error("plan size --plot: got no plot or one under 1000 bytes, want a plot:", err)
	}
}

func checkLoss(t *testing.T, files planFiles) {
	t.Helper()
	out, err := files.plan(t, "lose", "--centre", "cluj-1")
	if err != nil || !strings.Contains(out, "clients reconnect") ||
		!strings.Contains(out, "3 of 13 servers, 1 of 4 nodes") {
		t.Error("plan lose: got an error or other losses, want 3 of 13 servers and 1 of 4 nodes lost:", out, err)
	}
}

// checkStatuses checks the exit statuses: 1 for a negative result, 2 for an invalid command line or input.
func checkStatuses(t *testing.T, files planFiles, unmatchedPattern string) {
	t.Helper()
	slow := strings.Replace(string(deploy.ExampleFleet), "rate = 40 ", "rate = 0.01 ", 1)
	if err := os.WriteFile(files.fleet, []byte(slow), 0o600); err != nil {
		t.Fatal(err)
	}
	load, fleet := files.captures, files.fleet
	for _, test := range []struct {
		want int
		args []string
	}{
		{1, []string{"plan", "size", "--load", load, "--fleet", fleet, "--reps", "1", "--most", "20"}},
		{2, []string{"plan", "size", "--load", load, "--fleet", fleet, "--target", "1.5"}},
		{2, []string{"plan", "forecast", "--load", unmatchedPattern, "--fleet", fleet}},
		{2, []string{"plan", "forecast", "--load", fleet, "--fleet", fleet}},
		{2, []string{"plan", "lose", "--load", load, "--fleet", fleet, "--centre", "mars"}},
		{2, []string{"plan", "forecast", "--fleet", fleet}},
		{2, []string{"check", load}},
		{2, []string{"no-such"}},
		{0, []string{"completion", "bash"}},
	} {
		if got := run(test.args); got != test.want {
			t.Errorf("run(%v): got exit status %d, want %d", test.args, got, test.want)
		}
	}
}
