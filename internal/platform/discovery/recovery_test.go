package discovery

import (
	"fmt"
	"testing"
	"time"
)

// maxDeliveryDelay is when a change counts as delivered, from the moment on in which discovery has it and can be
// reached.
const maxDeliveryDelay = 6 * time.Second

// knownList is the list that a watch starts from.
func knownList() *List {
	return &List{Version: 41, Full: true, Servers: []entry{{ID: "s-1", Addr: "127.0.0.1:9", State: "SERVING"}}}
}

// TestChangeDeliveredAfterOutage has discovery come back, with a change, in the worst moment: right after a call
// failed, with the longest backoff ahead, or right after one was begun that never ends. The node has the change within
// 6 s, though its settings allow ten minutes without a call. The balancer that decides when to poll is the real one.
func TestChangeDeliveredAfterOutage(t *testing.T) {
	const failures, hanging = 5, 3 // so many that backoffs are as long as they get
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
				t.Logf("delivered after %v", delay)
				if delay > maxDeliveryDelay {
					t.Errorf("delivered after %v, want at most %v", delay, maxDeliveryDelay)
				}
			})
		}
	}
}

// TestUnendingResponse has the first call's response begin and not end: what it holds counts as delivered, so the call
// is repeated long before its own timeout.
func TestUnendingResponse(t *testing.T) {
	for _, kind := range []outageKind{endlessResponse, stalledResponse} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			delay := newOutage(t, kind).deliveryDelay(knownList(), 0, 1)
			if delay > 2*defaultTiming.bodyTimeout {
				t.Errorf("delivered after %v", delay)
			}
		})
	}
}

// TestBackoffAfterRepeatedSilence guards an overloaded service: after two abandoned calls the next one waits for a
// backoff.
func TestBackoffAfterRepeatedSilence(t *testing.T) {
	discovery := startDiscovery(t, 0)
	discovery.silent.Store(true)
	times := shortTiming()
	times.recoveryWait = times.pollWait
	times.recoveryAnswerTimeout = times.answerTimeout
	startWatch(t, discovery.addr, &List{Version: 7}, Mode{}, times)
	receive(t, discovery.calls)
	receive(t, discovery.calls)
	second := time.Now()
	receive(t, discovery.calls)
	if after := time.Since(second); after < times.initialBackoff/2 {
		t.Errorf("polled again after %v", after)
	}
}

// TestBackoffWithinDeliveryDelay checks that a call that was begun too early, the longest backoff and the call after it
// fit into the time after which a change counts as delivered.
func TestBackoffWithinDeliveryDelay(t *testing.T) {
	const lastCall = time.Second // for the call that brings the change
	for seed := range uint64(50) {
		watch := New(nil, "", nil, Mode{DrainGrace: 3 * time.Second}, seed, nil)
		watch.recovering = true
		for watch.failures = 1; watch.failures < 100; watch.failures++ {
			backoff := watch.backoff()
			wait, timeout := watch.pollTimes()
			for _, call := range []time.Duration{connectTimeout, watch.listTimeout(), wait + timeout} {
				if call+backoff+lastCall > maxDeliveryDelay {
					t.Fatalf("after %d failures a call of %v and a backoff of %v", watch.failures, call, backoff)
				}
			}
			tooLong := watch.failures == 1 && backoff > defaultTiming.initialBackoff
			if backoff < defaultTiming.initialBackoff/2 || tooLong {
				t.Fatalf("after %d failures a backoff of %v", watch.failures, backoff)
			}
		}
	}
}
