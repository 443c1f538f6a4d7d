package workload

import (
	"errors"
	"math"
	"path/filepath"
	"testing"
	"time"

	"spurwinch/deploy"
	"spurwinch/internal/operations/capture"
	"spurwinch/internal/plan/fleet"
)

func eveningFleet(tb testing.TB) *fleet.Fleet {
	tb.Helper()
	description, err := fleet.Parse("f", deploy.ExampleFleet)
	if err != nil {
		tb.Fatal(err)
	}
	return description
}

// loadShape holds the counts that a load and its copy have in common.
type loadShape struct {
	sessions     int
	groups       int
	secondTenant int // sessions
	thirdZone    int // sessions
}

func shapeOf(load *Load) loadShape {
	shape := loadShape{sessions: len(load.Sessions)}
	groups := map[uint64]bool{}
	for _, session := range load.Sessions {
		groups[session.Group] = true
		if session.Tenant == 1 {
			shape.secondTenant++
		}
		if session.Zone == 2 {
			shape.thirdZone++
		}
	}
	shape.groups = len(groups)
	return shape
}

// TestCaptureRoundTrip writes a generated load as captures and reads it back: sessions, groups, tenants and zones must
// be the same in number and shape.
func TestCaptureRoundTrip(t *testing.T) {
	description := eveningFleet(t)
	written := Generate(description, GeneratorOptions{Seed: 3, Length: time.Minute, Concurrency: 300})
	files, err := written.Write(description, filepath.Join(t.TempDir(), "x"))
	if err != nil {
		t.Fatal(err)
	}
	captured, err := ReadCaptures(files)
	if err != nil || len(captured.Faults) > 0 {
		t.Fatal(err, captured.Faults)
	}
	read, err := captured.Sessions(description, 1)
	if err != nil {
		t.Fatal(err)
	}
	if shapeOf(written) != shapeOf(read) {
		t.Errorf("written %+v, read %+v", shapeOf(written), shapeOf(read))
	}
	before := written.MeanConcurrency()
	after := read.MeanConcurrency()
	if math.Abs(before-after) > before/50 || read.Length != written.Length {
		t.Errorf("%.1f concurrent sessions in %v, then %.1f in %v", before, written.Length, after, read.Length)
	}
}

// TestSessionsJoinReturns checks that a client's rejections, resets and returns are one session, and that another
// client's are not part of it.
func TestSessionsJoinReturns(t *testing.T) {
	microseconds := func(seconds float64) int64 { return int64(seconds * 1e6) }
	captured := &Captured{Classes: []string{"market"}, Length: time.Minute, Share: 1}
	add := func(at float64, client uint64, answer capture.Answer, lifetime float64) {
		captured.Requests = append(captured.Requests, Request{
			Placed:   capture.Placed{At: microseconds(at), Client: client, Answer: answer, Took: microseconds(0.01)},
			At:       time.Duration(at * 1e9),
			Tenant:   -1,
			Lifetime: time.Duration(lifetime * 1e9),
			Ended:    true,
		})
	}
	add(1, 7, capture.Rejected, 0)
	add(1.5, 7, capture.Rejected, 0)
	add(2, 7, capture.Open, 5)
	add(3, 8, capture.Open, 1)
	add(8, 7, capture.Open, 4)  // after a reset
	add(40, 7, capture.Open, 2) // much later: a session of its own
	load, err := captured.Sessions(eveningFleet(t), 1)
	if err != nil || len(load.Sessions) != 3 {
		t.Fatalf("%+v, %v", load, err)
	}
	first := load.Sessions[0]
	if first.Arrival != time.Second || first.End().Round(100*time.Millisecond) != 12*time.Second {
		t.Errorf("the session lasts from %v to %v", first.Arrival, first.End())
	}
	captured.Classes = []string{"unknown"}
	_, err = captured.Sessions(eveningFleet(t), 1)
	var unknown *UnknownClassError
	if !errors.As(err, &unknown) || unknown.Class != "unknown" {
		t.Errorf("a class that the fleet lacks: %v", err)
	}
}

// TestScale checks that the demand grows by the factor and that groups stay whole.
func TestScale(t *testing.T) {
	load := Generate(eveningFleet(t), GeneratorOptions{Seed: 3, Length: time.Minute, Concurrency: 4000})
	groupSize := func(shape loadShape) float64 { return float64(shape.sessions) / float64(shape.groups) }
	for _, factor := range []float64{0.25, 1, 1.5, 3} {
		scaled := load.Scale(factor, 9)
		if ratio := scaled.MeanConcurrency() / load.MeanConcurrency(); math.Abs(ratio/factor-1) > 0.12 {
			t.Errorf("times %v: %.2f times the concurrent sessions", factor, ratio)
		}
		before := groupSize(shapeOf(load))
		after := groupSize(shapeOf(scaled))
		if math.Abs(before/after-1) > 0.12 {
			t.Errorf("times %v: groups of %.2f, then %.2f", factor, before, after)
		}
	}
}

// TestCut checks that a part of a load holds the sessions of its time, with those that arrived before it first and
// already open.
func TestCut(t *testing.T) {
	description := eveningFleet(t)
	load := Generate(description, GeneratorOptions{Seed: 3, Length: time.Minute, Concurrency: 200, RateVariation: 0.8})
	if at := load.BusiestWindow(description, 16*time.Second); at < 30*time.Second {
		t.Errorf("a load that climbs is busiest from %v on", at)
	}
	part := load.Cut(20*time.Second, 40*time.Second)
	open := 0
	for _, session := range load.Sessions {
		if session.Arrival < 20*time.Second && session.End() > 20*time.Second {
			open++
		}
	}
	for i, session := range part.Sessions {
		if session.AlreadyOpen != (i < open) || session.AlreadyOpen && session.Arrival != 0 ||
			session.Arrival >= 20*time.Second {
			t.Fatalf("session %d of %d already open: %+v", i, open, session)
		}
	}
	if open == 0 || len(part.Sessions) <= open {
		t.Errorf("%d sessions, %d already open", len(part.Sessions), open)
	}
}

// TestPriorities checks that sessions beyond a tenant's quota have a lower priority weight, and only those.
func TestPriorities(t *testing.T) {
	description := eveningFleet(t)
	quota := int(math.Ceil(description.Quota(0)))
	load := &Load{Length: time.Minute}
	for i := range quota + 5 {
		load.Sessions = append(load.Sessions, Session{Arrival: time.Duration(i), Lifetime: time.Second, Tenant: 0})
	}
	load.Sessions = append(load.Sessions, Session{Arrival: 2 * time.Second, Lifetime: time.Second})
	for i, priority := range Priorities(description, load) {
		if beyond := i >= quota && i < quota+5; beyond != (priority < 1) {
			t.Errorf("session %d of a quota of %d has priority %v", i, quota, priority)
		}
	}
}
