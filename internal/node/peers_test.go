package node

import (
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
)

// TestPeersBelieveOnlyPeers sends datagrams from a peer, a stranger and this node's own number, and one that is too long.
func TestPeersBelieveOnlyPeers(t *testing.T) {
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	socket := func() (*loop.Datagrams, netip.AddrPort) {
		d, at, err := l.ListenDatagrams("127.0.0.1:0", maxPeerMessage, func(netip.AddrPort, []byte) {})
		if err != nil {
			t.Fatal(err)
		}
		return d, at
	}
	friend, friendAt := socket()
	stranger, _ := socket()
	var n config.Node
	// Port 0 is none that a datagram can come from: this node's own place among the peers.
	n.PeerListen, n.Peers = "127.0.0.1:0", []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0"), friendAt}
	var got []string
	p, err := listenPeers(l, n, -1, func(from int, m []byte) {
		if from == 1 {
			got = append(got, string(m))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	at := p.localAddr
	for _, err := range []error{friend.Send(at, []byte("one")), stranger.Send(at, []byte("two")),
		friend.Send(at, make([]byte, maxPeerMessage+1)), friend.Send(at, []byte("three"))} {
		if err != nil {
			t.Fatal(err)
		}
	}
	p.send(1, make([]byte, maxPeerMessage+1))
	p.send(2, []byte("to nobody"))
	p.send(1, []byte("answer"))
	limit := time.Now().Add(20 * time.Second) // only a hang reaches it
	l.After(func() {
		if len(got) == 2 && p.counts.unknown == 1 && p.counts.tooLong == 1 || time.Now().After(limit) {
			l.Stop()
		}
	})
	l.At(limit, l.Stop)
	if err := l.Run(); err != nil && err != unix.EINTR {
		t.Fatal(err)
	}
	if len(got) != 2 || got[0] != "one" || got[1] != "three" || p.counts.unknown != 1 || p.counts.tooLong != 1 || p.counts.sent != 1 {
		t.Errorf("heard %q, %d strangers, %d too long, %d sent", got, p.counts.unknown, p.counts.tooLong, p.counts.sent)
	}
}

// TestNoPeersNoSocket guards installations and settings without peers against a socket that nobody needs.
func TestNoPeersNoSocket(t *testing.T) {
	p, err := listenPeers(nil, config.Node{PeerListen: "127.0.0.1:0"}, -1, nil)
	if err != nil || p.socket != nil {
		t.Errorf("%v, %v", p.socket, err)
	}
	p.send(0, []byte("x"))
}
