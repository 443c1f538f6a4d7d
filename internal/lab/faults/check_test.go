package faults

import (
	"bytes"
	"net"
	"slices"
	"testing"
	"time"

	"spurwinch/internal/failover"
)

// TestCheck holds, for small histories, which rule each breaks, and that a sound one breaks none.
func TestCheck(t *testing.T) {
	plan := (&failover.Plan{Zones: []failover.Zone{{Name: "z", Nodes: 2, Listed: 2, Capacity: 10, Demand: []float32{}}}, AdmitFractions: [][]int{{}},
		Grants: []failover.Grant{{Load: 10}}}).Encode()
	over := (&failover.Plan{Zones: []failover.Zone{{Name: "z", Nodes: 2, Listed: 2, Capacity: 10, Demand: []float32{}}}, AdmitFractions: [][]int{{}},
		Grants: []failover.Grant{{Load: 30}}}).Encode()
	head := []Event{{Kind: KindZone, Zone: "z", Detail: "r", Value: 100}, {Kind: KindNode, Node: "a", Zone: "z", Value: 1}, {Kind: KindNode, Node: "b", Zone: "z"},
		{Kind: KindStart, Node: "a", Detail: "new"}, {Kind: KindStart, Node: "b", Detail: "new"}}
	take := func(at float64, node string, n uint64, digest string, p []byte) Event {
		return Event{At: at, Kind: KindPlan, Node: node, Zone: "z", Number: n, Digest: digest, Plan: p}
	}
	for _, c := range []struct {
		name   string
		events []Event
		rule   string
		judged bool
	}{
		{"sound", []Event{take(1, "a", 3, "x", plan), take(2, "b", 3, "x", plan), {At: 2, Kind: KindMode, Node: "a", Mode: "planned", Number: 3},
			{At: 2, Kind: KindMode, Node: "b", Mode: "planned", Number: 3}, {At: 3, Kind: KindAnswer, ID: "q", Zone: "z", To: "z", Result: "up", Took: 0.1}}, "", true},
		{"two contents", []Event{take(1, "a", 3, "x", plan), take(2, "b", 3, "y", plan)}, "agreed log (1)", true},
		{"a number goes back", []Event{take(1, "a", 3, "x", plan), take(2, "a", 2, "y", plan)}, "agreed log (2)", true},
		{"through a crash", []Event{take(1, "a", 3, "x", plan), {At: 2, Kind: KindCrash, Node: "a"}, {At: 3, Kind: KindStart, Node: "a", Detail: "kept"},
			{At: 3, Kind: KindMode, Node: "a", Mode: "ground", Number: 2}}, "agreed log (2)", true},
		{"files lost", []Event{take(1, "a", 3, "x", plan), {At: 2, Kind: KindCrash, Node: "a"}, {At: 3, Kind: KindStart, Node: "a", Detail: "lost"},
			take(4, "a", 2, "y", plan)}, "", true},
		{"a proposal ends twice", []Event{{Kind: KindProposalEnd, ID: "p", Number: 4}, {Kind: KindProposalEnd, ID: "p", Number: 5}}, "agreed log (3)", true},
		{"over the room", []Event{take(1, "a", 3, "x", over), {At: 2, Kind: KindMode, Node: "a", Mode: "planned", Number: 3}}, "plans (5)", true},
		{"two answers", []Event{{Kind: KindAnswer, ID: "q", Zone: "z", Result: "up"}, {Kind: KindAnswer, ID: "q", Zone: "z", Result: "refused"}}, "placement: one answer", true},
		{"a late answer", []Event{{Kind: KindAnswer, ID: "q", Zone: "z", Result: "up", Took: 5}}, "placement: in time", true},
		{"two at once", []Event{{Kind: KindAttempt, ID: "q", To: "h"}, {Kind: KindAttempt, ID: "q", To: "i"}}, "placement: two at once", true},
		{"five attempts", slices.Repeat([]Event{{Kind: KindAttempt, ID: "q", To: "h"}, {Kind: KindAttemptEnd, ID: "q", To: "h"}}, 5), "placement: attempts", true},
		{"a step that the guard kept from harm", []Event{{Kind: KindGuard, ID: "q", Node: "a", Detail: "too_many_attempts"}}, "placement: attempts", true},
		{"another one", []Event{{Kind: KindGuard, ID: "q", Node: "a", Detail: "unsafe_repeat"}}, "placement: unsafe_repeat", true},
		{"the laboratory was late", []Event{{Kind: KindHarnessDelay, Value: 3}}, "", false},
		{"it had no descriptor left", []Event{{Kind: KindCount, Detail: "out of descriptors", Value: 1}}, "", false},
	} {
		var b bytes.Buffer
		if err := Write(&b, append(slices.Clone(head), c.events...)); err != nil {
			t.Fatal(err)
		}
		events, err := Read(&b)
		if err != nil {
			t.Fatal(err)
		}
		v := Check(events, UsualLimits)
		got := ""
		if len(v.Violations) > 0 {
			got = v.Violations[0].Rule
		}
		if got != c.rule || v.Judged != c.judged {
			t.Errorf("%s: broken %v, judged %v; wanted %q, %v", c.name, v.Violations, v.Judged, c.rule, c.judged)
		}
		if v.Want(map[string]int{"never": 1}); v.Violations[len(v.Violations)-1].Rule != "exercise" {
			t.Errorf("%s: what did not happen is not missed", c.name)
		}
	}
}

// TestRelay holds that each direction is treated by itself, and that nothing passes a cut.
func TestRelay(t *testing.T) {
	r := NewRelay(1)
	defer r.Close()
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	a, b := listen(), listen()
	r.Place("a", "zone:x")
	toB, err := r.Link("a", "b", b.LocalAddr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	toA, err := r.Link("b", "a", a.LocalAddr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	passes := func(from, to *net.UDPConn, by string) bool {
		at, _ := net.ResolveUDPAddr("udp", by)
		from.WriteToUDP([]byte("x"), at)
		to.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		_, _, err := to.ReadFromUDP(make([]byte, 8))
		return err == nil
	}
	if !passes(a, b, toB) || !passes(b, a, toA) {
		t.Fatal("nothing passes a sound link")
	}
	r.Set("zone:x", "*", Fault{Cut: true})
	if passes(a, b, toB) {
		t.Error("a datagram passed a cut")
	}
	if !passes(b, a, toA) {
		t.Error("the other way is cut as well")
	}
	r.Heal()
	if !passes(a, b, toB) {
		t.Error("healed, and nothing passes")
	}
	if r.Counts.Dropped.Load() != 1 {
		t.Errorf("%d dropped", r.Counts.Dropped.Load())
	}
}
