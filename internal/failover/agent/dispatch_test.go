package agent

import (
	"testing"
	"time"

	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// newTestAgent is node a of three, which doesn't vote. It has received no message.
func newTestAgent(tb testing.TB) *Agent {
	tb.Helper()
	list, err := membership.NewList([]membership.Node{
		{Name: "a", Zone: "z"},
		{Name: "b", Zone: "z"},
		{Name: "v", Zone: "y", Voter: true},
	})
	if err != nil {
		tb.Fatal(err)
	}
	agent, err := New(Options{
		List:    list,
		Self:    0,
		Key:     []byte("key"),
		Rules:   failover.Rules{GrantLifetime: 10 * time.Second},
		Classes: []string{"c"},
	}, 0)
	if err != nil {
		tb.Fatal(err)
	}
	return agent
}

// TestReceiveAcceptsOnlyNewMessagesOfItsFleet holds which messages are believed: whole ones of this fleet's key and
// list, for this node, each once, and none of a process that another has followed.
func TestReceiveAcceptsOnlyNewMessagesOfItsFleet(t *testing.T) {
	agent := newTestAgent(t)
	key, list := agent.options.Key, agent.listDigest
	heartbeat := func(head header) []byte {
		head.kind = kindHeartbeat
		return seal(key, list, head, nil)
	}
	first := heartbeat(header{from: 1, to: 0, incarnation: 5, clock: 10})
	otherKey := seal([]byte("other"), list, header{kind: kindHeartbeat, from: 1, incarnation: 5, clock: 11}, nil)
	otherList := seal(key, list+1, header{kind: kindHeartbeat, from: 1, incarnation: 5, clock: 12}, nil)
	for _, test := range []struct {
		name    string
		message []byte
		at      time.Duration
		wanted  uint64 // messages accepted by then
	}{
		{"a heartbeat", first, 1, 1},
		{"the same again", first, 2, 1},
		{"of another key", otherKey, 3, 1},
		{"of another list", otherList, 4, 1},
		{"for another node", heartbeat(header{from: 1, to: 2, incarnation: 5, clock: 13}), 5, 1},
		{"from itself", heartbeat(header{incarnation: 5, clock: 14}), 6, 1},
		{"from a node that is not listed", heartbeat(header{from: 9, incarnation: 5, clock: 15}), 7, 1},
		{"cut off", first[:20], 8, 1},
		{"another process too soon", heartbeat(header{from: 1, incarnation: 6, clock: 1}), time.Second, 1},
		{"another process, the first ended", heartbeat(header{from: 1, incarnation: 6, clock: 2}), 4 * time.Second, 2},
		{"late, of the first process", heartbeat(header{from: 1, incarnation: 5, clock: 99}), 4*time.Second + 1, 2},
	} {
		agent.Receive(test.message, test.at)
		if agent.Counts.Accepted != test.wanted {
			t.Errorf("%s: %d messages accepted so far, wanted %d", test.name, agent.Counts.Accepted, test.wanted)
		}
	}
}

// FuzzReceive holds that no bytes break a node, also with the fleet's key.
func FuzzReceive(f *testing.F) {
	agent := newTestAgent(f)
	for kind := kindHeartbeat; kind <= kindReply; kind++ {
		f.Add(byte(kind), uint16(1), []byte{0x80})
		f.Add(byte(kind), uint16(2), encode(evidenceAck{}))
	}
	f.Fuzz(func(_ *testing.T, kind byte, from uint16, body []byte) {
		agent.clock++
		now := time.Duration(agent.clock) * time.Second
		head := header{kind: messageKind(kind), from: int(from), to: 0, incarnation: 5, clock: agent.clock}
		message := seal(agent.options.Key, agent.listDigest, head, body)
		agent.Receive(message, now)
		agent.Tick(now)
		agent.Answer(message, now)
		agent.TakeMessages()
		agent.ZonePlan()
	})
}
