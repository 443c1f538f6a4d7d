package node

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/operations/hotrestart"
)

// assemble sets up all parts of a new node.
func (p *Program) assemble(getenv func(string) string, operatorPath string, newVoter agent.NewVoter) error {
	seed := uint64(time.Now().UnixNano())
	configuration, err := readConfiguration(getenv, operatorPath)
	if err != nil {
		return err
	}
	member := configuration.operator.Fleet
	if member != nil && newVoter == nil && member.IsVoter() {
		return ErrVoter
	}
	p.readiness.awaitsPolicy = member != nil && member.List.Policy != nil
	if err := configuration.readNode(getenv); err != nil {
		return err
	}
	if configuration.admin != "" { // first, because a later failure would cut off clients that have connected
		if err := p.listenAdmin(configuration.admin); err != nil {
			return err
		}
	}
	path := hotrestart.Path(getenv("TMPDIR"), configuration.listen)
	p.restart.requestGrant(path)
	if p.restart.grant != nil {
		// The running process remains the node's member of the fleet until it shuts down, and it shuts down only once
		// this process reports that it is ready. Waiting for a lease here would therefore never end.
		p.readiness.awaitsPolicy = false
		p.readiness.hasPredecessor = true
	}
	if configuration.hasPlatform {
		if err := p.assemblePlatform(configuration); err != nil {
			return err
		}
		seed = configuration.node.Seed
	}
	if err := p.assembleOperator(configuration, seed); err != nil {
		return err
	}
	if member != nil {
		if err := p.assembleFleet(*member, operatorPath, newVoter); err != nil {
			return err
		}
	}
	p.restart.startCoordinator(path)
	if p.platform == nil {
		p.loop.At(p.loop.Now(), p.onReady)
	}
	return nil
}

// assemblePlatform sets up the platform's front.
func (p *Program) assemblePlatform(configuration startConfiguration) error {
	node := configuration.node
	settings := node.Settings
	observer, err := p.startCapture(
		configuration.operator.Capture, node.Name, settings.Settings, settings.ReportFields)
	if err != nil {
		return err
	}
	platform, _, err := p.newPlatform(node, observer)
	if err != nil {
		return err
	}
	if node.Incomplete != nil {
		zap.L().Warn("configuration_incomplete", zap.Error(node.Incomplete),
			zap.String("remedy", "add the key, otherwise this file is rejected at SIGHUP"))
	}
	p.shutdownTime = platformShutdownTime
	p.onShutdown = append(p.onShutdown, func() { platform.peers.logCounts(platform.core.DroppedPeerMessages()) })
	p.reloaders = append(p.reloaders, p.platformReloader(platform, configuration.nodePath))
	return nil
}

// assembleOperator sets up the fronts and clusters of the operator's file, if it has clusters.
func (p *Program) assembleOperator(configuration startConfiguration, seed uint64) error {
	if len(configuration.operator.Clusters) == 0 {
		return nil
	}
	// A process that starts while another process of the node runs reads the same seed. The ids of its own sessions
	// must differ from the ids of the sessions that it takes over.
	seed ^= uint64(time.Now().UnixNano())
	fronts, err := newOperatorFronts(p, configuration.operatorPath, configuration.operator, seed)
	if err != nil {
		return err
	}
	p.reloaders = append(p.reloaders, fronts.readFile)
	return nil
}

// assembleFleet makes the node join its fleet.
func (p *Program) assembleFleet(member config.Fleet, operatorPath string, newVoter agent.NewVoter) error {
	core := p.coreByCluster[member.Cluster]
	if core == nil {
		return fmt.Errorf("%s: [fleet] cluster = %q: %w", operatorPath, member.Cluster, errUnknownCluster)
	}
	p.joinFleet(member, core, newVoter)
	return nil
}
