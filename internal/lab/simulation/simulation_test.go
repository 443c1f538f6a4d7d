package simulation

import (
	"encoding/json"
	"testing"
	"time"

	"spurwinch/internal/lab/faults"
)

// reportViolations fails the test for each rule that a run broke.
func reportViolations(t *testing.T, seed uint64, verdict faults.Verdict) {
	t.Helper()
	for _, violation := range verdict.Violations {
		t.Errorf("seed %d: %s at %.2f s: %s", seed, violation.Rule, violation.At, violation.What)
	}
}

// play plays a run and fails the test if it could not be played.
func play(t *testing.T, options Options) (*World, faults.Verdict) {
	t.Helper()
	world, verdict, err := Play(options)
	if err != nil {
		t.Fatal(err)
	}
	return world, verdict
}

// TestScenarios plays each scenario with a small fleet: no rule is broken, and what it is made for has happened.
func TestScenarios(t *testing.T) {
	for _, scenario := range Scenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			_, verdict := play(t, Options{Seed: 1, Nodes: 12, Scenario: scenario.Name})
			reportViolations(t, 1, verdict)
			figures, err := json.Marshal(verdict.Figures)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s", figures)
		})
	}
}

// TestPolicyScenarios plays each scenario of policy changes.
func TestPolicyScenarios(t *testing.T) {
	for _, scenario := range PolicyScenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			_, verdict := play(t, Options{Seed: 2, Nodes: 15, Scenario: scenario.Name, Loss: 0.01})
			reportViolations(t, 2, verdict)
			admitted := verdict.Seen["admitted: lease"]
			commands := verdict.Seen["commands in order"]
			if admitted < 1000 || commands < 3 {
				t.Errorf("%d requests admitted, %d commands answered: too few to show anything", admitted, commands)
			}
		})
	}
}

// TestRandomSchedules plays schedules drawn by seed.
func TestRandomSchedules(t *testing.T) {
	for i := range uint64(12) {
		options := Options{
			Seed: i + 100, Nodes: 15, Scenario: "drawn", Loss: 0.02, MaxMessageDelay: 400 * time.Millisecond,
		}
		_, verdict := play(t, options)
		reportViolations(t, options.Seed, verdict)
	}
}

// TestRunIsReproducible checks that two runs of one seed have the same history.
func TestRunIsReproducible(t *testing.T) {
	var first string
	for run := range 2 {
		world, verdict := play(t, Options{Seed: 7, Nodes: 12, Scenario: "drawn", Loss: 0.05})
		summary, err := json.Marshal(struct {
			Figures   faults.Figures
			Events    int
			BytesSent uint64
			History   []faults.Event
		}{verdict.Figures, len(world.history), world.BytesSent(), world.history})
		if err != nil {
			t.Fatal(err)
		}
		if run == 0 {
			first = string(summary)
		} else if string(summary) != first {
			t.Errorf("two runs of one seed differ:\n%.400s\n%.400s", first, summary)
		}
	}
}

// TestCommonPlanAgainstStaticOrder checks what the common plan is for: compared with nodes that decide for themselves
// by a static order of zones, the fullest zone stays below what is planned for, and no less is served where a zone is
// lost.
func TestCommonPlanAgainstStaticOrder(t *testing.T) {
	const seeds = 3
	for _, name := range []string{"zone-lost", "leader-stopped", "region-lost"} {
		measure := func(policy Policy) (served, peak float64) {
			for seed := range uint64(seeds) {
				_, verdict := play(t, Options{
					Seed: seed + 1, Nodes: 24, Zones: 4, Regions: 2, Scenario: name, Policy: policy,
				})
				served += verdict.Figures.Served / seeds
				peak = max(peak, verdict.Figures.PeakUtilization)
			}
			return served, peak
		}
		served, peak := measure(CommonPlan)
		servedStatic, peakStatic := measure(StaticOrder)
		t.Logf("%s: served %.3f by the common plan, %.3f by static order; fullest zone %.2f, %.2f",
			name, served, servedStatic, peak, peakStatic)
		if served < servedStatic-0.005 || peak > peakStatic+0.02 {
			t.Errorf("%s: served %.3f, static order %.3f; fullest zone %.2f, static order %.2f",
				name, served, servedStatic, peak, peakStatic)
		}
	}
}

// TestRecoveryWhenAllZonesLookLost checks that a fleet whose links to all servers were cut recovers soon: when every
// zone looks lost, the observations are suspect.
func TestRecoveryWhenAllZonesLookLost(t *testing.T) {
	world, _ := play(t, Options{Seed: 3, Nodes: 16, Zones: 4, Regions: 2, Scenario: "all-look-lost"})
	served, answered := 0, 0
	for _, event := range world.history {
		if event.Kind != faults.KindAnswer || event.At <= 26 || event.At >= 40 {
			continue
		}
		answered++
		if event.Result == faults.ResultServed {
			served++
		}
	}
	if answered < 100 || served < answered*3/4 {
		t.Errorf("from 4 s after the fault on %d of %d requests were served", served, answered)
	}
}
