package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"spurwinch/internal/failover/agent"
)

const (
	// maxHeartbeatAge is the age of the last heartbeat, in seconds, above which the status lists a node.
	maxHeartbeatAge = 3
	// zoneHealthy is the state of a zone without a fault, as replies name it.
	zoneHealthy = "well"
)

func printExplanation(out io.Writer, reply *agent.Reply) {
	for _, line := range reply.Explain {
		printLine(out, line)
	}
}

func printOrderOutcome(out io.Writer, reply *agent.Reply) {
	drained := orDefault(strings.Join(reply.Drained, ", "), "none")
	printf(out, "order committed at log index %d; drained zones: %s\n", reply.Outcome.Number, drained)
}

func printFleetStatus(out io.Writer, reply *agent.Reply) {
	printf(out, "log %s, term %d, leader: %s\n", reply.Log, reply.Term, orDefault(reply.Leader, "unknown"))
	printf(out, "plan %d: %s\n", reply.Plan, orDefault(reply.Reason, "none yet"))
	if len(reply.Drained) > 0 {
		printf(out, "drained by order: %s\n", strings.Join(reply.Drained, ", "))
	}
	if len(reply.LostNodes) > 0 {
		printf(out, "not in the membership view: %s\n", strings.Join(reply.LostNodes, ", "))
	}
	table := newFleetTable(out)
	printLine(table, "zone\tregion\tstate\tnodes\tcapacity")
	for i := range reply.Zones {
		zone := &reply.Zones[i]
		printf(table, "%s\t%s\t%s\t%d of %d\t%.1f\n",
			zone.Name, zone.Region, zone.State, zone.Nodes, zone.Listed, zone.Capacity)
	}
	flushTable(table)
	printLaggingNodes(out, reply)
}

// printLaggingNodes lists the nodes without a recent heartbeat and counts the other nodes that apply an older plan.
func printLaggingNodes(out io.Writer, reply *agent.Reply) {
	behind := 0
	for _, node := range reply.Nodes {
		age := node.LastReportSecondsAgo
		switch {
		case age < 0:
			printf(out, "%s in %s: no heartbeat yet\n", node.Name, node.Zone)
		case age > maxHeartbeatAge:
			printf(out, "%s in %s: no heartbeat for %.0f s\n", node.Name, node.Zone, age)
		case node.Plan < reply.Plan:
			behind++
		}
	}
	if behind > 0 {
		printf(out, "%d nodes still apply an older plan\n", behind)
	}
}

func printFleetPlan(out io.Writer, reply *agent.Reply) {
	printf(out, "plan %d on node %s, mode %s; grants in other zones expire in %.1f s\n",
		reply.Plan, reply.Node, reply.Mode, reply.GrantsValidSeconds)
	table := newFleetTable(out)
	printLine(table, "zone\tstate\tcapacity\tdemand\tgranted\treserve\tadmitted")
	for i := range reply.Zones {
		zone := &reply.Zones[i]
		printf(table, "%s\t%s\t%.1f\t%s\t%s\t%.1f, lease owner %s\t%s\n", zone.Name, zone.State, zone.Capacity,
			demandText(zone), grantsText(zone), zone.Reserve, orDefault(zone.LeaseOwner, "none"),
			orDefault(admissionText(zone), "all"))
	}
	flushTable(table)
	for _, zone := range slices.Sorted(maps.Keys(reply.LeasedFrom)) {
		printf(out, "%s has leased %.1f of the capacity of %s\n", reply.Node, reply.LeasedFrom[zone], zone)
	}
	if reply.LeasedOut > 0 {
		printf(out, "%s has leased out %.1f of the capacity of its zone\n", reply.Node, reply.LeasedOut)
	}
}

// demandText lists a zone's demand by class.
func demandText(zone *agent.ZoneReply) string {
	var texts []string
	for _, class := range slices.Sorted(maps.Keys(zone.Demand)) {
		texts = append(texts, fmt.Sprintf("%s %.1f", class, zone.Demand[class]))
	}
	return strings.Join(texts, ", ")
}

// admissionText lists the admitted part of each class whose requests are partly rejected.
func admissionText(zone *agent.ZoneReply) string {
	var texts []string
	for _, class := range slices.Sorted(maps.Keys(zone.Demand)) {
		if admitted := zone.AdmitFractions[class]; admitted < 1 {
			texts = append(texts, fmt.Sprintf("%s %.0f%%", class, 100*admitted))
		}
	}
	return strings.Join(texts, ", ")
}

// grantsText lists the capacity granted to a zone's clients in each zone.
func grantsText(zone *agent.ZoneReply) string {
	var texts []string
	for _, target := range slices.Sorted(maps.Keys(zone.Grants)) {
		ownOnly := target == zone.Name && zone.GuestLoad == 0 && zone.State == zoneHealthy
		if ownOnly { // no other zone needs its capacity
			texts = append(texts, fmt.Sprintf("%s all %.1f", target, zone.Capacity))
			continue
		}
		texts = append(texts, fmt.Sprintf("%s %.1f", target, zone.Grants[target]))
	}
	return strings.Join(texts, ", ")
}
