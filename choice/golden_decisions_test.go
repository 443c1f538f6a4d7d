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

// A golden record of decisions: seeded runs of the simulation, with every action and what the balancers have learned
// at the end. A change of the order of random draws or of one rounding changes the record; a change of names doesn't.

// recorder writes a canonical text of actions into a running hash, and notes the hash at the end of each simulated
// second.
type recorder struct {
	hash    hash.Hash
	text    io.Writer // the whole text, for a look at the first difference; nil: not wanted
	from    time.Duration
	second  int
	actions int
	lines   []string
}

func newRecorder(from time.Duration) *recorder { return &recorder{hash: sha256.New(), from: from} }

func (r *recorder) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.hash, format, args...) // a hash takes all
	if r.text != nil {
		_, _ = fmt.Fprintf(r.text, format, args...) // reported by Flush
	}
}

// note closes the present line of the record.
func (r *recorder) note(what string) {
	r.lines = append(r.lines, fmt.Sprintf("%s %d actions %s", what, r.actions, hex.EncodeToString(r.hash.Sum(nil)[:8])))
}

// step takes in what one node did in one step.
func (r *recorder) step(now time.Duration, node int, actions []choice.Action) {
	if r == nil {
		return
	}
	for second := int((now - r.from) / time.Second); r.second < second; r.second++ {
		r.note(fmt.Sprintf("second %d:", r.second))
	}
	for _, a := range actions {
		r.actions++
		r.write("%d %d %s\n", now, node, actionText(a))
	}
}

// actionText is an action in a form that does not depend on the names of types and fields. Its words are those of the
// first record.
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
	return fmt.Sprintf("an action that the record does not know: %T", action)
}

// bits writes numbers to the last bit.
func (r *recorder) bits(values ...float64) {
	for _, v := range values {
		r.write(" %016x", math.Float64bits(v))
	}
}

// state takes in what a balancer has found out, and its observations of zones. That resets its counts since the last
// call.
func (r *recorder) state(now time.Duration, node int, balancer *choice.Balancer) {
	l := balancer.LearnedState()
	r.write("%d learned %d %d %d %d %s %d", node, l.Version, l.Hints, l.ReportedAt, l.ArrivalsAt, l.Meaning, l.Now)
	r.bits(l.Unit, l.LoadSum, l.WeightSum, l.Arrivals, l.PassRate, l.MeanPriority)
	for _, k := range l.Kinds {
		r.write("\nkind %s", k.Kind)
		r.bits(k.ReportedLoad, k.ConnectionLoad, k.Reports)
	}
	for _, s := range l.Servers {
		r.write("\nserver %s %d %v %d %d %d %d", s.ID, s.Started, s.Known, s.ReportAt, s.EjectedUntil, s.Ejections,
			s.SlowStartAt)
		r.bits(s.ReportedLoad, s.ConnectionLoad, s.Reports, s.Report, s.SlowStartCredit, s.PIDIntegral,
			s.PIDPreviousError, s.PIDCorrection, s.UnreportedLoad)
		rate, cold := balancer.SlowStartRate(s.ID)
		r.write(" %v", cold)
		r.bits(rate)
	}
	observations := balancer.Observations(now)
	for _, z := range observations.Zones {
		r.write("\nzone %s %d %d", z.Zone, z.Ready, z.Ejected)
		r.bits(z.Capacity, z.Load, z.Cost, z.Attempts, z.Failed)
		r.bits(z.OwnLoad...)
	}
	for _, c := range observations.Classes {
		r.bits(c.Arrived, c.Rejected)
	}
	r.write("\navoided %d dropped %d\n", balancer.Excluded(now), balancer.DroppedPeerMessages())
}

// end takes in the state of all nodes of a simulation.
func (r *recorder) end(w *simulation) {
	r.note("all")
	for _, n := range w.nodes {
		r.state(w.now, n.number, n.balancer)
	}
	r.note("learned, after")
}

// handOver has a further balancer take each node's place, as a new process of a node does: with what the old one has
// learned, and with its open connections. Both are recorded, and what the new one does with some requests after that.
func (r *recorder) handOver(t *testing.T, world *simulation, seed uint64) {
	t.Helper()
	for _, node := range world.nodes[:min(4, len(world.nodes))] {
		settings := world.settings
		settings.Node, settings.Processes = node.number, 2
		next, err := choice.New(settings, seed+uint64(node.number)+1, world.now)
		if err != nil {
			t.Fatal(err)
		}
		learned := node.balancer.LearnedState()
		events := []choice.Event{
			choice.ServerList{Kind: choice.ListFull, Servers: world.entries()},
			choice.LearnedStateReceived{LearnedState: learned},
		}
		var ids []choice.RequestID
		for id, request := range world.requests {
			if request.node == node && request.standing() != nil && !request.over && !request.standing().settled {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		var given []choice.Event
		for i, id := range ids {
			request := world.requests[id]
			class := request.class
			events = append(events, choice.OpenConnection{
				Request: request.Request, Server: request.standing().server.ID, OriginalClass: &class,
				CurrentLoad: float64(i%3) * 0.75,
			})
			given = append(given, choice.Transferred{ID: id})
		}
		r.step(world.now, node.number, next.Step(world.now, events))
		r.step(world.now, node.number, node.balancer.Step(world.now, given))
		r.state(world.now, node.number, node.balancer)
		other := settings
		other.Classes = slices.Clone(settings.Classes)
		other.Classes[0].Priority *= 2
		other.Limits.MaxAttempts++
		later := world.now
		r.play(&later, next, settings, node.number, 0)
		r.step(later, node.number, next.Step(later, []choice.Event{choice.SettingsChanged{Settings: other}}))
		r.play(&later, next, other, node.number, 1)
		other.PriorityPerWork = !other.PriorityPerWork // learned values mean something else from now on
		r.step(later, node.number, next.Step(later, []choice.Event{choice.SettingsChanged{Settings: other}}))
		r.play(&later, next, other, node.number, 2)
		r.state(later, node.number, next)
	}
	r.note("handed over, after")
}

// play has some requests come to a balancer whose servers all set connections up, report a middling load, and leave
// now and then.
func (r *recorder) play(now *time.Duration, balancer *choice.Balancer, settings choice.Settings,
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
			r.step(*now, node, actions)
			events = nil
			for _, action := range actions {
				events = append(events, answerTo(action, i, len(settings.ReportFields))...)
			}
		}
	}
}

// answerTo is what the servers of play answer to an action after the i-th request.
func answerTo(a choice.Action, i, fields int) (events []choice.Event) {
	switch action := a.(type) {
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

// checkGoldenLines wants a record to be as its golden file has it, and says where the first difference is.
func checkGoldenLines(t *testing.T, name string, have []string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", "decisions", name+".txt")
	if flag.Lookup("update").Value.String() == "true" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.Join(have, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	for i := range max(len(have), len(want)) {
		if i >= len(have) || i >= len(want) || have[i] != want[i] {
			t.Fatalf("%s differs at line %d of %d: %q, want %q", name, i+1, len(want), at(have, i), at(want, i))
		}
	}
}

func at(lines []string, i int) string {
	if i >= len(lines) {
		return ""
	}
	return lines[i]
}

// record makes a recorder. With DECISIONS_TEXT naming a directory, the whole text goes there, to compare two versions
// by.
func record(t *testing.T, name string) *recorder {
	t.Helper()
	recorder := newRecorder(simulationStart)
	dir := os.Getenv("DECISIONS_TEXT")
	if dir == "" {
		return recorder
	}
	file, err := os.Create(filepath.Join(dir, name+".txt"))
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

// TestGoldenDecisionsOfDrawnWorlds pins the decisions in worlds with drawn settings: grouped or not, each source of
// reports, subscribed or pushed lists, with and without messages between nodes, packets that pass through, tenants,
// plans of zones.
func TestGoldenDecisionsOfDrawnWorlds(t *testing.T) {
	for seed := range uint64(40) {
		name := fmt.Sprintf("drawn-%02d", seed)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := record(t, name)
			w := playDrawnWorld(t, seed, r)
			r.end(w)
			r.handOver(t, w, seed)
			checkGoldenLines(t, name, r.lines)
		})
	}
}

// TestGoldenDecisionsOfAFleet pins the decisions of fleets with servers in slow start under a burst: with
// reservations by peers, with reports alone and with none. Connections stand when it ends, so that the hand-over has
// some.
func TestGoldenDecisionsOfAFleet(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports choice.ReportSource
		peers   bool
		grouped bool
		nodes   int
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
			f := slowStartFleet{
				name: test.name, nodes: test.nodes, servers: 16, reports: test.reports, peers: test.peers,
				rules: shortWarmUp, skew: 4,
				homes: 0.02, costKnown: test.reports == choice.NoReports, burst: 4, seed: 3,
			}
			r := record(t, test.name)
			w := f.playRecorded(t, test.grouped, r)
			r.end(w)
			r.handOver(t, w, f.seed)
			checkGoldenLines(t, test.name, r.lines)
		})
	}
}

// TestGoldenDecisionsOfScripts pins what comes of random legal callers, odd events among them.
func TestGoldenDecisionsOfScripts(t *testing.T) {
	r := record(t, "scripts")
	for seed := range uint64(60) {
		for i, actions := range choice.RandomScript(t, seed, 600) {
			r.step(0, i, actions)
		}
		r.note(fmt.Sprintf("script %d:", seed))
	}
	checkGoldenLines(t, "scripts", r.lines)
}

// TestGoldenRecordSeesOneBit wants the record to change with the last bit of one number.
func TestGoldenRecordSeesOneBit(t *testing.T) {
	hashOf := func(v float64) string {
		r := newRecorder(0)
		r.bits(v)
		r.note("")
		return r.lines[0]
	}
	if hashOf(0.1) == hashOf(math.Nextafter(0.1, 1)) {
		t.Error("two numbers that differ in one bit have one record")
	}
	var first [8]byte
	binary.BigEndian.PutUint64(first[:], math.Float64bits(0.1))
	if hex.EncodeToString(first[:]) != "3fb999999999999a" {
		t.Error("numbers are not 64-bit floats")
	}
}
