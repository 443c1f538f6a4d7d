package choice

import (
	"testing"
	"time"
)

// TestPeerClockOffsetIsLearned guards against a node that drops all requests of a peer as late after the peer's clock
// was stepped by some seconds or an hour. Within two seconds the node must reply to the peer's requests again, while
// requests that arrive late still get no reply.
func TestPeerClockOffsetIsLearned(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -3 * time.Second} {
		checker := newBalancerChecker(t, reservationSettings(), 1)
		checker.now = 2 * time.Hour
		checker.stepAndCheck(newServerList(13))
		repliesAt := func(clock time.Duration) (replied bool) {
			server := checker.balancer.servers[3]
			server.report = loadReport{load: 0.1, at: checker.now, known: true}
			request := peerMessage{
				kind: reservationRequest, token: uint16(clock.Milliseconds()), server: serverKey(server),
				load: 1,
			}
			for _, a := range checker.stepAndCheck(PeerMessage{1, request.encode()}) {
				if message, ok := a.(SendPeerMessage); ok && message.To == 1 {
					return true
				}
			}
			return false
		}
		if !repliesAt(checker.now) {
			t.Fatal("request with the current time in its token: got no reply, want one")
		}
		replied := false
		for range 8 {
			checker.now += 250 * time.Millisecond
			replied = repliesAt(checker.now + offset)
		}
		if !replied {
			t.Errorf("clock offset %v: got no reply after two seconds, want one", offset)
		}
		if checker.now += 250 * time.Millisecond; repliesAt(checker.now + offset - 2*time.Second) {
			t.Errorf("clock offset %v: got a reply to a request that is two seconds late, want none", offset)
		}
	}
}

// TestMessagesOfStalledPeerAreLate checks that a node drops all messages of a peer that stalled for two seconds and
// then sends its messages at once. The node must not learn the delay as a clock offset.
func TestMessagesOfStalledPeerAreLate(t *testing.T) {
	checker := newBalancerChecker(t, reservationSettings(), 1)
	checker.now = time.Hour
	checker.stepAndCheck(newServerList(13))
	server := checker.balancer.servers[3]
	for i := range 20 {
		token := uint16((checker.now - 2*time.Second + time.Duration(i)*20*time.Millisecond).Milliseconds())
		if actions := checker.stepAndCheck(PeerMessage{1, peerMessage{
			kind: reservationRequest, token: token,
			server: serverKey(server), load: 1,
		}.encode()}); len(actions) > 0 {
			t.Fatalf("late message %d: got actions %v, want none", i, actions)
		}
	}
	timely := peerMessage{
		kind: reservationRequest, token: tokenClock(checker.balancer.now), server: serverKey(server), load: 1,
	}
	if actions := checker.stepAndCheck(PeerMessage{1, timely.encode()}); len(actions) == 0 {
		t.Error("request with the current time in its token: got no actions, want a reply or a health check")
	}
}
