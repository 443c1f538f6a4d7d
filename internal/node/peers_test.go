package node

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
)

// TestOnlyPeersAccepted sends datagrams from a peer and from an unknown address, and a datagram that is too long. The
// node must accept only datagrams from the peer that aren't too long. One entry of the peer list is this node itself.
func TestOnlyPeersAccepted(t *testing.T) {
	eventLoop := newLoop(t)
	listen := func() (*loop.Datagrams, netip.AddrPort) {
		socket, addr, err := eventLoop.ListenDatagrams("127.0.0.1:0", maxPeerMessage, func(netip.AddrPort, []byte) {})
		if err != nil {
			t.Fatal(err)
		}
		return socket, addr
	}
	peer, peerAddr := listen()
	unknownSender, _ := listen()
	// The entry with port 0 is this node itself. No datagram can come from port 0.
	node := config.Node{
		PeerListen: "127.0.0.1:0",
		Peers:      []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0"), peerAddr},
	}
	var got []string
	network, err := listenPeers(eventLoop, node, -1, func(from int, message []byte) {
		if from == 1 {
			got = append(got, string(message))
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	addr := network.localAddr
	for _, err := range []error{
		peer.Send(addr, []byte("one")), unknownSender.Send(addr, []byte("two")),
		peer.Send(addr, make([]byte, maxPeerMessage+1)), peer.Send(addr, []byte("three")),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	network.send(1, make([]byte, maxPeerMessage+1))
	network.send(2, []byte("to an unknown node"))
	network.send(1, []byte("answer"))
	counts := &network.counts
	limit := time.Now().Add(testTimeout)
	eventLoop.AfterCallback(func() {
		if len(got) == 2 && counts.unknown == 1 && counts.tooLong == 1 || time.Now().After(limit) {
			eventLoop.Stop()
		}
	})
	eventLoop.At(limit, eventLoop.Stop)
	if err := eventLoop.Run(); err != nil && !errors.Is(err, unix.EINTR) {
		t.Fatal(err)
	}
	if len(got) != 2 || got[0] != "one" || got[1] != "three" || counts.unknown != 1 || counts.tooLong != 1 ||
		counts.sent != 1 {
		t.Errorf("accepted messages: got %q with counts %+v, want one, three, and 1 unknown, 1 tooLong, 1 sent",
			got, *counts)
	}
}

// TestNoSocketWithoutPeers checks that a node without peers, by its installation or its settings, opens no socket.
func TestNoSocketWithoutPeers(t *testing.T) {
	network, err := listenPeers(nil, config.Node{PeerListen: "127.0.0.1:0"}, -1, nil)
	if err != nil || network.socket != nil {
		t.Errorf("listenPeers without peers: got socket %v, %v, want none", network.socket, err)
	}
	network.send(0, []byte("x"))
}
