package simulation

import (
	"encoding/json"
	"testing"

	"spurwinch/internal/lab/faults"
)

// TestScenarios plays each hard case with a small fleet: no rule broken, and what it is made for has happened.
func TestScenarios(t *testing.T) {
	for _, s := range Scenarios {
		t.Run(s.Name, func(t *testing.T) {
			_, v, err := Play(Options{Seed: 1, Nodes: 12, Faults: s.Name})
			if err != nil {
				t.Fatal(err)
			}
			for _, x := range v.Violations {
				t.Errorf("%s at %.2f s: %s", x.Rule, x.At, x.What)
			}
			b, _ := json.Marshal(v.Figures)
			t.Logf("%s", b)
		})
	}
}

// TestPolicies plays each hard case of changes of policy.
func TestPolicies(t *testing.T) {
	for _, s := range PolicyScenarios {
		t.Run(s.Name, func(t *testing.T) {
			_, v, err := Play(Options{Seed: 2, Nodes: 15, Faults: s.Name, Loss: 0.01})
			if err != nil {
				t.Fatal(err)
			}
			for _, x := range v.Violations {
				t.Errorf("%s at %.2f s: %s", x.Rule, x.At, x.What)
			}
			if v.Seen["admitted: lease"] < 1000 || v.Seen["commands in order"] < 3 {
				t.Errorf("%d requests were taken, %d commands answered: this shows nothing", v.Seen["admitted: lease"], v.Seen["commands in order"])
			}
		})
	}
}

// TestDrawn plays schedules drawn by seed.
func TestDrawn(t *testing.T) {
	for seed := range uint64(12) {
		_, v, err := Play(Options{Seed: seed + 100, Nodes: 15, Faults: "drawn", Loss: 0.02, Messages: 400})
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range v.Violations {
			t.Errorf("seed %d: %s at %.2f s: %s", seed+100, x.Rule, x.At, x.What)
		}
	}
}

// TestSame holds that a schedule is the same each time.
func TestSame(t *testing.T) {
	var last string
	for range 2 {
		w, v, err := Play(Options{Seed: 7, Nodes: 12, Faults: "drawn", Loss: 0.05})
		if err != nil {
			t.Fatal(err)
		}
		b, _ := json.Marshal(struct {
			F any
			N int
			B uint64
		}{v.Figures, len(w.events), w.Bytes()})
		if last != "" && last != string(b) {
			t.Errorf("one seed, two runs:\n%s\n%s", last, b)
		}
		last = string(b)
	}
}

// TestCommonBesideEach holds what the plan in common is for: against each node for itself, by a static order of zones, the fullest zone stays
// below what is planned for, and no less is served where a zone is lost.
func TestCommonBesideEach(t *testing.T) {
	for _, name := range []string{"zone-lost", "leader-stopped", "region-lost"} {
		var served [2]float64
		var peak [2]float64
		for i, p := range []Policy{Common, Static} {
			for seed := range uint64(3) {
				_, v, err := Play(Options{Seed: seed + 1, Nodes: 24, Zones: 4, Regions: 2, Faults: name, Policy: p})
				if err != nil {
					t.Fatal(err)
				}
				served[i] += v.Figures.Served / 3
				peak[i] = max(peak[i], v.Figures.PeakOfRoom)
			}
		}
		t.Logf("%s: served %.3f in common, %.3f by order; fullest zone %.2f, %.2f", name, served[0], served[1], peak[0], peak[1])
		if served[0] < served[1]-0.005 || peak[0] > peak[1]+0.02 {
			t.Errorf("%s: served %.3f against %.3f, fullest zone %.2f against %.2f", name, served[0], served[1], peak[0], peak[1])
		}
	}
}

// TestAllLookLost holds that a fleet whose lines to all hosts were cut is back soon: when every zone looks lost, what was seen is suspect.
func TestAllLookLost(t *testing.T) {
	w, _, err := Play(Options{Seed: 3, Nodes: 16, Zones: 4, Regions: 2, Faults: "all-look-lost"})
	if err != nil {
		t.Fatal(err)
	}
	up, all := 0, 0
	for _, e := range w.events {
		if e.Kind == faults.KindAnswer && e.At > 26 && e.At < 40 {
			if all++; e.Result == "up" {
				up++
			}
		}
	}
	if all < 100 || up < all*3/4 {
		t.Errorf("from 4 s after the fault on %d of %d requests were served", up, all)
	}
}
