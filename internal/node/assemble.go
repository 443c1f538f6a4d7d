package node

import (
	"fmt"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/operations/hotrestart"
)

// files are the configuration that a process starts with.
type files struct {
	operatorPath string
	operator     config.Operator
	nodePath     string // GW_CONFIG
	node         config.Node
	onPlatform   bool   // the platform's front is set up
	listen       string // the first front's address: a hot restart finds the predecessor by it
	admin        string // address for operators; empty: none
}

// readConfiguration reads the operator's file, if there is one, and what the environment names.
func readConfiguration(getenv func(string) string, operatorPath string) (read files, err error) {
	read = files{
		operatorPath: operatorPath,
		nodePath:     getenv("GW_CONFIG"),
		admin:        getenv("GW_MGMT"),
	}
	if operatorPath != "" {
		if read.operator, err = config.ReadOperator(operatorPath); err != nil {
			return read, err
		}
	}
	if len(read.operator.Listeners) > 0 {
		read.listen = read.operator.Listeners[0].Addr
	}
	return read, nil
}

// readEnvironment reads the platform's configuration, where the node has its front.
func (f *files) readEnvironment(getenv func(string) string) (err error) {
	f.onPlatform = f.nodePath != "" || f.operatorPath == ""
	if !f.onPlatform {
		return nil
	}
	if f.node, err = config.ReadNode(getenv); err != nil {
		return err
	}
	f.listen = f.node.Listen
	f.admin = f.node.Mgmt
	return nil
}

// assemble sets up all parts of a new node.
func (p *Program) assemble(getenv func(string) string, operatorPath string, newVoter agent.NewVoter) error {
	seed := uint64(time.Now().UnixNano())
	read, err := readConfiguration(getenv, operatorPath)
	if err != nil {
		return err
	}
	member := read.operator.Fleet
	if member != nil && newVoter == nil && member.Votes() {
		return ErrVoter
	}
	p.awaitsPolicy = member != nil && member.List.Policy != nil
	if err := read.readEnvironment(getenv); err != nil {
		return err
	}
	if read.admin != "" { // before any client can come: a start that fails must not take connections with it
		if err := p.listenAdmin(read.admin); err != nil {
			return err
		}
	}
	path := hotrestart.Path(getenv("TMPDIR"), read.listen)
	p.restart.requestGrant(path)
	if p.restart.grant != nil {
		// The running process has the node's part in the fleet until it shuts down, which it does once this one says
		// that it is ready: to wait for a lease here would be to wait for ever.
		p.awaitsPolicy = false
		p.hasPredecessor = true
	}
	if read.onPlatform {
		if err := p.assemblePlatform(read); err != nil {
			return err
		}
		seed = read.node.Seed
	}
	if err := p.assembleOperator(read, seed); err != nil {
		return err
	}
	if member != nil {
		if err := p.assembleFleet(*member, operatorPath, newVoter); err != nil {
			return err
		}
	}
	p.restart.open(path)
	if p.platform == nil {
		p.loop.At(p.loop.Now(), p.onReady)
	}
	return nil
}

// assemblePlatform sets up the platform's front.
func (p *Program) assemblePlatform(read files) error {
	settings := read.node.Settings
	observer, err := p.startCapture(read.operator.Capture, read.node.Name, settings.Settings, settings.ReportFields)
	if err != nil {
		return err
	}
	front, _, err := p.newPlatform(read.node, observer)
	if err != nil {
		return err
	}
	p.cores = append(p.cores, front.core)
	p.shutdownTime = platformShutdownTime
	p.onShutdown = append(p.onShutdown, func() { front.peers.logCounts(front.core.DroppedPeerMessages()) })
	p.reloaders = append(p.reloaders, p.platformReloader(front, read.nodePath))
	return nil
}

// assembleOperator sets up the fronts and clusters of the operator's file, where it has any.
func (p *Program) assembleOperator(read files, seed uint64) error {
	if len(read.operator.Clusters) == 0 {
		return nil
	}
	// A process started beside another one reads the same seed; the ids that it gives its sessions must differ from
	// those that it takes over.
	seed ^= uint64(time.Now().UnixNano())
	cores, fronts, err := newOperatorFronts(p.loop, read.operatorPath, read.operator, seed, p)
	if err != nil {
		return err
	}
	p.cores = append(p.cores, cores...)
	p.reloaders = append(p.reloaders, fronts.readFile)
	return nil
}

// assembleFleet sets up the node's part in its fleet.
func (p *Program) assembleFleet(member config.Fleet, operatorPath string, newVoter agent.NewVoter) error {
	core := p.coreByCluster[member.Cluster]
	if core == nil {
		return fmt.Errorf("%s: [fleet] cluster = %q: no cluster has this name", operatorPath, member.Cluster)
	}
	p.joinFleet(member, core, newVoter, func() (names []string, classes []choice.Class) {
		classes = core.Classes()
		for _, class := range classes {
			names = append(names, class.Name)
		}
		return names, classes
	})
	return nil
}
