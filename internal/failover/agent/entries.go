package agent

import (
	"slices"
	"time"

	"spurwinch/internal/consensus"
	"spurwinch/internal/failover"
)

// fromOwnVoter is the sender number of an entry that this node's own voter has committed.
const fromOwnVoter = -1

// fetchMissing requests from another node the entries that, according to that node's digest, this node doesn't have.
func (a *Agent) fetchMissing(from int, digest consensus.Digest, now time.Duration) {
	kinds, err := a.follower.MissingKinds(digest)
	if err != nil {
		a.options.Log("fleet_log_conflict", "from", a.options.List.Node(from).Name, "error", err.Error())
		return
	}
	if len(kinds) > 0 {
		a.send(from, kindFetchEntries, encode(kinds), now)
	}
}

// handleFetchEntries sends another node the newest entries of the kinds that it requested.
func (a *Agent) handleFetchEntries(head header, kinds []consensus.Kind, now time.Duration) {
	for _, kind := range kinds[:min(len(kinds), consensus.MaxKinds)] {
		entry := a.follower.Newest(kind)
		if entry.Index > 0 {
			a.send(head.from, kindEntry, encode(logEntry{Log: a.follower.LogID(), Entry: entry}), now)
		}
	}
}

// acceptEntry adds an entry to the follower and forwards it to the subscribers. The entry takes effect once it is on
// disk.
func (a *Agent) acceptEntry(log uint64, entry consensus.Entry, from int, now time.Duration) {
	applied, err := a.follower.Apply(log, entry)
	if err != nil {
		sender := "its own log"
		if from != fromOwnVoter {
			sender = a.options.List.Node(from).Name
		}
		a.options.Log("fleet_log_conflict", "from", sender, "error", err.Error())
		return
	}
	if !applied {
		return
	}
	a.unsaved = true
	switch entry.Kind {
	case failover.PlanKind:
		if !a.acceptPlan(entry, now) {
			return
		}
	case failover.OperatorOrdersKind:
		a.acceptOrders(entry)
	}
	body := encode(logEntry{Log: log, Entry: entry})
	for _, subscriber := range a.subscribers(now) {
		if subscriber != from {
			a.send(subscriber, kindEntry, body, now)
		}
	}
	a.updateMode(now)
}

// acceptOrders applies the operators' orders to the planner, if this node is the leader.
func (a *Agent) acceptOrders(entry consensus.Entry) {
	orders, err := failover.DecodeOperatorOrders(entry.Data)
	if err == nil && a.planner != nil {
		a.planner.ApplyOrders(orders)
	}
	a.options.Log("fleet_orders_accepted", "number", entry.Index)
}

// adoptEntries puts entries that are on disk into effect. Entries must not take effect earlier, because a crash would
// take the node back to entries older than those that it has reported.
func (a *Agent) adoptEntries(entries []consensus.Entry, now time.Duration) {
	for _, entry := range entries {
		a.adoptPolicy(entry)
		a.adoptPlan(entry)
	}
	a.updateMode(now)
}

// subscribers returns the nodes to which this node sends new entries: the nodes that send it evidence and, if it is the
// leader, also the aggregators that send it summaries.
func (a *Agent) subscribers(now time.Duration) (nodes []int) {
	for node, known := range a.evidence {
		if node != a.options.Self && now-known.at <= peerTimeout {
			nodes = append(nodes, node)
		}
	}
	if a.planner != nil {
		for node, known := range a.peers {
			if known.newest[kindSummary] > 0 && now-known.lastMessageAt <= peerTimeout {
				nodes = append(nodes, node)
			}
		}
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}
