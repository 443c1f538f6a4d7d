package node

import (
	"net/netip"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
)

const maxPeerMessage = 256 // maximum bytes of a datagram in the peer protocol

// peerNetwork sends messages to the other nodes and receives theirs. Its counts include messages that were dropped
// before they reached the core.
type peerNetwork struct {
	socket       *loop.Datagrams // nil: there are no other nodes
	addrs        []netip.AddrPort
	numberByAddr map[netip.AddrPort]int
	self         int
	localAddr    netip.AddrPort // address of the socket

	counts peerCounts
}

// peerCounts counts messages by what happened to them.
type peerCounts struct {
	sent     int
	lost     int // the socket didn't accept them
	received int
	unknown  int // from addresses that don't belong to a peer
	tooLong  int
}

// listenPeers opens the socket if there are peers. It passes each message to receive with the sender's number. granted
// is the socket of the process that already runs, or noSocket.
func listenPeers(
	eventLoop *loop.Loop, node config.Node, granted int, receive func(from int, message []byte),
) (*peerNetwork, error) {
	network := &peerNetwork{}
	network.setPeers(node)
	if len(node.Peers) == 0 {
		return network, nil
	}
	onDatagram := func(from netip.AddrPort, message []byte) {
		if number, ok := network.accept(from, message); ok {
			receive(number, append([]byte(nil), message...))
		}
	}
	var err error
	if granted != noSocket {
		network.socket, network.localAddr, err = eventLoop.AdoptDatagrams(granted, maxPeerMessage, onDatagram)
	} else {
		network.socket, network.localAddr, err = eventLoop.ListenDatagrams(node.PeerListen, maxPeerMessage, onDatagram)
	}
	network.sizeReceiveBuffer()
	return network, err
}

// accept counts a message and returns the number of its sender. ok is false if the message is dropped.
func (p *peerNetwork) accept(from netip.AddrPort, message []byte) (number int, ok bool) {
	number, known := p.numberByAddr[from]
	switch {
	case !known || number == p.self: // an unknown sender could make this node believe anything
		p.counts.unknown++
		return 0, false
	case len(message) > maxPeerMessage:
		p.counts.tooLong++
		return 0, false
	}
	p.counts.received++
	return number, true
}

// setReading sets whether this process reads the messages that other nodes send.
func (p *peerNetwork) setReading(on bool) {
	if p.socket == nil {
		return
	}
	if err := p.socket.SetReading(on); err != nil {
		zap.L().Error("peer_socket_reading_failed", zap.Error(err))
	}
}

// setPeers applies the addresses of all nodes, including this one.
func (p *peerNetwork) setPeers(node config.Node) {
	p.addrs = node.Peers
	p.self = node.Settings.Node
	p.numberByAddr = map[netip.AddrPort]int{}
	for number, addr := range node.Peers {
		p.numberByAddr[addr] = number
	}
	p.sizeReceiveBuffer()
}

// sizeReceiveBuffer adapts the socket's receive buffer to the number of peers. Otherwise most messages would be lost if
// all nodes sent at once.
func (p *peerNetwork) sizeReceiveBuffer() {
	if p.socket != nil {
		p.socket.SetReceiveBuffer(len(p.addrs))
	}
}

// send sends a message to the node with the given number. It sends nothing if the node is unknown or the message is too
// long.
func (p *peerNetwork) send(to int, message []byte) {
	if p.socket == nil || to < 0 || to >= len(p.addrs) || len(message) > maxPeerMessage {
		return
	}
	p.counts.sent++
	if err := p.socket.Send(p.addrs[to], message); err != nil {
		p.counts.lost++
	}
}

// logCounts logs the counts; it is called once, at the planned shutdown. dropped is the number of messages that the
// core dropped because they were invalid, late, repeated or not requested.
func (p *peerNetwork) logCounts(dropped int) {
	if p.socket != nil {
		zap.L().Info("peer_messages", zap.Int("sent", p.counts.sent), zap.Int("lost", p.counts.lost),
			zap.Int("taken", p.counts.received), zap.Int("strangers", p.counts.unknown),
			zap.Int("long", p.counts.tooLong), zap.Int("dropped", dropped))
	}
}
