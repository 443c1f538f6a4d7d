package discovery

import (
	"fmt"
	"testing"
	"time"
)

// maxDeliveryDelay is the time after which a change counts as delivered, measured from when the discovery service has
// it and can be reached.
const maxDeliveryDelay = 6 * time.Second

// knownList returns a list from which a watch starts.
func knownList() *List {
	return &List{Version: 41, Full: true, Servers: []entry{{ID: "s-1", Addr: "127.0.0.1:9", State: "SERVING"}}}
}

// TestChangeDeliveredAfterOutage checks that a node gets a change within 6 s after an outage of the discovery service,
// although its settings allow ten minutes without a call. The service is restored at the worst moment: when a call has
// just failed and the longest backoff begins, or when a call that never ends has just begun. The test uses the real
// balancer, which decides when to poll.
func TestChangeDeliveredAfterOutage(t *testing.T) {
	const failures, hanging = 5, 3 // enough for backoffs to reach their maximum
	for _, kind := range []outageKind{
		portClosed, connectHangs, unavailable, connReset, connClosed, noResponse, endlessResponse, stalledResponse,
	} {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, list known: %v", kind, known), func(t *testing.T) {
				t.Parallel()
				service := newOutage(t, kind)
				var list *List
				if known {
					list = knownList()
				}
				delay := service.deliveryDelay(list, failures, hanging)
				t.Logf("change delivered %v after the outage", delay)
				if delay > maxDeliveryDelay {
					t.Errorf("delivery: got it %v after the outage, want at most %v", delay, maxDeliveryDelay)
				}
			})
		}
	}
}

// TestCallRepeatedWhenResponseNeverEnds lets the response to the first call begin but never end. The changes that it
// contains count as delivered, so the call must be repeated long before its own timeout.
func TestCallRepeatedWhenResponseNeverEnds(t *testing.T) {
	for _, kind := range []outageKind{endlessResponse, stalledResponse} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			delay := newOutage(t, kind).deliveryDelay(knownList(), 0, 1)
			if delay > 2*defaultTiming.bodyTimeout {
				t.Errorf("delivery of a change: got it %v after the outage, want at most twice the body timeout", delay)
			}
		})
	}
}

// TestBackoffAfterRepeatedSilence checks that the next call waits for a backoff after two abandoned calls, which
// relieves an overloaded service.
func TestBackoffAfterRepeatedSilence(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.silent.Store(true)
	times := shortTiming()
	times.recoveryWait = times.pollWait
	times.recoveryResponseTimeout = times.responseTimeout
	startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, times)
	receive(t, discovery.calls)
	receive(t, discovery.calls)
	second := time.Now()
	receive(t, discovery.calls)
	if after := time.Since(second); after < times.initialBackoff/2 {
		t.Errorf("third call: got it %v after the second, want at least half the initial backoff", after)
	}
}

// TestBackoffWithinDeliveryDelay checks that a call that began before the service could be reached, the longest backoff
// and the next call together fit into the time after which a change counts as delivered.
func TestBackoffWithinDeliveryDelay(t *testing.T) {
	const lastCall = time.Second // time for the call that returns the change
	for seed := range uint64(50) {
		watch := New(nil, "", nil, Mode{DrainGrace: 3 * time.Second}, seed, nil)
		watch.recovering = true
		for watch.failures = 1; watch.failures < 100; watch.failures++ {
			backoff := watch.backoff()
			wait, timeout := watch.pollTimes()
			for _, call := range []time.Duration{connectTimeout, watch.listTimeout(), wait + timeout} {
				if call+backoff+lastCall > maxDeliveryDelay {
					t.Fatalf("after %d failures: got a call of %v and a backoff of %v, want time for the last call",
						watch.failures, call, backoff)
				}
			}
			tooLong := watch.failures == 1 && backoff > defaultTiming.initialBackoff
			if backoff < defaultTiming.initialBackoff/2 || tooLong {
				t.Fatalf("after %d failures: got backoff %v, want 375ms or more, and 750ms or less after one failure",
					watch.failures, backoff)
			}
		}
	}
}
