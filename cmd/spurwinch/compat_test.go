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

// oldProgramsVariable is the environment variable with the directory of the old version's programs, spurwinch and
// spurwinch-voter. The current version must be compatible with them. .ci/compat builds them from git and sets the
// variable. The tests of this file are skipped if it isn't set.
const oldProgramsVariable = "SPURWINCH_OLD_PROGRAMS"

// oldProgram returns the path of the old version's spurwinch. It skips the test if the old version isn't available.
func oldProgram(t *testing.T) string {
	t.Helper()
	dir := os.Getenv(oldProgramsVariable)
	if dir == "" {
		t.Skip(oldProgramsVariable + " is not set; .ci/compat sets it")
	}
	path := filepath.Join(dir, "spurwinch")
	for _, program := range []string{path, path + "-voter"} {
		if _, err := os.Stat(program); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// TestCompatUpgradeInPlace upgrades a node under load from the old to the new version, downgrades it and upgrades it
// again. Open connections must pass from process to process without losing any bytes.
func TestCompatUpgradeInPlace(t *testing.T) {
	fixture := newNodeFixture(t, defaultLimits)
	newVersion := fixture.program
	oldVersion := oldProgram(t)
	fixture.program = oldVersion
	running := fixture.start(t, fixture.tmp)
	clients := &transcript.Clients{Addr: fixture.listen}
	clients.Start(24)
	streams := &transcript.Streams{Addr: fixture.listen, Server: "s-1"}
	streams.Start(t, 10, transcript.OneByOne)
	streams.Start(t, 6, transcript.ByteByByte)
	streams.Start(t, 4, transcript.Bulk)
	for _, next := range []struct{ name, program string }{
		{"old to new", newVersion},
		{"new to old", oldVersion},
		{"old to new again", newVersion},
	} {
		servedBefore := clients.Established.Load()
		fixture.program = next.program
		successor := fixture.start(t, fixture.tmp)
		running.signal(syscall.SIGTERM)
		running.waitForExit(t)
		running = successor
		time.Sleep(time.Second)
		if served := clients.Established.Load(); served == servedBefore {
			t.Errorf("%s: no new client was served, want at least one", next.name)
		}
		if status := running.readiness(); status != http.StatusOK {
			t.Errorf("%s: readiness check got status %d, want %d", next.name, status, http.StatusOK)
		}
	}
	clients.Stop()
	clients.Check(t, "an upgrade, a downgrade and an upgrade")
	streams.Stop(t)
	if moved := clients.Migrated.Load(); moved > 0 {
		t.Errorf("%d connections were told to migrate, want 0 because the successor takes them over", moved)
	}
}

// compatVotersScenario kills all voters at once and restarts them with their files kept.
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

// TestCompatVoters restarts three voters of the old version with the new version, which reads the files of the old one.
// The laboratory's rules check that no node returns to an older plan, that plans and policies of the same number are
// identical and that the output of commands includes the policy that was committed before. The test also checks that
// each node starts with the plan that it had before the restart.
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
		t.Errorf("got %d process starts, want 6", count)
	}
	checkPlansAfterRestart(t, history)
	checkLastPolicy(t, history, 3)
}

// checkPlansAfterRestart checks that each node's first plan after its restart is the plan that it had before or one
// with a higher number.
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
				t.Errorf("%s started with plan %d, want plan %d, which it had before, or a later one",
					node, event.Number, before[node])
			}
		}
	}
	if len(before) != 3 || len(resumed) != 3 {
		t.Errorf("%d nodes had a plan of the old version and %d started with a plan, want 3 and 3",
			len(before), len(resumed))
	}
}

// checkLastPolicy checks that all nodes have learned the policy with the highest number, with the same digest.
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
		t.Errorf("last policy, %d: %d nodes have it with %d different digests, want %d nodes and one digest",
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

// TestCompatMixedFleet runs nodes of both versions in one fleet, among the voters and among the other nodes.
func TestCompatMixedFleet(t *testing.T) {
	old := oldProgram(t)
	current := buildAll(t)
	for _, mix := range []struct {
		name    string
		current map[int]bool // indexes of the nodes that run the new version; the first three nodes are voters
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

// checkSamePlan checks that all nodes have the same plan at the end.
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
		t.Errorf("%d nodes have the plans %v at the end, want %d nodes with the same plan", len(last), plans, nodes)
	}
}

// checkServed checks that each of the five nodes serves requests and that at least 90 % of all requests are served.
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
		t.Errorf("%d of %d requests were served by %d nodes, want at least 100 requests, 90 %% of them served, 5 nodes",
			served, requests, len(servedBy))
	}
	t.Logf("%d of %d requests were served: %v", served, requests, servedBy)
}

// playFleet runs a scenario, checks the laboratory's rules and returns the history of the run. It repeats a run that
// the laboratory couldn't judge because it was delayed itself.
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
	t.Fatal("none of three runs was judged because the laboratory was delayed in each of them")
	return nil
}
