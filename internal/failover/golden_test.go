package failover

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"spurwinch/internal/policy"
)

// update makes the tests rewrite the golden files. Nodes of older versions read and write the same encodings, so a
// change of a golden file is a change of the protocol.
var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// goldenEvidence returns evidence with every field set. Some of its floats need 16, some 32 and some 64 bits.
func goldenEvidence() EvidenceSummary {
	return EvidenceSummary{
		Zone:     "cluj-1",
		Classes:  []string{"chat", "presence"},
		Arrived:  []float32{12.25, 1000.125},
		Rejected: []float32{0.5, 3.1415927},
		Zones: []ZoneEvidence{{
			Zone:     "cluj-2",
			Nodes:    2,
			Ready:    7,
			Ejected:  1,
			Capacity: 5.75,
			Load:     3.3,
			Cost:     0.04,
			Attempts: 640,
			Failed:   17,
			OwnLoad:  []float32{81.5, 0.1},
		}},
		Nodes: []NodeStatus{{
			Node:        9,
			Plan:        70000,
			Unreachable: []int{4, 300},
			Policy: &policy.MemberStatus{
				Entry:         1 << 33,
				Verdict:       policy.VerdictReject,
				Reason:        "class chat has no host",
				KnownNumber:   41,
				AppliedNumber: 40,
				MayServe:      true,
				Arrived:       123456.7,
				Rejected:      89,
			},
		}, {
			Node:        260, // a node without policy status
			Plan:        69999,
			Unreachable: []int{},
		}},
	}
}

// goldenPlan returns a plan with every field set, for three zones in two regions.
func goldenPlan() *Plan {
	return &Plan{
		Zones: []Zone{
			{
				Name: "cluj-1", Region: "cluj", State: Returning, Nodes: 3, Listed: 4, Capacity: 120.5,
				Demand: []float32{60.25, 7.7}, GuestLoad: 11, Flaps: 2, LeaseOwner: 5, Reserve: 9.75,
			},
			{
				Name: "iasi-1", Region: "iasi", State: Lost, Nodes: 1, Listed: 6, Capacity: 33.3,
				Demand: []float32{1, 2}, GuestLoad: 0.25, Flaps: 8, LeaseOwner: -1, Reserve: 0.1,
			},
			{
				Name: "iasi-2", Region: "iasi", State: Drained, Nodes: 2, Listed: 2, Capacity: 70,
				Demand: []float32{4, 0.3}, GuestLoad: 3, Flaps: 1, LeaseOwner: 9, Reserve: 6,
			},
		},
		Classes: []string{"chat", "presence"},
		Grants: []Grant{
			{From: 1, To: 2, Load: 44.4, RegionLoad: 2.5},
			{From: 2, To: 0, Load: 13, RegionLoad: 12},
		},
		StayInRegion:    []bool{false, true},
		AdmitFractions:  [][]int{{255, 200}, {17, 51}, {1, 0}},
		GrantLifetime:   10.5,
		LostNodes:       []int{7, 260},
		Reason:          "iasi-1 lost: no host is listed as serving",
		EarlierLoads:    [][]float32{{1.5, 2.25, 8}, {3.3, 4, 9}, {0.7, 6, 5}},
		EarlierReserves: []CapacityReserve{{Zone: 1, Owner: 6, Load: 5.5}},
		Previous:        1 << 40,
	}
}

// goldenOperatorOrders returns orders with every field set.
func goldenOperatorOrders() OperatorOrders {
	return OperatorOrders{Drained: []string{"cluj-1", "iasi-1"}}
}

// TestGoldenEvidence checks that the encoding of evidence is unchanged. Nodes send it to aggregators, and aggregators
// send it to voters.
func TestGoldenEvidence(t *testing.T) {
	want := goldenEvidence()
	wantAllSet(t, reflect.ValueOf(want), "EvidenceSummary")
	encoded := golden(t, "evidence.cbor", want.Encode())
	got, err := DecodeEvidenceSummary(encoded)
	if err != nil {
		t.Fatalf("DecodeEvidenceSummary of the golden file: %v", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("DecodeEvidenceSummary of the golden file: got\n%+v, want\n%+v", got, want)
	}
}

// TestGoldenPlan checks that the encoding of plans is unchanged, in the consensus log, in storage and between nodes.
func TestGoldenPlan(t *testing.T) {
	want := goldenPlan()
	wantAllSet(t, reflect.ValueOf(*want), "Plan")
	encoded := golden(t, "plan.cbor", want.Encode())
	got, err := DecodePlan(encoded)
	if err != nil {
		t.Fatalf("DecodePlan of the golden file: %v", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("DecodePlan of the golden file: got\n%+v, want\n%+v", got, want)
	}
}

// TestGoldenOperatorOrders checks that the encoding of operator orders in the consensus log is unchanged.
func TestGoldenOperatorOrders(t *testing.T) {
	want := goldenOperatorOrders()
	wantAllSet(t, reflect.ValueOf(want), "OperatorOrders")
	encoded := golden(t, "operator_orders.cbor", want.Encode())
	got, err := DecodeOperatorOrders(encoded)
	if err != nil {
		t.Fatalf("DecodeOperatorOrders of the golden file: %v", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("DecodeOperatorOrders of the golden file: got %+v, want %+v", got, want)
	}
}

// TestStateAndModeNumbersAndNames checks that the numbers and names of states, modes and log entry kinds are unchanged.
// Plans and log entries contain the numbers. Logs and the output for operators contain the names.
func TestStateAndModeNumbersAndNames(t *testing.T) {
	for state, want := range []string{"well", "lost", "returning", "drained"} {
		if got := State(state).String(); got != want {
			t.Errorf("State(%d).String(): got %q, want %q", state, got, want)
		}
	}
	for mode, want := range []string{"alone", "planned", "ground"} {
		if got := Mode(mode).String(); got != want {
			t.Errorf("Mode(%d).String(): got %q, want %q", mode, got, want)
		}
	}
	for want, state := range []State{Healthy, Lost, Returning, Drained} {
		if int(state) != want {
			t.Errorf("number of zone state %s: got %d, want %d", state, state, want)
		}
	}
	if PlanKind != 1 || OperatorOrdersKind != 2 {
		t.Errorf("kinds of log entries: got plan %d and orders %d, want 1 and 2", PlanKind, OperatorOrdersKind)
	}
}

// golden returns the content of a golden file, and fails the test if the bytes in encoded differ from it.
func golden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, encoded, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, want) {
		t.Errorf("content for the golden file %s: got\n%x, want\n%x", name, encoded, want)
	}
	return want
}

// wantAllSet fails the test for each field that has its zero value, since a golden file can't check the encoding of a
// field that is not set. Of a list of structs, the first element must have all fields set.
func wantAllSet(t *testing.T, value reflect.Value, path string) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			t.Errorf("field %s: got nil, want a value", path)
			return
		}
		wantAllSet(t, value.Elem(), path)
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.Name != "_" {
				wantAllSet(t, value.Field(i), path+"."+field.Name)
			}
		}
	case reflect.Slice:
		if value.Len() == 0 {
			t.Errorf("field %s: got an empty list, want at least one element", path)
			return
		}
		if value.Type().Elem().Kind() == reflect.Struct {
			wantAllSet(t, value.Index(0), path+"[0]")
		}
	default:
		if value.IsZero() {
			t.Errorf("field %s: got its zero value, want another value", path)
		}
	}
}
