package simulation

import (
	"time"

	"spurwinch/internal/failover/agent"
)

const (
	maxOutputRounds       = 8
	maxWriteTime          = 8 // ms, to write a record
	fullDiskRetryDelay    = 200 * time.Millisecond
	minMessageDelay       = 200 * time.Microsecond
	messageJitter         = time.Millisecond
	crossZoneMessageDelay = 4 * time.Millisecond
	slowMessageFraction   = 0.1 // fraction of messages that take up to Options.MaxMessageDelay longer
)

// handleAgentOutput passes the agent's zone plan to the core, its records to the disk and its messages to other nodes.
// It stops when the agent has no more messages, or after maxOutputRounds rounds.
func (n *node) handleAgentOutput() {
	for range maxOutputRounds {
		if plan, changed := n.agent.ZonePlan(); changed && n.core != nil {
			n.core.ApplyZonePlan(plan)
			n.core.Flush()
		}
		n.writeNextRecord()
		messages := n.agent.TakeMessages()
		if len(messages) == 0 {
			return
		}
		for _, message := range messages {
			n.send(message)
		}
	}
}

// writeNextRecord writes the agent's next record to the disk. The write takes some time, so that the node may crash
// before or after the record is on the disk.
func (n *node) writeNextRecord() {
	record, replacesAll, ok := n.agent.NextRecord()
	if !ok || n.writing {
		return
	}
	n.writing = true
	writeTime := time.Duration(1+n.world.rng.IntN(maxWriteTime)) * time.Millisecond
	n.scheduleWhileUp(n.diskDelay+writeTime, func() {
		n.writing = false
		if n.diskFull {
			n.scheduleWhileUp(fullDiskRetryDelay, n.writeNextRecord)
			return
		}
		if replacesAll {
			n.disk = nil
		}
		n.disk = append(n.disk, record)
		n.schedule(n.world.now, func() { n.agent.Persisted(n.clock()) })
	})
}

// send delivers a message to another node once, twice or not at all.
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

// isLost decides, partly at random, whether a message to another node is lost.
func (n *node) isLost(target *node) bool {
	world := n.world
	return n.isolated || target.isolated || target.receivesNothing ||
		world.network.partitions[zonePair{n.zone, target.zone}] ||
		world.rng.Float64() < world.network.lossRate || !target.up
}

// messageDelay draws the transmission time of a message to another node.
func (n *node) messageDelay(target *node, message agent.Message) time.Duration {
	world := n.world
	delay := minMessageDelay + time.Duration(world.rng.Float64()*float64(messageJitter))
	if n.zone != target.zone {
		delay += crossZoneMessageDelay
	}
	if world.options.MaxMessageDelay > 0 && world.rng.Float64() < slowMessageFraction {
		delay += time.Duration(world.rng.IntN(int(world.options.MaxMessageDelay.Milliseconds()))) * time.Millisecond
	}
	// The extra delay doesn't apply to consensus messages. Otherwise the log would make no progress, and the delay of
	// all other messages would not matter.
	if !agent.IsConsensusMessage(message.Data) {
		extra := world.network.extraDelay
		delay += extra/2 + time.Duration(world.rng.Float64()*float64(extra)) // delayed messages overtake each other
	}
	return delay
}
