package choice

import (
	"testing"
	"time"
)

// Nodes that start together must not all get their tokens for servers in slow start in the same moment.
func TestCommonCreditHasASeededPhase(t *testing.T) {
	const nodes = 20
	seen := map[int]bool{}
	for seed := range uint64(nodes) {
		balancer, err := New(silentSettings(nodes), seed, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		balancer.Step(time.Hour, []Event{ServerList{Kind: ListFull, Servers: []Server{
			{ID: "cold", Size: 2, Started: time.Hour}, {ID: "warm", Size: 2},
		}}})
		balancer.hasSlowStartBudget(&requestEntry{affinity: 1}, balancer.findServer("cold"))
		if balancer.slowStart.common.tokens < 0 || balancer.slowStart.common.tokens >= 1 {
			t.Fatalf("seed %d starts with a budget of %.3f", seed, balancer.slowStart.common.tokens)
		}
		seen[int(balancer.slowStart.common.tokens*10)] = true
	}
	if len(seen) < 5 {
		t.Errorf("%d nodes start in %d of ten phases", nodes, len(seen))
	}
}

// A connection that comes with a class of other settings must not make a table of its own size.
func TestConnectionLoadsOfUnknownClasses(t *testing.T) {
	b, now := silentNode(t, 3, 4)
	class := b.settings.Classes[0]
	b.Step(now, []Event{OpenConnection{
		Request: Request{ID: "x", Class: 1 << 20, Tenant: -1}, Server: "h0",
		OriginalClass: &class, CurrentLoad: 0.05,
	}})
	if len(b.units.byClass) > len(b.settings.Classes) {
		t.Errorf("%d classes have a mean load, the settings have %d", len(b.units.byClass), len(b.settings.Classes))
	}
}
