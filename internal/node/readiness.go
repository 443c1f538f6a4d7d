package node

import "time"

const (
	// maxReadyWait is the time after which a process announces that it accepts clients even if it knows no servers. A
	// node must be ready within 6 s, and a rejected request can be retried.
	maxReadyWait = 4 * time.Second
	// maxFirstListWait is the longest wait for the first list from an agent. The process waits for it before it accepts
	// clients because the agent's list counts as known to the process from its start.
	maxFirstListWait = 2 * time.Second
)

// readiness records which information a process has or awaits before it accepts clients.
type readiness struct {
	serversKnown   bool          // the platform's front knows servers, or has waited long enough for them
	firstListWait  time.Duration // maximum wait for an agent's first list
	awaitsPolicy   bool          // the process doesn't know yet which fleet policy is in force
	hasPredecessor bool          // started beside a running process, the node's fleet member until it shuts down
}

// onServersKnown is called once the platform's front knows servers, or has waited long enough for them.
func (p *Program) onServersKnown() {
	p.readiness.serversKnown = true
	p.announceReady()
}

// announceReady makes the platform's front announce that this process accepts clients, unless the process still waits
// for the server list or for the fleet's policy.
func (p *Program) announceReady() {
	if p.readiness.serversKnown && !p.readiness.awaitsPolicy && p.platform != nil {
		p.platform.front.SetReady()
	}
}

// onReady is called once, when this process begins to accept clients.
func (p *Program) onReady() {
	if p.restart.coordinator != nil {
		p.restart.coordinator.Ready()
	}
	p.restart.applyQuota()
}

// ready reports whether this process accepts clients. The admin server uses it for its readiness answer.
func (p *Program) ready() bool {
	for _, core := range p.cores {
		if core.RejectsNew() {
			return false
		}
	}
	if p.restart.listenersClosed {
		return false
	}
	if p.fleet != nil && !p.readiness.hasPredecessor && !p.fleet.servesPolicy() {
		return false
	}
	return p.platform == nil || p.platform.front.AcceptsNew()
}
