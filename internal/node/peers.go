package node

import (
	"net/netip"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/loop"
)

const mostMessage = 256 // bytes of a datagram; the protocol's

// peers carries messages between the nodes of a tier. Counts tell what was dropped before the module saw it.
type peers struct {
	socket  *loop.Datagrams
	addrs   []netip.AddrPort
	numbers map[netip.AddrPort]int
	self    int
	at      netip.AddrPort // of the socket

	sent, lost, taken, strangers, long int
}

// listenPeers opens the socket, where there are peers. heard gets each message with its sender's number.
// lent is the socket of the process that runs already; under 0: there is none.
func listenPeers(l *loop.Loop, n config.Node, lent int, heard func(from int, message []byte)) (*peers, error) {
	p := &peers{}
	p.known(n)
	if len(n.Peers) == 0 {
		return p, nil
	}
	take := func(from netip.AddrPort, b []byte) {
		number, known := p.numbers[from]
		switch {
		case !known || number == p.self: // a stranger could have this node believe anything
			p.strangers++
		case len(b) > mostMessage:
			p.long++
		default:
			p.taken++
			heard(number, append([]byte(nil), b...))
		}
	}
	var err error
	if lent >= 0 {
		p.socket, p.at, err = l.AdoptDatagrams(lent, mostMessage, take)
	} else {
		p.socket, p.at, err = l.ListenDatagrams(n.PeerListen, mostMessage, take)
	}
	p.makeRoom()
	return p, err
}

// hear says whether this process reads what other nodes send.
func (p *peers) hear(on bool) {
	if p.socket != nil {
		if err := p.socket.SetReading(on); err != nil {
			zap.L().Error("peers_not_heard", zap.Error(err))
		}
	}
}

// known takes in who the other nodes are.
func (p *peers) known(n config.Node) {
	p.addrs, p.numbers, p.self = n.Peers, map[netip.AddrPort]int{}, n.Settings.Node
	for i, a := range n.Peers {
		p.numbers[a] = i
	}
	p.makeRoom()
}

// makeRoom guards against a fleet whose nodes all speak at once, of which most would not be heard.
func (p *peers) makeRoom() {
	if p.socket != nil {
		p.socket.SetReceiveBuffer(len(p.addrs))
	}
}

func (p *peers) tell(to int, message []byte) {
	if p.socket == nil || to < 0 || to >= len(p.addrs) || len(message) > mostMessage {
		return
	}
	p.sent++
	if err := p.socket.Send(p.addrs[to], message); err != nil {
		p.lost++
	}
}

// report logs the counts, once at the planned stop.
func (p *peers) report(dropped int) {
	if p.socket != nil {
		zap.L().Info("peer_messages", zap.Int("sent", p.sent), zap.Int("lost", p.lost), zap.Int("taken", p.taken),
			zap.Int("strangers", p.strangers), zap.Int("long", p.long), zap.Int("dropped", dropped))
	}
}
