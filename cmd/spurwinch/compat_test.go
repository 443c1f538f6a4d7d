package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/faults"
	"spurwinch/internal/lab/transcript"
)

// oldProgramsVariable names the folder with the programs of the version to be compatible with: spurwinch and
// spurwinch-voter. .ci/compat builds them from git and sets it; without it the tests of this file are skipped.
const oldProgramsVariable = "SPURWINCH_OLD_PROGRAMS"

// oldProgram is the path of the old version's spurwinch.
func oldProgram(t *testing.T) string {
	t.Helper()
	dir := os.Getenv(oldProgramsVariable)
	if dir == "" {
		t.Skip(oldProgramsVariable + " is not set: .ci/compat sets it")
	}
	path := filepath.Join(dir, "spurwinch")
	for _, program := range []string{path, path + "-voter"} {
		if _, err := os.Stat(program); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// TestCompatUpgradeInPlace replaces a node of the old version by one of the new version and that by one of the old
// version again, under load: standing connections pass from process to process and lose nothing.
func TestCompatUpgradeInPlace(t *testing.T) {
	surroundings := newSite(t, usualLimits)
	newVersion := surroundings.program
	oldVersion := oldProgram(t)
	surroundings.program = oldVersion
	running := surroundings.start(t, surroundings.tmp)
	crowd := &transcript.Clients{Addr: surroundings.listen}
	crowd.Start(24)
	streams := &transcript.Streams{Addr: surroundings.listen, Server: "s-1"}
	streams.Start(t, 10, transcript.OneByOne)
	streams.Start(t, 6, transcript.ByteByByte)
	streams.Start(t, 4, transcript.Bulk)
	for _, next := range []struct{ name, program string }{
		{"old to new", newVersion},
		{"new to old", oldVersion},
		{"old to new again", newVersion},
	} {
		servedBefore := crowd.Established.Load()
		surroundings.program = next.program
		successor := surroundings.start(t, surroundings.tmp)
		running.signal(syscall.SIGTERM)
		running.waitForExit(t)
		running = successor
		time.Sleep(time.Second)
		if served := crowd.Established.Load(); served == servedBefore {
			t.Errorf("%s: no new client was served", next.name)
		}
		if status := running.readiness(); status != http.StatusOK {
			t.Errorf("%s: ready answers %d, want %d", next.name, status, http.StatusOK)
		}
	}
	crowd.Stop()
	crowd.Check(t, "an upgrade, a downgrade and an upgrade")
	streams.Stop(t)
	if moved := crowd.Migrated.Load(); moved > 0 {
		t.Errorf("%d connections were told to move, want 0: they change their process and stay", moved)
	}
}

// compatVotersScenario has all voters stopped at once and started again with the files that they had.
const compatVotersScenario = `name = "old files"
what = "three voters of the old version are restarted with the new version"
[run]
length = "26s"
[fleet]
nodes = 3
zones = 1
policy = true
[[fault]]
at = "1s"
do = "propose"
[[fault]]
at = "8s"
do = "kill"
node = "all"
for = "1s"
files = "kept"
[[fault]]
at = "14s"
do = "status"
[[fault]]
at = "16s"
do = "propose"
[[fault]]
at = "23s"
do = "status"
[[want]]
seen = "policies"
least = 2
[[want]]
seen = "plans"
least = 1
[[want]]
seen = "op ok"
least = 2
[[want]]
seen = "commands in order"
least = 4
`

// TestCompatVoters restarts three voters on the files of the old version with the new version. The rules of the
// laboratory hold that no node goes back behind its plan, that plans and policies of one number are the same and that
// commands tell of the policy that was decided before; here is held that each node starts from the plan that it had.
func TestCompatVoters(t *testing.T) {
	old := oldProgram(t)
	current := buildAll(t)
	var starts atomic.Int64
	history := playFleet(t, compatVotersScenario, func() faults.Options {
		starts.Store(0)
		return faults.Options{Program: current, ProgramOf: func(int) string {
			if starts.Add(1) <= 3 {
				return old
			}
			return current
		}}
	})
	if count := starts.Load(); count != 6 {
		t.Errorf("%d starts of processes, want 6", count)
	}
	checkPlansAfterRestart(t, history)
	checkLastPolicy(t, history, 3)
}

// checkPlansAfterRestart holds that each node's first plan after its restart is the one that it had before, or one of a
// higher number.
func checkPlansAfterRestart(t *testing.T, history []faults.Event) {
	t.Helper()
	before := map[string]uint64{}
	restarted := map[string]bool{}
	resumed := map[string]bool{}
	for _, event := range history {
		node := event.Node
		switch {
		case event.Kind == faults.KindCrash:
			restarted[node] = true
		case event.Kind == faults.KindPlan && !restarted[node]:
			before[node] = event.Number
		case event.Kind == faults.KindMode && restarted[node] && event.Number > 0 && !resumed[node]:
			resumed[node] = true
			if event.Number < before[node] {
				t.Errorf("%s starts with plan %d, had %d before", node, event.Number, before[node])
			}
		}
	}
	if len(before) != 3 || len(resumed) != 3 {
		t.Errorf("%d nodes had a plan of the old version and %d started from one, want 3 and 3",
			len(before), len(resumed))
	}
}

// checkLastPolicy holds that each of the nodes has learned of the highest policy that any has, with one digest.
func checkLastPolicy(t *testing.T, history []faults.Event, nodes int) {
	t.Helper()
	highest := uint64(0)
	digests := map[uint64]map[string]bool{}
	learned := map[uint64]map[string]bool{}
	for _, event := range history {
		if event.Kind != faults.KindPolicy {
			continue
		}
		number := event.Number
		highest = max(highest, number)
		if learned[number] == nil {
			learned[number] = map[string]bool{}
			digests[number] = map[string]bool{}
		}
		learned[number][event.Node] = true
		digests[number][event.Digest] = true
	}
	if highest == 0 || len(learned[highest]) != nodes || len(digests[highest]) != 1 {
		t.Errorf("policy %d: %d nodes have it with %d digests, want %d nodes and one digest",
			highest, len(learned[highest]), len(digests[highest]), nodes)
	}
}

const compatMixedScenario = `name = "two versions"
what = "three nodes of the old and two of the new version in one fleet; the leader is killed and comes back"
[run]
length = "26s"
[fleet]
nodes = 5
zones = 2
policy = true
[[fault]]
at = "1s"
do = "propose"
[[fault]]
at = "7s"
do = "kill"
node = "leader"
for = "3s"
files = "kept"
[[fault]]
at = "15s"
do = "propose"
[[fault]]
at = "22s"
do = "status"
[[want]]
seen = "policies"
least = 2
[[want]]
seen = "plans"
least = 1
[[want]]
seen = "op ok"
least = 1
[[want]]
seen = "commands in order"
least = 3
`

// TestCompatMixedFleet has nodes of both versions in one fleet, among the voters and among the others.
func TestCompatMixedFleet(t *testing.T) {
	old := oldProgram(t)
	current := buildAll(t)
	for _, mix := range []struct {
		name    string
		current map[int]bool // the nodes of the new version; the first three nodes vote
	}{
		{"one voter and one other node are new", map[int]bool{0: true, 4: true}},
		{"two voters are new", map[int]bool{1: true, 2: true}},
	} {
		t.Run(mix.name, func(t *testing.T) {
			history := playFleet(t, compatMixedScenario, func() faults.Options {
				return faults.Options{Program: current, ProgramOf: func(index int) string {
					if mix.current[index] {
						return current
					}
					return old
				}}
			})
			checkLastPolicy(t, history, 5)
			checkSamePlan(t, history, 5)
			checkServed(t, history)
		})
	}
}

// checkSamePlan holds that all nodes end with one plan.
func checkSamePlan(t *testing.T, history []faults.Event, nodes int) {
	t.Helper()
	last := map[string]faults.Event{}
	for _, event := range history {
		if event.Kind == faults.KindPlan {
			last[event.Node] = event
		}
	}
	plans := map[uint64]string{}
	for _, event := range last {
		plans[event.Number] = event.Digest
	}
	if len(last) != nodes || len(plans) != 1 {
		t.Errorf("%d nodes end with the plans %v, want %d nodes with one plan", len(last), plans, nodes)
	}
}

// checkServed holds that requests are served by each node of the fleet, and nearly all of them.
func checkServed(t *testing.T, history []faults.Event) {
	t.Helper()
	servedBy := map[string]int{}
	served := 0
	requests := 0
	for _, event := range history {
		if event.Kind != faults.KindAnswer {
			continue
		}
		requests++
		if event.Result == "up" {
			served++
			servedBy[event.Node]++
		}
	}
	if requests < 100 || served < requests*9/10 || len(servedBy) != 5 {
		t.Errorf("%d of %d requests were served by %d nodes, want 100 requests, 90 %% served, 5 nodes",
			served, requests, len(servedBy))
	}
	t.Logf("%d of %d requests were served: %v", served, requests, servedBy)
}

// playFleet plays a scenario, again if the laboratory itself was late, holds its rules and returns its history.
func playFleet(t *testing.T, text string, options func() faults.Options) []faults.Event {
	t.Helper()
	scenario, err := faults.ReadScenario(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= 3; seed++ {
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Minute)
		run := options()
		run.Dir = t.TempDir()
		run.Seed = seed
		history, err := faults.Run(ctx, scenario, run)
		stop()
		if err != nil {
			t.Fatal(err)
		}
		verdict := faults.Check(history, scenario.EffectiveLimits())
		if !verdict.Judged {
			t.Logf("seed %d is not judged: %s", seed, verdict.Why)
			continue
		}
		scenario.CheckExercised(&verdict)
		for _, violation := range verdict.Violations {
			t.Errorf("%s at %.2f s: %s", violation.Rule, violation.At, violation.What)
		}
		t.Logf("seed %d: seen %v", seed, verdict.Seen)
		return history
	}
	t.Fatal("the laboratory was late in each of three runs: nothing was judged")
	return nil
}
