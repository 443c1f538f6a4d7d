package node

import (
	"net/netip"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/cluster"
	"spurwinch/internal/config"
	"spurwinch/internal/downstream"
	"spurwinch/internal/edge"
	"spurwinch/internal/upstream"
)

const (
	spareSockets   = 48 // descriptors that are not for clients and hosts: discovery, probes, the runtime's own
	defaultSockets = 1024
)

// platform is the platform's front with its core.
type platform struct {
	core   *edge.Core
	front  *downstream.Front
	watch  *cluster.Watch
	others *peers
}

// reload moves the watch to the address that the configuration names now. All else stays: the list as last told, the
// connections, and with a file that can't be read the address too.
func (n *platform) reload(discovery string, err error) {
	if err != nil {
		zap.L().Error("reload_kept_old_configuration", zap.Error(err))
		return
	}
	zap.L().Info("discovery_moved", zap.String("address", discovery))
	n.watch.Move(discovery)
}

// serve puts the platform's front together on a loop that is not running yet.
func (p *Program) serve(n config.Node, observer edge.Observer) (*platform, netip.AddrPort, error) {
	var at netip.AddrPort
	l := p.loop
	// Hosts return a line at once however full they are, and no line tells a message's time: what the simulator tells
	// of slow messages has no like here, and the module must do without.
	n.Settings.TellsDelay = false
	hosts := upstream.New(l, n.Settings.ReportFields)
	var watch *cluster.Watch
	var others *peers
	n.Settings.Limits.MayTell = len(n.Peers) > 0
	core, err := edge.New(edge.Options{Clock: l, Settings: n.Settings.Settings, Seed: n.Seed, Prober: hosts,
		Follow: func() { watch.Follow() }, Observer: observer, Figures: &p.figures,
		Tell: func(to int, message []byte) { others.tell(to, message) }})
	if err != nil {
		return nil, at, err
	}
	lentSocket := -1
	if p.beside.lent != nil {
		lentSocket = p.beside.lent.Datagrams
	}
	if others, err = listenPeers(l, n, lentSocket, core.Heard); err != nil {
		return nil, at, err
	}
	sockets := n.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	l.Limit(sockets-spareSockets-sockets/8, sockets, int64(n.MemoryMB)<<20)
	front := downstream.New(downstream.Options{Loop: l, Core: core, Upstream: hosts, Classes: n.Settings.ClassByName,
		Tenants: n.Settings.TenantByName, Settings: n.Settings.Settings, MostOpen: sockets - spareSockets, OnReady: func() { l.At(l.Now(), p.takes) }})
	known := p.beside.known(n.Known, n.Discovery)
	watch = cluster.New(l, n.Discovery, known, func(k choice.ListKind, news []edge.UpstreamHost) {
		core.List(k, news)
		for _, h := range news {
			if h.State == choice.Gone {
				hosts.Forget(h.ID)
			}
		}
		if k != choice.ListLost {
			front.Ready()
		}
	})
	door, err := p.beside.listen(n.Listen, front.Accept)
	if err != nil {
		return nil, at, err
	}
	at = door.Addr
	zap.L().Info("listening", zap.String("protocol", "platform"), zap.Stringer("address", at))
	l.After(core.Flush)
	var hostsKnown []edge.UpstreamHost
	if known != nil {
		hostsKnown, _ = known.Hosts()
	}
	core.Start(hostsKnown)
	if len(hostsKnown) > 0 {
		front.Ready()
	}
	p.platform = &platform{core, front, watch, others}
	p.beside.total, p.beside.memory = sockets, n.MemoryMB
	return p.platform, at, nil
}
