package failover

import (
	"errors"
	"testing"
	"time"
)

// FuzzDecode holds that no bytes from a peer break the node, and that what is read can be used.
func FuzzDecode(f *testing.F) {
	f.Add((&Plan{Zones: []Zone{{Name: "a"}}, AdmitFractions: [][]int{{}}}).Encode())
	f.Add(EvidenceSummary{Zone: "a", Classes: []string{"c"}, Arrived: []float32{1}, Rejected: []float32{1}}.Encode())
	f.Add([]byte{0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		if plan, err := DecodePlan(data); err == nil {
			for _, mode := range []Mode{Standalone, Planned, OwnZoneOnly} {
				ZonePlanFor(mode, plan, 0, "a", []string{"c"}, time.Second, LeasedCapacity{})
			}
			plan.StatedCapacity("a")
		}
		if summary, err := DecodeEvidenceSummary(data); err == nil {
			summary.Add(summary)
		}
		_, _ = DecodeOperatorOrders(data) // it must not panic; an error is right
	})
}

// TestDecodeErrors holds that callers can tell what was invalid.
func TestDecodeErrors(t *testing.T) {
	if _, err := DecodePlan((&Plan{Zones: []Zone{{Name: "a"}}}).Encode()); !errors.Is(err, ErrInvalidPlan) {
		t.Errorf("a plan without its zone's admission: %v, want ErrInvalidPlan", err)
	}
	if _, err := DecodePlan([]byte{0x9f}); !errors.Is(err, ErrInvalidPlan) {
		t.Errorf("a plan that breaks off: %v, want ErrInvalidPlan", err)
	}
	evidence := EvidenceSummary{Classes: []string{"c"}}
	if _, err := DecodeEvidenceSummary(evidence.Encode()); !errors.Is(err, ErrInvalidEvidence) {
		t.Errorf("evidence of a class without its arrivals: %v, want ErrInvalidEvidence", err)
	}
	if _, err := DecodeEvidenceSummary([]byte{0x9f}); !errors.Is(err, ErrInvalidEvidence) {
		t.Errorf("evidence that breaks off: %v, want ErrInvalidEvidence", err)
	}
	orders := OperatorOrders{Drained: make([]string, MaxZones+1)}
	if _, err := DecodeOperatorOrders(orders.Encode()); !errors.Is(err, ErrInvalidOrders) {
		t.Errorf("orders for too many zones: %v, want ErrInvalidOrders", err)
	}
	if _, err := DecodeOperatorOrders([]byte{0x9f}); !errors.Is(err, ErrInvalidOrders) {
		t.Errorf("orders that break off: %v, want ErrInvalidOrders", err)
	}
}
