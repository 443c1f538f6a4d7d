package planner

import (
	"fmt"
	"testing"
	"time"

	"spurwinch/internal/fleet"
	"spurwinch/internal/load"
)

func evening(t testing.TB) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Read("../../deploy/fleet-evening.toml")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func draw(f *fleet.Fleet, seed uint64, standing float64, seconds int) *load.Load {
	return load.Draw(f, load.Drawn{Seed: seed, Length: time.Duration(seconds) * time.Second, Standing: standing})
}

func play(t testing.TB, f *fleet.Fleet, l *load.Load, o Options) Run {
	t.Helper()
	r, err := Play(f, l, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSeed checks that a run is a function of its seed.
func TestSeed(t *testing.T) {
	f := evening(t)
	l := draw(f, 1, 90, 30)
	a, b, c := play(t, f, l, Options{Seed: 3}), play(t, f, l, Options{Seed: 3}), play(t, f, l, Options{Seed: 4})
	if fmt.Sprint(a.Service, a.Stats, a.Series) != fmt.Sprint(b.Service, b.Stats, b.Series) {
		t.Errorf("one seed, two results: %v and %v", a.Stats, b.Stats)
	}
	if a.Service == c.Service {
		t.Error("two seeds, one result")
	}
}
