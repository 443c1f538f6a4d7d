package agent

import (
	"testing"
	"time"

	"spurwinch/internal/failover"
	"spurwinch/internal/membership"
)

// newTestAgent returns the agent of node a in a fleet of three nodes. The node is not a voter and has received no
// messages.
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

// TestReceiveAcceptsOnlyNewMessagesOfItsFleet checks that an agent accepts only intact messages with its fleet's key
// and list that are for its node, accepts each message once, and accepts none from a process that another has replaced.
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
		want    uint64 // messages accepted so far
	}{
		{"a heartbeat", first, 1, 1},
		{"the same heartbeat again", first, 2, 1},
		{"with another key", otherKey, 3, 1},
		{"with another list", otherList, 4, 1},
		{"for another node", heartbeat(header{from: 1, to: 2, incarnation: 5, clock: 13}), 5, 1},
		{"from itself", heartbeat(header{incarnation: 5, clock: 14}), 6, 1},
		{"from a node that is not listed", heartbeat(header{from: 9, incarnation: 5, clock: 15}), 7, 1},
		{"truncated", first[:20], 8, 1},
		{"another process, the first is alive", heartbeat(header{from: 1, incarnation: 6, clock: 1}), time.Second, 1},
		{"another process, the first ended", heartbeat(header{from: 1, incarnation: 6, clock: 2}), 4 * time.Second, 2},
		{"late, from the first process", heartbeat(header{from: 1, incarnation: 5, clock: 99}), 4*time.Second + 1, 2},
	} {
		agent.Receive(test.message, test.at)
		if agent.Counts.Accepted != test.want {
			t.Errorf("%s: messages accepted so far: got %d, want %d", test.name, agent.Counts.Accepted, test.want)
		}
	}
}

// FuzzReceive checks that no message body makes an agent panic, even if the message is authenticated with the fleet's
// key.
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
