package simulation

import (
	"time"

	"spurwinch/internal/failover/agent"
)

const (
	maxExchangeRounds = 8
	maxWriteTime      = 8 // ms, of a record
	fullDiskRetry     = 200 * time.Millisecond
	minMessageDelay   = 200 * time.Microsecond
	messageJitter     = time.Millisecond
	crossZoneMessage  = 4 * time.Millisecond
	slowMessageRate   = 0.1 // of messages take up to Options.MaxMessageDelay longer
)

// exchange passes on what the agent has for the core, the disk and other nodes, until it has nothing more.
func (n *node) exchange() {
	for range maxExchangeRounds {
		if plan, changed := n.agent.ZonePlan(); changed && n.core != nil {
			n.core.ApplyZonePlan(plan)
			n.core.Flush()
		}
		n.save()
		messages := n.agent.TakeMessages()
		if len(messages) == 0 {
			return
		}
		for _, message := range messages {
			n.send(message)
		}
	}
}

// save writes the agent's next record to the disk, which takes a while: a crash may come before or after.
func (n *node) save() {
	record, complete, ok := n.agent.NextRecord()
	if !ok || n.writing {
		return
	}
	n.writing = true
	writeTime := time.Duration(1+n.world.rng.IntN(maxWriteTime)) * time.Millisecond
	n.scheduleWhileUp(n.diskDelay+writeTime, func() {
		n.writing = false
		if n.diskFull {
			n.scheduleWhileUp(fullDiskRetry, n.save)
			return
		}
		if complete {
			n.disk = nil
		}
		n.disk = append(n.disk, record)
		n.schedule(n.world.now, func() { n.agent.Persisted(n.clock()) })
	})
}

// send has a message arrive at another node once, twice or never.
func (n *node) send(message agent.Message) {
	world := n.world
	target := world.nodes[message.To]
	world.network.bytesSent += uint64(len(message.Data))
	if n.isLost(target) {
		return
	}
	deliver := func() {
		target.schedule(world.now+n.messageDelay(target, message), func() {
			target.agent.Receive(message.Data, target.clock())
		})
	}
	deliver()
	if world.rng.Float64() < world.network.duplicateRate {
		deliver()
	}
}

// isLost draws whether a message to another node is lost.
func (n *node) isLost(target *node) bool {
	world := n.world
	return n.isolated || target.isolated || target.receivesNothing ||
		world.network.partitions[zonePair{n.zone, target.zone}] ||
		world.rng.Float64() < world.network.lossRate || !target.up
}

// messageDelay draws the time that a message to another node takes.
func (n *node) messageDelay(target *node, message agent.Message) time.Duration {
	world := n.world
	delay := minMessageDelay + time.Duration(world.rng.Float64()*float64(messageJitter))
	if n.zone != target.zone {
		delay += crossZoneMessage
	}
	if world.options.MaxMessageDelay > 0 && world.rng.Float64() < slowMessageRate {
		delay += time.Duration(world.rng.IntN(int(world.options.MaxMessageDelay.Milliseconds()))) * time.Millisecond
	}
	// Consensus messages are not delayed more: else the log stands still, and no other late message matters.
	if !agent.IsConsensusMessage(message.Data) {
		extra := world.network.extraDelay
		delay += extra/2 + time.Duration(world.rng.Float64()*float64(extra)) // delayed messages overtake each other
	}
	return delay
}
