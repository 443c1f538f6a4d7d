package node

import "time"

const (
	// maxReadyWait is after how long a process announces that it accepts clients, whether it knows servers or not: a
	// node must be ready within 6 s, and a rejected request can be retried.
	maxReadyWait = 4 * time.Second
	// maxFirstListWait is for the first list of an agent: what the agent has counts as known to a process from its
	// start.
	maxFirstListWait = 2 * time.Second
)

// readiness is what has to be known before a process accepts clients.
type readiness struct {
	serversKnown   bool          // the platform's front knows servers, or has waited long enough for some
	firstListWait  time.Duration // for an agent's first list
	awaitsPolicy   bool          // which policy of the fleet is in force isn't known yet
	hasPredecessor bool          // started beside a running process, which has the node's part in the fleet meanwhile
}

// onServersKnown is called once the platform's front knows servers, or has waited long enough for some.
func (p *Program) onServersKnown() {
	p.readiness.serversKnown = true
	p.announceReady()
}

// announceReady has the platform's front announce that it accepts clients, once all that it waits for is known.
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

// ready reports whether this process accepts clients; the admin server answers by it.
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
