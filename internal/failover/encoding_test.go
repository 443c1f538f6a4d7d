package failover

import (
	"errors"
	"testing"
	"time"
)

// FuzzDecode checks that no bytes from a peer make decoding panic, and that the node can use what it decodes without a
// panic.
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
		_, _ = DecodeOperatorOrders(data) // it must not panic; errors are allowed
	})
}

// TestDecodeErrors checks that decoding errors wrap the error that names the kind of the invalid message.
func TestDecodeErrors(t *testing.T) {
	if _, err := DecodePlan((&Plan{Zones: []Zone{{Name: "a"}}}).Encode()); !errors.Is(err, ErrInvalidPlan) {
		t.Errorf("DecodePlan without the zone's admission: got %v, want ErrInvalidPlan", err)
	}
	if _, err := DecodePlan([]byte{0x9f}); !errors.Is(err, ErrInvalidPlan) {
		t.Errorf("DecodePlan of truncated data: got %v, want ErrInvalidPlan", err)
	}
	evidence := EvidenceSummary{Classes: []string{"c"}}
	if _, err := DecodeEvidenceSummary(evidence.Encode()); !errors.Is(err, ErrInvalidEvidence) {
		t.Errorf("DecodeEvidenceSummary without the class's arrivals: got %v, want ErrInvalidEvidence", err)
	}
	if _, err := DecodeEvidenceSummary([]byte{0x9f}); !errors.Is(err, ErrInvalidEvidence) {
		t.Errorf("DecodeEvidenceSummary of truncated data: got %v, want ErrInvalidEvidence", err)
	}
	orders := OperatorOrders{Drained: make([]string, MaxZones+1)}
	if _, err := DecodeOperatorOrders(orders.Encode()); !errors.Is(err, ErrInvalidOrders) {
		t.Errorf("DecodeOperatorOrders with too many zones: got %v, want ErrInvalidOrders", err)
	}
	if _, err := DecodeOperatorOrders([]byte{0x9f}); !errors.Is(err, ErrInvalidOrders) {
		t.Errorf("DecodeOperatorOrders of truncated data: got %v, want ErrInvalidOrders", err)
	}
}
