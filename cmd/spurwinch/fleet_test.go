package main

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/faults"
)

const (
	fleetAttempts = 3
	fleetTimeout  = 2 * time.Minute
)

const leaderKilledScenario = `name = "a"
what = "a"
[run]
length = "22s"
[fleet]
nodes = 4
zones = 2
hosts = 2
[[fault]]
at = "2s"
do = "kill"
node = "leader"
for = "5s"
files = "cut"
[[want]]
seen = "leads"
least = 2
[[want]]
seen = "files spoilt"
least = 1
[[want]]
seen = "plans"
least = 2
`

const zoneLostScenario = `name = "b"
what = "b"
[run]
length = "12s"
[fleet]
nodes = 6
[[fault]]
at = "3s"
do = "lose"
zone = "z1"
how = "refuses"
[[want]]
seen = "zone lost"
least = 1
[[want]]
seen = "plans"
least = 2
`

const policyChangedScenario = `name = "d"
what = "d"
[run]
length = "24s"
[fleet]
nodes = 6
policy = true
small = 1
[[fault]]
at = "1s"
do = "propose"
doc = "room"
[[fault]]
at = "4s"
do = "stall"
node = "node:4"
for = "13s"
[[fault]]
at = "4s"
do = "kill"
node = "node:3"
for = "13s"
files = "kept"
[[fault]]
at = "5s"
do = "propose"
times = 2
[[fault]]
at = "5s"
do = "status"
times = 5
[[want]]
seen = "policies"
least = 1
[[want]]
seen = "change given up"
least = 1
[[want]]
seen = "commands in order"
least = 2
`

const linksCutScenario = `name = "c"
what = "c"
[run]
length = "8s"
[fleet]
nodes = 4
zones = 2
hosts = 2
[[fault]]
at = "1s"
do = "cut"
from = "*"
to = "*"
[[want]]
seen = "datagrams dropped"
least = 20
`

// TestFleet runs short scenarios with several processes. The rules that it checks hold on any machine, and the events
// that it requires have enough time to happen on a slow machine too. It repeats a run in which the laboratory itself
// was delayed.
func TestFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and runs in real time")
	}
	program := buildAll(t)
	for _, test := range []struct {
		name     string
		scenario string
		check    func(t *testing.T, events []faults.Event)
	}{
		{"the leader is killed and restarts with a truncated file", leaderKilledScenario, nil},
		{"a zone is lost", zoneLostScenario, nil},
		{
			"a policy is changed while one node is stalled, one is down and one has no room",
			policyChangedScenario, nil,
		},
		{"all links are cut and nothing arrives", linksCutScenario, checkNothingAfterCut},
	} {
		t.Run(test.name, func(t *testing.T) {
			events, verdict := playScenario(t, program, test.scenario)
			for _, violation := range verdict.Violations {
				t.Errorf("%s at %.2f s: %s", violation.Rule, violation.At, violation.What)
			}
			if test.check != nil {
				test.check(t, events)
			}
		})
	}
}

// playScenario runs a scenario and repeats it with other seeds if this machine was delayed. It skips the test if the
// machine was delayed in each run.
func playScenario(t *testing.T, program, text string) ([]faults.Event, faults.Verdict) {
	t.Helper()
	scenario, err := faults.ReadScenario(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= fleetAttempts; seed++ {
		ctx, stop := context.WithTimeout(context.Background(), fleetTimeout)
		events, err := faults.Run(ctx, scenario, faults.Options{Program: program, Dir: t.TempDir(), Seed: seed})
		stop()
		if err != nil {
			t.Fatal(err)
		}
		verdict := faults.Check(events, scenario.EffectiveLimits())
		if verdict.Judged {
			scenario.CheckExercised(&verdict)
			return events, verdict
		}
		t.Logf("not judged: %s", verdict.Why)
	}
	t.Skip("this machine was delayed in each of three runs")
	return nil, faults.Verdict{}
}

// checkNothingAfterCut checks that no request is served, no plan takes effect and no leader is elected after all links
// are cut. It ignores the first second, in which messages that were already in flight arrive. A leader that receives no
// messages can't make a plan that takes effect.
func checkNothingAfterCut(t *testing.T, events []faults.Event) {
	t.Helper()
	cut := 0.0
	for _, event := range events {
		if event.Kind == faults.KindFault && event.Detail == "cut" {
			cut = event.At
			continue
		}
		if cut == 0 || event.At <= cut+1 {
			continue
		}
		served := event.Kind == faults.KindAnswer && event.Result == "up"
		if served || event.Kind == faults.KindPlan || event.Kind == faults.KindLeader {
			t.Errorf("at %.2f s, with all links cut since %.2f s: got event %+v, want none", event.At, cut, event)
		}
	}
}

// fleetFiles writes the operator's file of a node that is the only node and voter of its fleet, and returns the path of
// the file. The text of policy is put at the head of the list of nodes.
func fleetFiles(t *testing.T, policy, addr, listen string) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		writeFile(t, path, text)
		return path
	}
	nodes := write("nodes.toml", policy+
		fmt.Sprintf("[[node]]\nname = \"a\"\naddr = %q\nzone = \"a\"\nvoter = true\n", addr))
	key := write("key", strings.Repeat("k", 32))
	return write("op.toml", fmt.Sprintf("[fleet]\nself = \"a\"\nlisten = %q\nnodes = %q\nkey_file = %q\ndir = %q\n",
		listen, nodes, key, filepath.Join(dir, "files")))
}

// TestVoterStartFailsWithoutVoterProgram checks that a voter prints one line that names spurwinch-voter if that program
// isn't in the directory of spurwinch.
func TestVoterStartFailsWithoutVoterProgram(t *testing.T) {
	operatorFile := fleetFiles(t, "", "127.0.0.1:1", freePort)
	out, err := exec.Command(build(t), "-operator", operatorFile).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "spurwinch-voter in place of this program") ||
		strings.Count(string(out), "\n") != 1 {
		t.Errorf("start got error %v and output %q, want an error and one line that names spurwinch-voter", err, out)
	}
}
