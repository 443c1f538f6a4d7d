package choice

import (
	"testing"
	"time"
)

// TestSlowStartTokensOfNodesHaveDifferentPhases checks that nodes that start together do not all get their tokens for
// servers in slow start at the same time. Otherwise all of them would send such a server connections at the same time.
func TestSlowStartTokensOfNodesHaveDifferentPhases(t *testing.T) {
	const nodes = 20
	phases := map[int]bool{}
	for seed := range uint64(nodes) {
		balancer, err := New(noReportSettings(nodes), seed, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		balancer.Step(time.Hour, []Event{ServerList{Kind: ListFull, Servers: []Server{
			{ID: "cold", Size: 2, Started: time.Hour}, {ID: "warm", Size: 2},
		}}})
		balancer.hasSlowStartBudget(&requestEntry{affinity: 1}, balancer.findServer("cold"))
		if balancer.slowStart.common.tokens < 0 || balancer.slowStart.common.tokens >= 1 {
			t.Fatalf("seed %d: got a common budget of %.3f tokens, want at least 0 and below 1", seed,
				balancer.slowStart.common.tokens)
		}
		phases[int(balancer.slowStart.common.tokens*10)] = true
	}
	if len(phases) < 5 {
		t.Errorf("initial tokens of %d nodes: got %d of ten phases, want at least 5", nodes, len(phases))
	}
}

// TestConnectionLoadsOfUnknownClasses guards against a very large table of class loads. A connection from a process
// with other settings may have a class index that this process does not know, here 2^20, and the table must not grow to
// it.
func TestConnectionLoadsOfUnknownClasses(t *testing.T) {
	balancer, now := newNoReportNode(t, 3, 4)
	class := balancer.settings.Classes[0]
	balancer.Step(now, []Event{OpenConnection{
		Request: Request{ID: "x", Class: 1 << 20, Tenant: -1}, Server: "h0",
		OriginalClass: &class, CurrentLoad: 0.05,
	}})
	if len(balancer.units.byClass) > len(balancer.settings.Classes) {
		t.Errorf("unknown class: got mean loads of %d classes, want at most the %d of the settings",
			len(balancer.units.byClass), len(balancer.settings.Classes))
	}
}
