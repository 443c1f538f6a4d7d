package agent

import (
	"testing"
	"time"
)

// TestUnresponsiveAggregatorIsSkipped checks that a peer that doesn't reply to evidence is skipped after
// aggregatorTimeout and tried again after aggregatorRetry, and that the retry starts a new timeout.
func TestUnresponsiveAggregatorIsSkipped(t *testing.T) {
	aggregator := &peer{}
	const sentAt = time.Second
	if aggregator.shouldSkip(sentAt) {
		t.Error("shouldSkip before evidence was sent: got true, want false")
	}
	aggregator.unansweredSince = sentAt
	timedOut := sentAt + aggregatorTimeout + time.Millisecond
	for _, test := range []struct {
		at   time.Duration
		want bool
	}{
		{sentAt + aggregatorTimeout, false},
		{timedOut, true},
		{timedOut + aggregatorRetry - time.Millisecond, true},
		{timedOut + aggregatorRetry, false},
	} {
		if got := aggregator.shouldSkip(test.at); got != test.want {
			t.Errorf("shouldSkip at %v: got %t, want %t", test.at, got, test.want)
		}
	}
	if aggregator.unansweredSince != 0 {
		t.Errorf("unansweredSince after the retry: got %v, want 0", aggregator.unansweredSince)
	}
}

// TestOnlyFirstReplyCounts checks that only the first reply to a message counts, and that a reply to a message that was
// not sent doesn't.
func TestOnlyFirstReplyCounts(t *testing.T) {
	receiver := &peer{}
	receiver.recordSendTime(7, time.Second)
	if sentAt, ok := receiver.takeSendTime(7); !ok || sentAt != time.Second {
		t.Errorf("send time of the message of the first reply: got %v, %t, want 1s, true", sentAt, ok)
	}
	for _, clock := range []uint64{7, 8} {
		if _, ok := receiver.takeSendTime(clock); ok {
			t.Errorf("reply to clock %d: got a send time, want none", clock)
		}
	}
}
