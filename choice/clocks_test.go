package choice

import (
	"testing"
	"time"
)

// TestAnotherNodesClockIsStepped has another node's clock be an hour or some seconds off, from its start or later on: its questions are
// answered again within two seconds, while late ones still are not.
func TestAnotherNodesClockIsStepped(t *testing.T) {
	for _, off := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -3 * time.Second} {
		f := newReferee(t, keeping(), 1)
		f.now = 2 * time.Hour
		f.step(fleet(13))
		ask := func(clock time.Duration) (answered bool) {
			s := f.b.servers[3]
			s.report = loadReport{load: 0.1, at: f.now, known: true}
			q := peerMessage{kind: reservationRequest, token: uint16(clock.Milliseconds()), server: serverKey(s), load: 1}
			for _, a := range f.step(PeerMessage{1, q.encode()}) {
				if tell, ok := a.(SendPeerMessage); ok && tell.To == 1 {
					return true
				}
			}
			return false
		}
		if !ask(f.now) {
			t.Fatal("a question of now has no answer")
		}
		answered := false
		for range 8 {
			f.now += 250 * time.Millisecond
			answered = ask(f.now + off)
		}
		if !answered {
			t.Errorf("a clock that is %v off: no answer after two seconds", off)
		}
		if f.now += 250 * time.Millisecond; ask(f.now + off - 2*time.Second) {
			t.Errorf("a clock that is %v off: a question that is two seconds late is answered", off)
		}
	}
}

// TestHeldUpNode has a node that was held up for two seconds send what it had to say all at once: that is late, and stays so.
func TestHeldUpNode(t *testing.T) {
	f := newReferee(t, keeping(), 1)
	f.now = time.Hour
	f.step(fleet(13))
	s := f.b.servers[3]
	for i := range 20 {
		token := uint16((f.now - 2*time.Second + time.Duration(i)*20*time.Millisecond).Milliseconds())
		if out := f.step(PeerMessage{1, peerMessage{kind: reservationRequest, token: token, server: serverKey(s), load: 1}.encode()}); len(out) > 0 {
			t.Fatalf("message %d, late, has %v follow", i, out)
		}
	}
	good := peerMessage{kind: reservationRequest, token: tokenClock(f.b.now), server: serverKey(s), load: 1}
	if out := f.step(PeerMessage{1, good.encode()}); len(out) == 0 {
		t.Error("a question of now is dropped")
	}
}
