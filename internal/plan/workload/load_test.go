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

// loadShape contains the counts that a load and its copy must have in common.
type loadShape struct {
	sessions     int
	groups       int
	secondTenant int // number of sessions of the second tenant
	thirdZone    int // number of sessions in the third zone
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

// TestCaptureRoundTripKeepsLoad checks that a generated load has the same numbers of sessions and groups, in total and
// by tenant and zone, after it was written as capture files and read back.
func TestCaptureRoundTripKeepsLoad(t *testing.T) {
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
		t.Errorf("round trip: got %+v, want %+v", shapeOf(read), shapeOf(written))
	}
	before := written.MeanConcurrency()
	after := read.MeanConcurrency()
	if math.Abs(before-after) > before/50 || read.Length != written.Length {
		t.Errorf("round trip: got %.1f concurrent sessions in %v, want %.1f within 2%% in %v",
			after, read.Length, before, written.Length)
	}
}

// TestSessionsJoinReconnects checks that a client's requests are joined into one session across rejections and a reset.
// Requests of another client and requests that arrive much later must form their own sessions.
func TestSessionsJoinReconnects(t *testing.T) {
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
	add(40, 7, capture.Open, 2) // much later, in a new session
	load, err := captured.Sessions(eveningFleet(t), 1)
	if err != nil || len(load.Sessions) != 3 {
		t.Fatalf("join sessions: got %+v, %v, want 3 sessions and no error", load, err)
	}
	first := load.Sessions[0]
	if first.Arrival != time.Second || first.End().Round(100*time.Millisecond) != 12*time.Second {
		t.Errorf("first session: got %v to %v, want 1s to 12s", first.Arrival, first.End())
	}
	captured.Classes = []string{"unknown"}
	_, err = captured.Sessions(eveningFleet(t), 1)
	var unknown *UnknownClassError
	if !errors.As(err, &unknown) || unknown.Class != "unknown" {
		t.Errorf("join sessions of an unknown class: got error %v, want an UnknownClassError with that class", err)
	}
}

// TestScaleMultipliesDemandAndKeepsGroupSize checks that scaling multiplies the demand by the factor and keeps the
// mean size of groups.
func TestScaleMultipliesDemandAndKeepsGroupSize(t *testing.T) {
	load := Generate(eveningFleet(t), GeneratorOptions{Seed: 3, Length: time.Minute, Concurrency: 4000})
	groupSize := func(shape loadShape) float64 { return float64(shape.sessions) / float64(shape.groups) }
	for _, factor := range []float64{0.25, 1, 1.5, 3} {
		scaled := load.Scale(factor, 9)
		if ratio := scaled.MeanConcurrency() / load.MeanConcurrency(); math.Abs(ratio/factor-1) > 0.12 {
			t.Errorf("scale by %v: got %.2f times the concurrent sessions, want the factor within 12%%", factor, ratio)
		}
		before := groupSize(shapeOf(load))
		after := groupSize(shapeOf(scaled))
		if math.Abs(before/after-1) > 0.12 {
			t.Errorf("scale by %v: got groups of %.2f sessions, want %.2f within 12%%", factor, after, before)
		}
	}
}

// TestCutStartsWithOpenSessions checks that a part of a load contains the sessions of its period. Those that arrived
// before the period must come first and be already open.
func TestCutStartsWithOpenSessions(t *testing.T) {
	description := eveningFleet(t)
	load := Generate(description, GeneratorOptions{Seed: 3, Length: time.Minute, Concurrency: 200, RateVariation: 0.8})
	if at := load.BusiestWindow(description, 16*time.Second); at < 30*time.Second {
		t.Errorf("busiest window of a growing load: got %v, want 30s or later", at)
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
			t.Fatalf("cut: got session %d = %+v, want the first %d already open at 0s and each arrival before 20s",
				i, session, open)
		}
	}
	if open == 0 || len(part.Sessions) <= open {
		t.Errorf("cut: got %d sessions, %d of them already open, want some of both kinds", len(part.Sessions), open)
	}
}

// TestPriorityIsLowerBeyondQuota checks that only the sessions beyond a tenant's quota have a lower priority weight.
func TestPriorityIsLowerBeyondQuota(t *testing.T) {
	description := eveningFleet(t)
	quota := int(math.Ceil(description.Quota(0)))
	load := &Load{Length: time.Minute}
	for i := range quota + 5 {
		load.Sessions = append(load.Sessions, Session{Arrival: time.Duration(i), Lifetime: time.Second, Tenant: 0})
	}
	load.Sessions = append(load.Sessions, Session{Arrival: 2 * time.Second, Lifetime: time.Second})
	for i, priority := range Priorities(description, load) {
		if beyond := i >= quota && i < quota+5; beyond != (priority < 1) {
			t.Errorf("session %d with a quota of %d: got priority %v, want less than 1 if and only if beyond the quota",
				i, quota, priority)
		}
	}
}
