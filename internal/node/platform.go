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
	reservedDescriptors = 48 // descriptors that are not for clients and hosts: discovery, probes, the runtime's own
	healthCheckDivisor  = 3  // a part of the rest, as a divisor, that connections for probes may hold while they are not in use
	defaultDescriptors  = 1024
	maxReadyWait        = 4 * time.Second // a process says that it takes clients, hosts or none: 6 s are wanted, and a refusal can be tried again
	maxFirstListWait    = 2 * time.Second // for the first list of an agent: what it has counts as told to a process from its start
)

// platform is the platform's front with its core.
type platform struct {
	core      *edge.Core
	front     *downstream.Front
	listWatch *cluster.Watch
	peers     *peerNetwork
	upstream  *upstream.Cluster
	config    config.Node                       // in force
	processes int                               // processes of this node
	overlay   func(wire.Settings) wire.Settings // the fleet's policy, where it has one on its log; nil: the file says all
	settings  wire.Settings                     // in use: the file's, or the policy's over it
}

// reload takes a configuration in, checked whole, or changes nothing.
func (n *platform) reload(next config.Node) {
	n.config = next
	n.applySettings(n.processes)
	n.peers.setPeers(next)
	zap.L().Info("configuration_reloaded", zap.String("discovery", next.Discovery), zap.Int("classes", len(next.Settings.ClassByName)),
		zap.Int("attempts", next.Settings.Limits.MaxAttempts))
	if addr, _ := n.listWatch.At(); addr != next.Discovery {
		n.core.ListSourceChanged()
	}
	n.listWatch.Move(next.Discovery)
}

// applySettings has all parts go by the configuration, in a node of so many processes.
func (n *platform) applySettings(parts int) {
	n.processes = parts
	s := n.config.Settings
	if n.overlay != nil {
		s = n.overlay(s).After(n.settings) // classes keep their indices
	}
	n.settings = s
	n.core.UpdateSettings(platformSettings(n.config, s.Settings, n.peers.socket != nil && len(n.config.Peers) > 0, parts))
	n.front.Adapt(s.ClassByName, s.TenantByName, s.Classes)
	n.upstream.Adapt(s.ReportFields)
	n.listWatch.Adapt(watchMode(s.Settings))
}

func watchMode(s choice.Settings) cluster.Way {
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

// newPlatform puts the platform's front together on a loop that is not running yet.
func (p *Program) newPlatform(n config.Node, observer edge.Observer) (*platform, netip.AddrPort, error) {
	var at netip.AddrPort
	l := p.loop
	hosts := upstream.New(l, n.Settings.ReportFields)
	var watch *cluster.Watch
	var others *peerNetwork
	core, err := edge.New(edge.Options{Clock: l, Settings: platformSettings(n, n.Settings.Settings, len(n.Peers) > 0, 1), Seed: n.Seed, HealthChecker: hosts,
		WatchList: func() { watch.Follow() }, Observer: observer, Figures: &p.figures, Monitor: &p.monitor, Trace: &p.trace,
		SendPeerMessage: func(to int, message []byte) { others.send(to, message) }})
	if err != nil {
		return nil, at, err
	}
	lentSocket := -1
	if p.restart.grant != nil {
		lentSocket = p.restart.grant.Datagrams
	}
	if others, err = listenPeers(l, n, lentSocket, core.ReceivePeerMessage); err != nil {
		return nil, at, err
	}
	front := downstream.New(downstream.Options{Loop: l, Core: core, Upstream: hosts, MostOpen: defaultDescriptors - reservedDescriptors,
		OnReady: func() { l.At(l.Now(), p.onReady) }})
	front.Adapt(n.Settings.ClassByName, n.Settings.TenantByName, n.Settings.Classes)
	known := p.restart.initialList(n.Known, n.Discovery)
	watch = cluster.New(l, n.Discovery, known, watchMode(n.Settings.Settings), n.Seed, func(k choice.ListKind, news []edge.ServerEntry) {
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
			p.onServersKnown()
		}
	})
	door, err := p.restart.listen(n.Listen, front.Accept)
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
	p.coreByCluster[""] = core
	p.platform = &platform{core: core, front: front, listWatch: watch, peers: others, upstream: hosts, config: n, processes: 1, settings: n.Settings}
	if !n.Settings.Subscribe {
		watch.Follow()
	}
	l.At(l.Now().Add(maxReadyWait), p.onServersKnown)
	switch {
	case len(hostsKnown) == 0:
	case n.Settings.Subscribe:
		p.onServersKnown()
	default:
		l.At(l.Now().Add(p.firstListWait), p.onServersKnown)
	}
	p.restart.setLimits(n)
	return p.platform, at, nil
}
