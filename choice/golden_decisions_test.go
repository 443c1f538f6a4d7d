package choice_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
)

// The golden tests detect unintended changes of decisions. They record seeded runs of the simulation: every action, and
// the learned state of the balancers at the end. A different order of random draws or a single different rounding
// changes the record. Renaming identifiers does not.

// recorder writes a canonical text of actions into a running hash and records the hash at the end of each simulated
// second.
type recorder struct {
	hash    hash.Hash
	text    io.Writer // receives the complete text, to find the first difference; nil: none
	start   time.Duration
	second  int
	actions int
	lines   []string
}

func newRecorder(start time.Duration) *recorder { return &recorder{hash: sha256.New(), start: start} }

func (r *recorder) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.hash, format, args...) // a hash never returns an error
	if r.text != nil {
		_, _ = fmt.Fprintf(r.text, format, args...) // Flush returns the error
	}
}

// endLine ends the current line of the record with the number of actions and the hash so far.
func (r *recorder) endLine(label string) {
	r.lines = append(r.lines, fmt.Sprintf("%s %d actions %s", label, r.actions,
		hex.EncodeToString(r.hash.Sum(nil)[:8])))
}

// recordStep records the actions that one step of a node returned.
func (r *recorder) recordStep(now time.Duration, node int, actions []choice.Action) {
	if r == nil {
		return
	}
	for second := int((now - r.start) / time.Second); r.second < second; r.second++ {
		r.endLine(fmt.Sprintf("second %d:", r.second))
	}
	for _, action := range actions {
		r.actions++
		r.write("%d %d %s\n", now, node, actionText(action))
	}
}

// actionText returns an action as a text that does not depend on the names of types and fields. The words must not
// change, because the golden files were recorded with them.
func actionText(action choice.Action) string {
	switch action := action.(type) {
	case choice.StartAttempt:
		return fmt.Sprintf("send %s %s %d %d", action.ID, action.Server, action.Timeout, action.SendBefore)
	case choice.Reject:
		return fmt.Sprintf("refuse %s %d %d", action.ID, action.RetryAfter, uint8(action.Reason))
	case choice.Fail:
		return fmt.Sprintf("fail %s %d", action.ID, uint8(action.Reason))
	case choice.CancelAttempt:
		return fmt.Sprintf("cancel %s %d", action.ID, action.Attempt)
	case choice.HealthCheck:
		return fmt.Sprintf("probe %s", action.Server)
	case choice.Migrate:
		return fmt.Sprintf("move %s", action.ID)
	case choice.SetTimer:
		return fmt.Sprintf("timer %q %d %s", action.Token, action.After, action.For)
	case choice.WatchList:
		return "follow"
	case choice.SendPeerMessage:
		return fmt.Sprintf("tell %d %x", action.To, action.Data)
	}
	return fmt.Sprintf("unknown action %T", action)
}

// writeFloats writes all bits of each number.
func (r *recorder) writeFloats(values ...float64) {
	for _, v := range values {
		r.write(" %016x", math.Float64bits(v))
	}
}

// writeState records a balancer's learned state and its observations of zones and classes. This resets the balancer's
// counts since the last call of Observations.
func (r *recorder) writeState(now time.Duration, node int, balancer *choice.Balancer) {
	learned := balancer.LearnedState()
	r.write("%d learned %d %d %d %d %s %d", node, learned.Version, learned.Hints, learned.ReportedAt,
		learned.ArrivalsAt, learned.Meaning, learned.Now)
	r.writeFloats(learned.Unit, learned.LoadSum, learned.WeightSum, learned.Arrivals, learned.PassRate,
		learned.MeanPriority)
	for _, kind := range learned.Kinds {
		r.write("\nkind %s", kind.Kind)
		r.writeFloats(kind.ReportedLoad, kind.ConnectionLoad, kind.Reports)
	}
	for _, server := range learned.Servers {
		r.write("\nserver %s %d %v %d %d %d %d", server.ID, server.Started, server.Known, server.ReportAt,
			server.EjectedUntil, server.Ejections, server.SlowStartAt)
		r.writeFloats(server.ReportedLoad, server.ConnectionLoad, server.Reports, server.Report, server.SlowStartCredit,
			server.PIDIntegral, server.PIDPreviousError, server.PIDCorrection, server.UnreportedLoad)
		rate, inSlowStart := balancer.SlowStartRate(server.ID)
		r.write(" %v", inSlowStart)
		r.writeFloats(rate)
	}
	observations := balancer.Observations(now)
	for _, zone := range observations.Zones {
		r.write("\nzone %s %d %d", zone.Zone, zone.Ready, zone.Ejected)
		r.writeFloats(zone.Capacity, zone.Load, zone.Cost, zone.Attempts, zone.Failed)
		r.writeFloats(zone.OwnLoad...)
	}
	for _, class := range observations.Classes {
		r.writeFloats(class.Arrived, class.Rejected)
	}
	r.write("\navoided %d dropped %d\n", balancer.Excluded(now), balancer.DroppedPeerMessages())
}

// recordFinalState records the state of all nodes at the end of a simulation.
func (r *recorder) recordFinalState(sim *simulation) {
	r.endLine("all")
	for _, node := range sim.nodes {
		r.writeState(sim.now, node.index, node.balancer)
	}
	r.endLine("learned, after")
}

// recordTransfer transfers the learned state and the open connections of up to four nodes to a new balancer each, as in
// a hot restart. It records the actions of both balancers, and those of the new one for some further requests.
func (r *recorder) recordTransfer(t *testing.T, sim *simulation, seed uint64) {
	t.Helper()
	for _, node := range sim.nodes[:min(4, len(sim.nodes))] {
		settings := sim.settings
		settings.Node, settings.Processes = node.index, 2
		successor, err := choice.New(settings, seed+uint64(node.index)+1, sim.now)
		if err != nil {
			t.Fatal(err)
		}
		learned := node.balancer.LearnedState()
		events := []choice.Event{
			choice.ServerList{Kind: choice.ListFull, Servers: sim.serverList()},
			choice.LearnedStateReceived{LearnedState: learned},
		}
		var ids []choice.RequestID
		for id, request := range sim.requests {
			if request.node == node && request.openAttempt() != nil && !request.ended &&
				!request.openAttempt().completed {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		var transferred []choice.Event
		for i, id := range ids {
			request := sim.requests[id]
			class := request.class
			events = append(events, choice.OpenConnection{
				Request: request.Request, Server: request.openAttempt().server.ID, OriginalClass: &class,
				CurrentLoad: float64(i%3) * 0.75,
			})
			transferred = append(transferred, choice.Transferred{ID: id})
		}
		r.recordStep(sim.now, node.index, successor.Step(sim.now, events))
		r.recordStep(sim.now, node.index, node.balancer.Step(sim.now, transferred))
		r.writeState(sim.now, node.index, node.balancer)
		changed := settings
		changed.Classes = slices.Clone(settings.Classes)
		changed.Classes[0].Priority *= 2
		changed.Limits.MaxAttempts++
		now := sim.now
		r.sendRequests(&now, successor, settings, node.index, 0)
		r.recordStep(now, node.index, successor.Step(now, []choice.Event{choice.SettingsChanged{Settings: changed}}))
		r.sendRequests(&now, successor, changed, node.index, 1)
		changed.PriorityPerWork = !changed.PriorityPerWork // this changes the meaning of learned values
		r.recordStep(now, node.index, successor.Step(now, []choice.Event{choice.SettingsChanged{Settings: changed}}))
		r.sendRequests(&now, successor, changed, node.index, 2)
		r.writeState(now, node.index, successor)
	}
	r.endLine("handed over, after")
}

// sendRequests sends 60 requests to a balancer. The servers establish every connection, report a medium load, and end
// some of the connections.
func (r *recorder) sendRequests(now *time.Duration, balancer *choice.Balancer, settings choice.Settings,
	node, round int,
) {
	var events []choice.Event
	for i := range 60 {
		*now += 50 * time.Millisecond
		if i%20 == 0 {
			events = append(events, choice.TimerFired{Token: "tick"})
		}
		id := choice.RequestID(fmt.Sprintf("after-%d-%d", round, i))
		events = append(events, choice.Request{
			ID: id, Class: i % len(settings.Classes), Tenant: i%(len(settings.Tenants)+1) - 1, Key: uint64(i) * 7919,
			Group:    uint64(i % 4),
			TimeLeft: time.Second, Returned: i%5 == 0,
		})
		for range 4 {
			actions := balancer.Step(*now, events)
			r.recordStep(*now, node, actions)
			events = nil
			for _, action := range actions {
				events = append(events, serverReplies(action, i, len(settings.ReportFields))...)
			}
		}
	}
}

// serverReplies returns the events by which the servers of sendRequests reply to an action after the i-th request.
func serverReplies(returned choice.Action, i, fields int) (events []choice.Event) {
	switch action := returned.(type) {
	case choice.StartAttempt:
		events = append(events, choice.Established{
			ID: action.ID, Server: action.Server, Took: time.Duration(20+i%7*i%13*20) * time.Millisecond,
		})
		if i%4 == 1 {
			events = append(events, choice.DelayObservation{
				ID: action.ID, Server: action.Server, Took: time.Duration(i*8) * time.Millisecond,
			})
		}
		if i%3 == 0 {
			events = append(events, choice.AttemptEnded{
				ID: action.ID, Server: action.Server, Outcome: choice.Outcome(i / 3 % 8), Final: true,
			})
		}
	case choice.HealthCheck:
		report := make([]float64, fields)
		for field := range report {
			report[field] = 0.2 + 0.6*float64((i+field)%10)/10
		}
		events = append(events, choice.HealthCheckResult{Server: action.Server, Outcome: choice.Served, Report: report})
	}
	return events
}

// checkGoldenLines compares a record with its golden file and reports the first difference.
func checkGoldenLines(t *testing.T, name string, got []string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", "decisions", name+".txt")
	if flag.Lookup("update").Value.String() == "true" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || got[i] != want[i] {
			t.Fatalf("record %s, line %d of %d: got %q, want %q", name, i+1, len(want), lineAt(got, i), lineAt(want, i))
		}
	}
}

func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return ""
	}
	return lines[i]
}

// newTestRecorder returns a recorder for a test. If DECISIONS_TEXT names a directory, the complete text is also written
// there, to compare the texts of two versions.
func newTestRecorder(t *testing.T, name string) *recorder {
	t.Helper()
	recorder := newRecorder(simulationStart)
	directory := os.Getenv("DECISIONS_TEXT")
	if directory == "" {
		return recorder
	}
	file, err := os.Create(filepath.Join(directory, name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	buffered := bufio.NewWriter(file)
	recorder.text = buffered
	t.Cleanup(func() {
		if err := buffered.Flush(); err != nil {
			t.Error(err)
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	})
	return recorder
}

// TestGoldenDecisionsWithRandomSettings compares the decisions of simulations with random settings to the golden files.
// The settings vary group affinity, the source of reports, watched or pushed server lists, messages between nodes,
// packet pass-through, tenants and zone plans.
func TestGoldenDecisionsWithRandomSettings(t *testing.T) {
	for seed := range uint64(40) {
		name := fmt.Sprintf("drawn-%02d", seed)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestRecorder(t, name)
			sim := runRandomSimulation(t, seed, r)
			r.recordFinalState(sim)
			r.recordTransfer(t, sim, seed)
			checkGoldenLines(t, name, r.lines)
		})
	}
}

// TestGoldenDecisionsOfSlowStartFleet compares the decisions of fleets with servers in slow start under a burst to the
// golden files: with reservations by peers, with reports only, and with neither. Connections are still open at the end,
// so that there are some to transfer.
func TestGoldenDecisionsOfSlowStartFleet(t *testing.T) {
	for _, test := range []struct {
		name         string
		reports      choice.ReportSource
		peerMessages bool
		grouped      bool
		nodes        int
	}{
		{"fleet-peers", choice.HealthCheckReports, true, false, 40},
		{"fleet-peers-grouped", choice.AllReports, true, true, 40},
		{"fleet-reports-grouped", choice.HealthCheckReports, false, true, 4},
		{"fleet-reports", choice.AllReports, false, false, 4},
		{"fleet-silent", choice.NoReports, false, false, 4},
		{"fleet-silent-grouped", choice.NoReports, false, true, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := slowStartFleet{
				name: test.name, nodes: test.nodes, servers: 16, reports: test.reports, peerMessages: test.peerMessages,
				rules: shortWarmUp, trafficSkew: 4,
				stickyFraction: 0.02, costKnown: test.reports == choice.NoReports, burstFactor: 4, seed: 3,
			}
			r := newTestRecorder(t, test.name)
			sim := fleet.runRecorded(t, test.grouped, r)
			r.recordFinalState(sim)
			r.recordTransfer(t, sim, fleet.seed)
			checkGoldenLines(t, test.name, r.lines)
		})
	}
}

// TestGoldenDecisionsOfRandomScripts compares the decisions of the scripts of FuzzRules to the golden file. The scripts
// consist of random but valid events, and some unusual ones.
func TestGoldenDecisionsOfRandomScripts(t *testing.T) {
	r := newTestRecorder(t, "scripts")
	for seed := range uint64(60) {
		for i, actions := range choice.RunRandomScript(t, seed, 600) {
			r.recordStep(0, i, actions)
		}
		r.endLine(fmt.Sprintf("script %d:", seed))
	}
	checkGoldenLines(t, "scripts", r.lines)
}

// TestGoldenRecordDependsOnLastBit checks that the record changes with the last bit of a number. If numbers were
// written with fewer digits, the golden tests would not detect a different rounding.
func TestGoldenRecordDependsOnLastBit(t *testing.T) {
	hashOf := func(v float64) string {
		r := newRecorder(0)
		r.writeFloats(v)
		r.endLine("")
		return r.lines[0]
	}
	if hashOf(0.1) == hashOf(math.Nextafter(0.1, 1)) {
		t.Error("records of two numbers that differ in the last bit: got equal hashes, want different ones")
	}
	var first [8]byte
	binary.BigEndian.PutUint64(first[:], math.Float64bits(0.1))
	if hex.EncodeToString(first[:]) != "3fb999999999999a" {
		t.Error("bits of 0.1: got another value, want 3fb999999999999a, the bits of a 64-bit float")
	}
}
