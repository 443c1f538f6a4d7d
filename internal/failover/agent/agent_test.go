package agent

import (
	"testing"
	"time"

	"spurwinch/internal/agree"
	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

func alone(t testing.TB) *Agent {
	l, err := membership.NewList([]membership.Node{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}, {Name: "v", Zone: "y", Voter: true}})
	if err != nil {
		t.Fatal(err)
	}
	a, err := New(Options{List: l, Self: 0, Key: []byte("key"), Rules: failover.Rules{GrantLifetime: 10 * time.Second}, Classes: []string{"c"}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// TestStrangers holds which messages are believed: whole ones of this fleet's key and list, for this node, each once, and none of a process
// that another has followed.
func TestStrangers(t *testing.T) {
	a := alone(t)
	ok := header{kind: beat, from: 1, to: 0, process: 5, clock: 10}
	for _, c := range []struct {
		name  string
		p     []byte
		at    time.Duration
		taken uint64
	}{
		{"a beat", seal(a.options.Key, a.listDigest, ok, nil), 1, 1},
		{"the same again", seal(a.options.Key, a.listDigest, ok, nil), 2, 1},
		{"of another key", seal([]byte("other"), a.listDigest, header{kind: beat, from: 1, process: 5, clock: 11}, nil), 3, 1},
		{"of another list", seal(a.options.Key, a.listDigest+1, header{kind: beat, from: 1, process: 5, clock: 12}, nil), 4, 1},
		{"for another node", seal(a.options.Key, a.listDigest, header{kind: beat, from: 1, to: 2, process: 5, clock: 13}, nil), 5, 1},
		{"from itself", seal(a.options.Key, a.listDigest, header{kind: beat, process: 5, clock: 14}, nil), 6, 1},
		{"from nobody", seal(a.options.Key, a.listDigest, header{kind: beat, from: 9, process: 5, clock: 15}, nil), 7, 1},
		{"cut off", seal(a.options.Key, a.listDigest, ok, nil)[:20], 8, 1},
		{"another process too soon", seal(a.options.Key, a.listDigest, header{kind: beat, from: 1, process: 6, clock: 1}, nil), time.Second, 1},
		{"and when the first one is silent", seal(a.options.Key, a.listDigest, header{kind: beat, from: 1, process: 6, clock: 2}, nil), 4 * time.Second, 2},
		{"what is late of the first", seal(a.options.Key, a.listDigest, header{kind: beat, from: 1, process: 5, clock: 99}, nil), 4*time.Second + 1, 2},
	} {
		a.Receive(c.p, c.at)
		if a.Counts.Taken != c.taken {
			t.Errorf("%s: %d taken, wanted %d", c.name, a.Counts.Taken, c.taken)
		}
	}
}

// TestLease holds how long a node crosses zones: as long as the one that leads was surely there, by this node's own clock, and the way of its
// word is counted against it.
func TestLease(t *testing.T) {
	a := alone(t)
	p := &failover.Plan{Zones: []failover.Zone{{Name: "z", Nodes: 2, Listed: 2, Capacity: 5, Demand: []float32{}}}, AdmitFractions: [][]int{{}}, Before: [][]float32{{0}}, GrantLifetime: 10}
	a.acceptEntry(7, agree.Entry{Number: 3, Kind: failover.PlanKind, Data: p.Encode()}, 1, time.Second)
	if _, n := a.Mode(); n != 0 {
		t.Errorf("goes by plan %d before its disk has it", n)
	}
	a.advance(time.Second)
	a.Persisted(time.Second)
	mode := func(now time.Duration) failover.Mode {
		a.updateMode(now)
		m, _ := a.Mode()
		return m
	}
	if m := mode(2 * time.Second); m != failover.OwnZoneOnly {
		t.Errorf("without word of the one that leads: %v", m)
	}
	tell := func(sent, now, age time.Duration, plan uint64) {
		a.peer(1).asked = map[uint64]time.Duration{42: sent}
		a.handleWord(header{from: 1}, encode(wordBody{Answer: 42, Age: int64(age / time.Microsecond), Plan: plan}), now)
	}
	tell(2*time.Second, 5*time.Second, time.Second, 3) // sent at 2 s, the leader was there a second before that
	for at, want := range map[time.Duration]failover.Mode{5 * time.Second: failover.Planned, 10900 * time.Millisecond: failover.Planned, 11100 * time.Millisecond: failover.OwnZoneOnly} {
		if m := mode(at); m != want {
			t.Errorf("at %v: %v, wanted %v", at, m, want)
		}
	}
	tell(20*time.Second, 21*time.Second, 0, 4) // there is a newer plan, which this node doesn't have
	if m := mode(21 * time.Second); m != failover.OwnZoneOnly {
		t.Errorf("by an old plan, when a newer one is known: %v", m)
	}
	tell(20*time.Second, 21*time.Second, -time.Microsecond, 3)
	if m := mode(21 * time.Second); m != failover.OwnZoneOnly {
		t.Errorf("on the word of an aggregator that knows nothing: %v", m)
	}
}

// FuzzReceive holds that no bytes break a node, also with the fleet's key.
func FuzzReceive(f *testing.F) {
	a := alone(f)
	for k := beat; k <= answer; k++ {
		f.Add(byte(k), uint16(1), []byte{0x80})
		f.Add(byte(k), uint16(2), encode(wordBody{}))
	}
	f.Fuzz(func(t *testing.T, k byte, from uint16, body []byte) {
		a.clock++
		p := seal(a.options.Key, a.listDigest, header{kind: kind(k), from: int(from), to: 0, process: 5, clock: a.clock}, body)
		a.Receive(p, time.Duration(a.clock)*time.Second)
		a.Tick(time.Duration(a.clock) * time.Second)
		a.Answer(p, time.Duration(a.clock)*time.Second)
		a.Out()
		a.ZonePlan()
	})
}
