package agent

import (
	"testing"
	"time"
)

// TestAggregatorIsPassedOver checks that a peer that leaves evidence unanswered is passed over, tried again after a
// while, and used again as soon as it answers.
func TestAggregatorIsPassedOver(t *testing.T) {
	aggregator := &peer{}
	const sentAt = time.Second
	if aggregator.isPassedOver(sentAt) {
		t.Error("passed over before it was sent evidence, wanted not")
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
		if got := aggregator.isPassedOver(test.at); got != test.want {
			t.Errorf("at %v: passed over %t, wanted %t", test.at, got, test.want)
		}
	}
	if aggregator.unansweredSince != 0 {
		t.Errorf("evidence unanswered since %v after the retry, wanted none", aggregator.unansweredSince)
	}
}

// TestAnswerIsTakenOnce checks that only the first answer to a message counts, and none to a message that was not sent.
func TestAnswerIsTakenOnce(t *testing.T) {
	receiver := &peer{}
	receiver.awaitAnswer(7, time.Second)
	if sentAt, ok := receiver.answered(7); !ok || sentAt != time.Second {
		t.Errorf("first answer: sent at %v, %t, wanted 1s, true", sentAt, ok)
	}
	for _, clock := range []uint64{7, 8} {
		if _, ok := receiver.answered(clock); ok {
			t.Errorf("answer to clock %d is taken, wanted not", clock)
		}
	}
}
