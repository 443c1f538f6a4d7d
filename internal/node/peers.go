package node

import (
	"net/netip"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
)

const maxPeerMessage = 256 // bytes of a datagram; the protocol's

// peerNetwork carries messages between the nodes of a tier. Counts tell what was dropped before the module saw it.
type peerNetwork struct {
	socket       *loop.Datagrams
	addrs        []netip.AddrPort
	numberByAddr map[netip.AddrPort]int
	self         int
	localAddr    netip.AddrPort // of the socket

	sent, lost, received, strangers, tooLong int
}

// listenPeers opens the socket, where there are peers. heard gets each message with its sender's number.
// lent is the socket of the process that runs already; under 0: there is none.
func listenPeers(l *loop.Loop, n config.Node, lent int, heard func(from int, message []byte)) (*peerNetwork, error) {
	p := &peerNetwork{}
	p.setPeers(n)
	if len(n.Peers) == 0 {
		return p, nil
	}
	take := func(from netip.AddrPort, b []byte) {
		number, known := p.numberByAddr[from]
		switch {
		case !known || number == p.self: // a stranger could have this node believe anything
			p.strangers++
		case len(b) > maxPeerMessage:
			p.tooLong++
		default:
			p.received++
			heard(number, append([]byte(nil), b...))
		}
	}
	var err error
	if lent >= 0 {
		p.socket, p.localAddr, err = l.AdoptDatagrams(lent, maxPeerMessage, take)
	} else {
		p.socket, p.localAddr, err = l.ListenDatagrams(n.PeerListen, maxPeerMessage, take)
	}
	p.sizeReceiveBuffer()
	return p, err
}

// setReading says whether this process reads what other nodes send.
func (p *peerNetwork) setReading(on bool) {
	if p.socket != nil {
		if err := p.socket.SetReading(on); err != nil {
			zap.L().Error("peer_socket_reading_failed", zap.Error(err))
		}
	}
}

// setPeers takes in who the other nodes are.
func (p *peerNetwork) setPeers(n config.Node) {
	p.addrs, p.numberByAddr, p.self = n.Peers, map[netip.AddrPort]int{}, n.Settings.Node
	for i, a := range n.Peers {
		p.numberByAddr[a] = i
	}
	p.sizeReceiveBuffer()
}

// sizeReceiveBuffer guards against a fleet whose nodes all speak at once, of which most would not be heard.
func (p *peerNetwork) sizeReceiveBuffer() {
	if p.socket != nil {
		p.socket.SetReceiveBuffer(len(p.addrs))
	}
}

func (p *peerNetwork) send(to int, message []byte) {
	if p.socket == nil || to < 0 || to >= len(p.addrs) || len(message) > maxPeerMessage {
		return
	}
	p.sent++
	if err := p.socket.Send(p.addrs[to], message); err != nil {
		p.lost++
	}
}

// logCounts logs the counts, once at the planned stop.
func (p *peerNetwork) logCounts(dropped int) {
	if p.socket != nil {
		zap.L().Info("peer_messages", zap.Int("sent", p.sent), zap.Int("lost", p.lost), zap.Int("taken", p.received),
			zap.Int("strangers", p.strangers), zap.Int("long", p.tooLong), zap.Int("dropped", dropped))
	}
}
