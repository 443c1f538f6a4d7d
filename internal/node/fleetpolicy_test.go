package node

import (
	"errors"
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
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
	"spurwinch/internal/simwire"
)

// overlaySettings returns a node's own settings, which the policy of overlayDocument overlays.
func overlaySettings() simwire.Settings {
	own := simwire.Settings{ClassByName: map[string]int{"a": 0, "b": 1}, TenantByName: map[string]int{}}
	own.Classes = []choice.Class{
		{Name: "a", Deadline: 9 * time.Second, Idempotency: choice.NotIdempotent},
		{Name: "b", Deadline: 9 * time.Second},
	}
	own.Limits.MaxAttempts = 3
	return own
}

// overlayDocument returns a policy without class a of overlaySettings and with an additional class "new".
func overlayDocument() *policy.Document {
	return &policy.Document{
		Attempts: 4,
		Classes: []policy.Class{
			{Name: "b", SetupObjective: time.Second, Deadline: 3 * time.Second, Priority: 2, ServedByBase: true},
			{Name: "new", SetupObjective: time.Second, Deadline: 2 * time.Second},
		},
		Base:              policy.BasePolicy{Attempts: 1, Deadline: 2 * time.Second},
		OverQuotaPriority: 0.3,
	}
}

// TestPolicyOverlaysNodeSettings checks a node's settings under a policy and under its base policy. Classes keep their
// indices, and settings that the policy doesn't set keep the node's own values. It also checks that a file that
// conflicts with the policy is reported.
func TestPolicyOverlaysNodeSettings(t *testing.T) {
	own := overlaySettings()
	document := overlayDocument()
	for _, test := range []struct {
		onBase   bool
		attempts int
		deadline time.Duration
	}{{false, 3, 3 * time.Second}, {true, 1, 2 * time.Second}} {
		overlaid := withPolicy(document, own, test.onBase).WithIndicesOf(own)
		removed := overlaid.Classes[0]
		if overlaid.ClassByName["b"] != 1 || overlaid.ClassByName["new"] != 2 || !removed.Removed ||
			removed.Idempotency != choice.NotIdempotent {
			t.Errorf("withPolicy with onBase %v: got classes %+v with indices %v, want a removed, b at 1, new at 2",
				test.onBase, overlaid.Classes, overlaid.ClassByName)
		}
		if _, isKnown := overlaid.ClassByName["a"]; isKnown {
			t.Errorf("withPolicy with onBase %v: got an index for class a, want none because the policy lacks it",
				test.onBase)
		}
		class := overlaid.Classes[1]
		attempts := overlaid.Limits.MaxAttempts
		if class.Deadline != test.deadline || class.Priority != 2 || attempts != test.attempts ||
			overlaid.OverQuotaPriority != 0.3 {
			t.Errorf("withPolicy with onBase %v: got class b as %+v and %d attempts, want the policy's values",
				test.onBase, class, attempts)
		}
	}
	member := &fleet{policy: policyState{number: 7, document: document}}
	if text := policyConflict(t, member, own); !strings.Contains(text, "policy 7 of the fleet") {
		t.Errorf("checkPolicyConflict of a file with an unknown class: got %q, want \"policy 7 of the fleet\" in it",
			text)
	}
	own.ClassByName = map[string]int{"b": 1}
	text := policyConflict(t, member, own)
	if !strings.HasPrefix(text, "giveUpS of b is 9s, policy 7 of the fleet has 3s") {
		t.Errorf("checkPolicyConflict of a file with a different deadline: got %q, want the two deadlines", text)
	}
	own.Classes[1].Deadline = 3 * time.Second
	own.Classes[1].SetupObjective = time.Second
	own.Classes[1].Priority = 2
	own.Limits.MaxAttempts = 4
	if err := member.checkPolicyConflict(own); err != nil {
		t.Errorf("checkPolicyConflict of a file without a conflict: got %v, want nil", err)
	}
}

// policyConflict returns the error text of a file's conflict with the policy in use.
func policyConflict(t *testing.T, member *fleet, file simwire.Settings) string {
	t.Helper()
	err := member.checkPolicyConflict(file)
	var conflict *policyConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("checkPolicyConflict: got %v, want a *policyConflictError", err)
	}
	return err.Error()
}

// TestUnusablePolicyLoggedOnce checks that a node that can't apply the policy in force reads it and logs the error only
// once, and not for each message that it receives.
func TestUnusablePolicyLoggedOnce(t *testing.T) {
	eventLoop := newLoop(t)
	list, err := membership.NewList([]membership.Node{{Name: "a", Zone: "z"}, {Name: "v", Zone: "z", Voter: true}})
	if err != nil {
		t.Fatal(err)
	}
	core, err := edge.New(edge.Options{
		Clock:    eventLoop,
		Settings: choice.Settings{Nodes: 1, Classes: []choice.Class{{Name: "a", Deadline: time.Second}}},
		Seed:     1,
	})
	if err != nil {
		t.Fatal(err)
	}
	logCore, logged := observer.New(zap.ErrorLevel)
	defer zap.ReplaceGlobals(zap.New(logCore))()
	rules := &config.FleetPolicy{Window: config.Duration(5 * time.Second)}
	member := &fleet{
		loop: eventLoop, core: core, start: time.Now(), policy: policyState{program: &Program{}},
		config: config.Fleet{Self: "a", List: &config.FleetList{List: list, Policy: rules}},
	}
	state := &policy.State{
		Number: 1, LastNumber: 1, Documents: []policy.VersionedDocument{{Number: 1, Text: []byte("newer = 1\n")}},
	}
	entry := consensus.Entry{Index: 3, Kind: policy.Kind, Data: state.Encode()}
	member.agent, err = agent.New(agent.Options{
		List: list, Key: []byte("k"), Policy: member.policyOptions(),
		Records: []consensus.Record{{LogID: 7, Newest: []consensus.Entry{entry}}},
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		member.applyPolicy()
	}
	if count := logged.FilterMessage("fleet_policy_unusable").Len(); count != 1 {
		t.Errorf("fleet_policy_unusable: got %d log lines, want 1", count)
	}
	if member.servesPolicy() {
		t.Error("servesPolicy: got true, want false")
	}
}
