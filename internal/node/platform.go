package node

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/platform/downstream"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/wire"
)

const (
	spareSockets   = 48 // descriptors that are not for clients and hosts: discovery, probes, the runtime's own
	probePart      = 3  // a part of the rest, as a divisor, that connections for probes may hold while they are not in use
	defaultSockets = 1024
	latestReady    = 4 * time.Second // a process says that it takes clients, hosts or none: 6 s are wanted, and a refusal can be tried again
	firstList      = 2 * time.Second // for the first list of an agent: what it has counts as told to a process from its start
)

// platform is the platform's front with its core.
type platform struct {
	core   *edge.Core
	front  *downstream.Front
	watch  *cluster.Watch
	others *peers
	hosts  *upstream.Cluster
	conf   config.Node                       // in force
	parts  int                               // processes of this node
	over   func(wire.Settings) wire.Settings // the fleet's policy, where it has one on its log; nil: the file says all
	used   wire.Settings                     // in use: the file's, or the policy's over it
}

// reload takes a configuration in, checked whole, or changes nothing.
func (n *platform) reload(next config.Node) {
	n.conf = next
	n.adapt(n.parts)
	n.others.known(next)
	zap.L().Info("configuration_taken", zap.String("discovery", next.Discovery), zap.Int("classes", len(next.Settings.ClassByName)),
		zap.Int("attempts", next.Settings.Limits.MaxAttempts))
	if addr, _ := n.watch.At(); addr != next.Discovery {
		n.core.ListSourceChanged()
	}
	n.watch.Move(next.Discovery)
}

// adapt has all parts go by the configuration, in a node of so many processes.
func (n *platform) adapt(parts int) {
	n.parts = parts
	s := n.conf.Settings
	if n.over != nil {
		s = n.over(s).After(n.used) // classes keep their indices
	}
	n.used = s
	n.core.UpdateSettings(platformSettings(n.conf, s.Settings, n.others.socket != nil && len(n.conf.Peers) > 0, parts))
	n.front.Adapt(s.ClassByName, s.TenantByName, s.Classes)
	n.hosts.Adapt(s.ReportFields)
	n.watch.Adapt(way(s.Settings))
}

func way(s choice.Settings) cluster.Way {
	return cluster.Way{Pushed: !s.Subscribe, Grace: s.Rules.DrainGrace}
}

// platformSettings is what the module is told on sockets; speaks says that there is a way to the other nodes.
func platformSettings(n config.Node, s choice.Settings, speaks bool, parts int) choice.Settings {
	// Hosts return a line at once however full they are, and no line tells a message's time: what the simulator tells
	// of slow messages has no like here, and the module must do without.
	s.DelaysObserved = false
	s.Limits.PeerMessages = speaks
	s.Processes = parts
	return s
}

// serve puts the platform's front together on a loop that is not running yet.
func (p *Program) serve(n config.Node, observer edge.Observer) (*platform, netip.AddrPort, error) {
	var at netip.AddrPort
	l := p.loop
	hosts := upstream.New(l, n.Settings.ReportFields)
	var watch *cluster.Watch
	var others *peers
	core, err := edge.New(edge.Options{Clock: l, Settings: platformSettings(n, n.Settings.Settings, len(n.Peers) > 0, 1), Seed: n.Seed, HealthChecker: hosts,
		WatchList: func() { watch.Follow() }, Observer: observer, Figures: &p.figures, Monitor: &p.monitor, Trace: &p.trace,
		SendPeerMessage: func(to int, message []byte) { others.tell(to, message) }})
	if err != nil {
		return nil, at, err
	}
	lentSocket := -1
	if p.beside.lent != nil {
		lentSocket = p.beside.lent.Datagrams
	}
	if others, err = listenPeers(l, n, lentSocket, core.ReceivePeerMessage); err != nil {
		return nil, at, err
	}
	front := downstream.New(downstream.Options{Loop: l, Core: core, Upstream: hosts, MostOpen: defaultSockets - spareSockets,
		OnReady: func() { l.At(l.Now(), p.takes) }})
	front.Adapt(n.Settings.ClassByName, n.Settings.TenantByName, n.Settings.Classes)
	known := p.beside.known(n.Known, n.Discovery)
	watch = cluster.New(l, n.Discovery, known, way(n.Settings.Settings), n.Seed, func(k choice.ListKind, news []edge.ServerEntry) {
		core.UpdateServers(k, news)
		if k == choice.ListFull {
			hosts.ForgetOthers(news)
		}
		for _, h := range news {
			if h.State == choice.Gone {
				hosts.Forget(h.ID)
			}
		}
		if k != choice.ListUnavailable {
			p.listed()
		}
	})
	door, err := p.beside.listen(n.Listen, front.Accept)
	if err != nil {
		return nil, at, err
	}
	at = door.Addr
	zap.L().Info("listening", zap.String("protocol", "platform"), zap.Stringer("address", at))
	l.After(core.Flush)
	var hostsKnown []edge.ServerEntry
	if known != nil {
		hostsKnown, _ = known.Hosts()
	}
	core.Start(hostsKnown)
	p.named[""] = core
	p.platform = &platform{core: core, front: front, watch: watch, others: others, hosts: hosts, conf: n, parts: 1, used: n.Settings}
	if !n.Settings.Subscribe {
		watch.Follow()
	}
	l.At(l.Now().Add(latestReady), p.listed)
	switch {
	case len(hostsKnown) == 0:
	case n.Settings.Subscribe:
		p.listed()
	default:
		l.At(l.Now().Add(p.firstList), p.listed)
	}
	p.beside.limits(n)
	return p.platform, at, nil
}
