package node

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/consensus"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
	"spurwinch/internal/simwire"
)

// TestUnder holds what a node goes by under a policy, and under its ground: classes keep their indices, and what the policy doesn't speak of is the
// node's own.
func TestUnder(t *testing.T) {
	own := simwire.Settings{ClassByName: map[string]int{"a": 0, "b": 1}, TenantByName: map[string]int{}}
	own.Classes = []choice.Class{{Name: "a", Deadline: 9 * time.Second, Idempotency: choice.NotIdempotent}, {Name: "b", Deadline: 9 * time.Second}}
	own.Limits.MaxAttempts = 3
	d := &policy.Document{Attempts: 4, Classes: []policy.Class{{Name: "b", SetupObjective: time.Second, Deadline: 3 * time.Second, Priority: 2, ServedByBase: true},
		{Name: "new", SetupObjective: time.Second, Deadline: 2 * time.Second}}, Base: policy.BasePolicy{Attempts: 1, Deadline: 2 * time.Second}, OverQuotaPriority: 0.3}
	for _, c := range []struct {
		ground   bool
		attempts int
		patience time.Duration
	}{{false, 3, 3 * time.Second}, {true, 1, 2 * time.Second}} {
		s := withPolicy(d, own, c.ground).After(own)
		if s.ClassByName["b"] != 1 || s.ClassByName["new"] != 2 || !s.Classes[0].Removed || s.Classes[0].Idempotency != choice.NotIdempotent {
			t.Errorf("ground %v: classes %+v, by name %v", c.ground, s.Classes, s.ClassByName)
		}
		if _, there := s.ClassByName["a"]; there {
			t.Errorf("ground %v: a class that the policy doesn't have can be asked for", c.ground)
		}
		if b := s.Classes[1]; b.Deadline != c.patience || b.Priority != 2 || s.Limits.MaxAttempts != c.attempts || s.OverQuotaPriority != 0.3 {
			t.Errorf("ground %v: %+v, %d attempts", c.ground, b, s.Limits.MaxAttempts)
		}
	}
	f := &fleet{policy: policyState{number: 7, document: d}}
	if err := f.checkPolicyConflict(own); err == nil || !strings.Contains(err.Error(), "policy 7 of the fleet") {
		t.Errorf("a file with a class that the policy doesn't have: %v", err)
	}
	own.ClassByName = map[string]int{"b": 1}
	if err := f.checkPolicyConflict(own); err == nil || !strings.HasPrefix(err.Error(), "giveUpS of b is 9s, policy 7 of the fleet has 3s") {
		t.Errorf("a file with another patience: %v", err)
	}
	own.Classes[1].Deadline, own.Classes[1].SetupObjective, own.Classes[1].Priority, own.Limits.MaxAttempts = 3*time.Second, time.Second, 2, 4
	if err := f.checkPolicyConflict(own); err != nil {
		t.Errorf("a file that agrees: %v", err)
	}
}

// TestBeyond holds that a node that can't go by the policy in force reads it, and tells of it, once: not with each message that comes.
func TestBeyond(t *testing.T) {
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	list, err := membership.NewList([]membership.Node{{Name: "a", Zone: "z"}, {Name: "v", Zone: "z", Voter: true}})
	if err != nil {
		t.Fatal(err)
	}
	core, err := edge.New(edge.Options{Clock: l, Settings: choice.Settings{Nodes: 1, Classes: []choice.Class{{Name: "a", Deadline: time.Second}}}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	seen, told := observer.New(zap.ErrorLevel)
	defer zap.ReplaceGlobals(zap.New(seen))()
	f := &fleet{loop: l, core: core, start: time.Now(), policy: policyState{program: &Program{}},
		config: config.Fleet{Self: "a", List: &config.FleetList{List: list, Policy: &config.FleetPolicy{Window: config.Duration(5 * time.Second)}}}}
	state := &policy.State{Number: 1, LastNumber: 1, Documents: []policy.VersionedDocument{{Number: 1, Text: []byte("newer = 1\n")}}}
	if f.agent, err = agent.New(agent.Options{List: list, Key: []byte("k"), Policy: f.policyOptions(),
		Records: []consensus.Record{{LogID: 7, Newest: []consensus.Entry{{Index: 3, Kind: policy.Kind, Data: state.Encode()}}}}}, 0); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		f.applyPolicy()
	}
	if n := told.FilterMessage("fleet_policy_unusable").Len(); n != 1 {
		t.Errorf("told %d times, wanted once", n)
	}
	if f.servesPolicy() {
		t.Error("it says that it serves")
	}
}
