package workload

import (
	"math"
	"path/filepath"
	"testing"
	"time"

	"spurwinch/deploy"
	"spurwinch/internal/operations/capture"
	"spurwinch/internal/plan/fleet"
)

func evening(t testing.TB) *fleet.Fleet {
	f, err := fleet.Parse("f", deploy.FleetEvening)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestThroughCapture writes a drawn load as captures and reads it back: sessions, groups, editions and centres must be the
// same in number and shape.
func TestThroughCapture(t *testing.T) {
	f := evening(t)
	l := Draw(f, Drawn{Seed: 3, Length: time.Minute, Standing: 300})
	files, err := l.Write(f, filepath.Join(t.TempDir(), "x"))
	if err != nil {
		t.Fatal(err)
	}
	seen, err := ReadCaptures(files)
	if err != nil || len(seen.Faults) > 0 {
		t.Fatal(err, seen.Faults)
	}
	got, err := seen.Sessions(f, 1)
	if err != nil {
		t.Fatal(err)
	}
	count := func(l *Load) (n [4]int) {
		groups := map[uint64]bool{}
		for _, s := range l.Sessions {
			n[0]++
			groups[s.Group] = true
			if s.Tenant == 1 {
				n[1]++
			}
			if s.Zone == 2 {
				n[2]++
			}
		}
		n[3] = len(groups)
		return n
	}
	if count(l) != count(got) {
		t.Errorf("written %v, read %v", count(l), count(got))
	}
	if a, b := l.Standing(), got.Standing(); math.Abs(a-b) > a/50 || got.Length != l.Length {
		t.Errorf("standing %.1f in %v, then %.1f in %v", a, l.Length, b, got.Length)
	}
}

// TestSessionsAreWhole checks that a client's refusals, breaks and returns are one session, and another client's are not.
func TestSessionsAreWhole(t *testing.T) {
	s := func(x float64) int64 { return int64(x * 1e6) }
	c := &Captured{Classes: []string{"market"}, Length: time.Minute, Share: 1}
	add := func(at float64, client uint64, a capture.Answer, life float64) {
		c.Requests = append(c.Requests, Request{Placed: capture.Placed{At: s(at), Client: client, Answer: a, Took: s(0.01)},
			At: time.Duration(at * 1e9), Tenant: -1, Lifetime: time.Duration(life * 1e9), Ended: true})
	}
	add(1, 7, capture.Refused, 0)
	add(1.5, 7, capture.Refused, 0)
	add(2, 7, capture.Up, 5)
	add(3, 8, capture.Up, 1)
	add(8, 7, capture.Up, 4)  // after a break
	add(40, 7, capture.Up, 2) // much later: a new one
	l, err := c.Sessions(evening(t), 1)
	if err != nil || len(l.Sessions) != 3 {
		t.Fatalf("%+v, %v", l, err)
	}
	if a := l.Sessions[0]; a.Arrival != time.Second || (a.Arrival+a.Lifetime).Round(100*time.Millisecond) != 12*time.Second {
		t.Errorf("the session lasts from %v to %v", a.Arrival, a.Arrival+a.Lifetime)
	}
	c.Classes = []string{"unknown"}
	if _, err := c.Sessions(evening(t), 1); err == nil {
		t.Error("a class that the fleet lacks passed")
	}
}

// TestScale checks that what is asked for grows by the factor and groups stay whole.
func TestScale(t *testing.T) {
	f := evening(t)
	l := Draw(f, Drawn{Seed: 3, Length: time.Minute, Standing: 4000})
	for _, by := range []float64{0.25, 1, 1.5, 3} {
		got := l.Scale(by, 9)
		if r := got.Standing() / l.Standing(); math.Abs(r/by-1) > 0.12 {
			t.Errorf("times %v: %.2f times the standing", by, r)
		}
		size := func(l *Load) float64 {
			groups := map[uint64]bool{}
			for _, s := range l.Sessions {
				groups[s.Group] = true
			}
			return float64(len(l.Sessions)) / float64(len(groups))
		}
		if a, b := size(l), size(got); math.Abs(a/b-1) > 0.12 {
			t.Errorf("times %v: groups of %.2f, then %.2f", by, a, b)
		}
	}
}

// TestCut checks that a stretch holds what was wanted in it, with what stood before marked so and first.
func TestCut(t *testing.T) {
	f := evening(t)
	l := Draw(f, Drawn{Seed: 3, Length: time.Minute, Standing: 200, Swing: 0.8})
	if at := l.BusiestWindow(f, 16*time.Second); at < 30*time.Second {
		t.Errorf("a load that climbs is busiest from %v on", at)
	}
	c := l.Cut(20*time.Second, 40*time.Second)
	stood := 0
	for _, s := range l.Sessions {
		if s.Arrival < 20*time.Second && s.Arrival+s.Lifetime > 20*time.Second {
			stood++
		}
	}
	for i, s := range c.Sessions {
		if s.AlreadyOpen != (i < stood) || s.AlreadyOpen && s.Arrival != 0 || s.Arrival >= 20*time.Second {
			t.Fatalf("session %d of %d standing: %+v", i, stood, s)
		}
	}
	if stood == 0 || len(c.Sessions) <= stood {
		t.Errorf("%d sessions, %d stood", len(c.Sessions), stood)
	}
}

// TestWorths checks that sessions beyond an edition's share are worth less, and only those.
func TestWorths(t *testing.T) {
	f := evening(t)
	q := int(math.Ceil(f.Quota(0)))
	l := &Load{Length: time.Minute}
	for i := range q + 5 {
		l.Sessions = append(l.Sessions, Session{Arrival: time.Duration(i), Lifetime: time.Second, Tenant: 0})
	}
	l.Sessions = append(l.Sessions, Session{Arrival: 2 * time.Second, Lifetime: time.Second})
	w := Priorities(f, l)
	for i, x := range w {
		if beyond := i >= q && i < q+5; beyond != (x < 1) {
			t.Errorf("session %d of a share of %d is worth %v", i, q, x)
		}
	}
}
