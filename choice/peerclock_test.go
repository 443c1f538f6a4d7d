package choice

import (
	"testing"
	"time"
)

// TestPeerClockIsStepped has another node's clock be an hour or some seconds off, from its start or later on: its
// requests are answered again within two seconds, while late ones still are not.
func TestPeerClockIsStepped(t *testing.T) {
	for _, off := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -3 * time.Second} {
		referee := newReferee(t, keeping(), 1)
		referee.now = 2 * time.Hour
		referee.step(fleet(13))
		answersAt := func(clock time.Duration) (answered bool) {
			s := referee.b.servers[3]
			s.report = loadReport{load: 0.1, at: referee.now, known: true}
			q := peerMessage{
				kind: reservationRequest, token: uint16(clock.Milliseconds()), server: serverKey(s),
				load: 1,
			}
			for _, a := range referee.step(PeerMessage{1, q.encode()}) {
				if message, ok := a.(SendPeerMessage); ok && message.To == 1 {
					return true
				}
			}
			return false
		}
		if !answersAt(referee.now) {
			t.Fatal("a request of now has no reply")
		}
		answered := false
		for range 8 {
			referee.now += 250 * time.Millisecond
			answered = answersAt(referee.now + off)
		}
		if !answered {
			t.Errorf("a clock that is %v off: no reply after two seconds", off)
		}
		if referee.now += 250 * time.Millisecond; answersAt(referee.now + off - 2*time.Second) {
			t.Errorf("a clock that is %v off: a request that is two seconds late has a reply", off)
		}
	}
}

// TestStalledPeerIsLate has a node that was held up for two seconds send what it had to say all at once: that is
// late, and stays so.
func TestStalledPeerIsLate(t *testing.T) {
	referee := newReferee(t, keeping(), 1)
	referee.now = time.Hour
	referee.step(fleet(13))
	server := referee.b.servers[3]
	for i := range 20 {
		token := uint16((referee.now - 2*time.Second + time.Duration(i)*20*time.Millisecond).Milliseconds())
		if out := referee.step(PeerMessage{1, peerMessage{
			kind: reservationRequest, token: token,
			server: serverKey(server), load: 1,
		}.encode()}); len(out) > 0 {
			t.Fatalf("message %d, late, has %v follow", i, out)
		}
	}
	good := peerMessage{kind: reservationRequest, token: tokenClock(referee.b.now), server: serverKey(server), load: 1}
	if out := referee.step(PeerMessage{1, good.encode()}); len(out) == 0 {
		t.Error("a request of now is dropped")
	}
}
