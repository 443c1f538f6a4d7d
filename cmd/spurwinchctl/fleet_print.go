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
	// maxHeartbeatAge is over how many seconds of silence a node is named in the status.
	maxHeartbeatAge = 3
	// zoneWell is the state of a zone without a fault.
	zoneWell = "well"
)

func printExplanation(out io.Writer, reply *agent.Reply) {
	for _, line := range reply.Explain {
		printLine(out, line)
	}
}

func printOrderOutcome(out io.Writer, reply *agent.Reply) {
	drained := orDefault(strings.Join(reply.Drained, ", "), "no zone")
	printf(out, "decided at number %d; drained now: %s\n", reply.Ended.Number, drained)
}

func printFleetStatus(out io.Writer, reply *agent.Reply) {
	printf(out, "log %s, term %d, leads: %s\n", reply.Log, reply.Term, orDefault(reply.Leader, "nobody known"))
	printf(out, "plan %d: %s\n", reply.Plan, orDefault(reply.Reason, "none yet"))
	if len(reply.Drained) > 0 {
		printf(out, "drained by order: %s\n", strings.Join(reply.Drained, ", "))
	}
	if len(reply.LostNodes) > 0 {
		printf(out, "out of the view: %s\n", strings.Join(reply.LostNodes, ", "))
	}
	table := newFleetTable(out)
	printLine(table, "zone\tregion\tstate\tnodes\troom")
	for i := range reply.Zones {
		zone := &reply.Zones[i]
		printf(table, "%s\t%s\t%s\t%d of %d\t%.1f\n",
			zone.Name, zone.Region, zone.State, zone.Nodes, zone.Listed, zone.Capacity)
	}
	flushTable(table)
	printLateNodes(out, reply)
}

// printLateNodes names the nodes without a recent heartbeat and counts those that go by an older plan.
func printLateNodes(out io.Writer, reply *agent.Reply) {
	behind := 0
	for _, node := range reply.Nodes {
		age := node.LastReportSecondsAgo
		switch {
		case age < 0:
			printf(out, "%s in %s: never heard\n", node.Name, node.Zone)
		case age > maxHeartbeatAge:
			printf(out, "%s in %s: not heard for %.0f s\n", node.Name, node.Zone, age)
		case node.Plan < reply.Plan:
			behind++
		}
	}
	if behind > 0 {
		printf(out, "%d nodes go by an older plan\n", behind)
	}
}

func printFleetPlan(out io.Writer, reply *agent.Reply) {
	printf(out, "plan %d, at %s by %s, for %.1f s more without word\n", reply.Plan, reply.Node, reply.Mode, reply.Lease)
	table := newFleetTable(out)
	printLine(table, "zone\tstate\troom\twants\tmay have\tlends\tlet in")
	for i := range reply.Zones {
		zone := &reply.Zones[i]
		printf(table, "%s\t%s\t%.1f\t%s\t%s\t%.1f by %s\t%s\n", zone.Name, zone.State, zone.Capacity,
			demandText(zone), grantsText(zone), zone.Reserve, orDefault(zone.LeaseOwner, "nobody"),
			orDefault(admissionText(zone), "all"))
	}
	flushTable(table)
	for _, zone := range slices.Sorted(maps.Keys(reply.LeasedFrom)) {
		printf(out, "%s has been lent %.1f in %s\n", reply.Node, reply.LeasedFrom[zone], zone)
	}
	if reply.LeasedOut > 0 {
		printf(out, "%s has lent %.1f\n", reply.Node, reply.LeasedOut)
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

// admissionText lists the classes of which a part is rejected.
func admissionText(zone *agent.ZoneReply) string {
	var texts []string
	for _, class := range slices.Sorted(maps.Keys(zone.Demand)) {
		if admitted := zone.AdmitFractions[class]; admitted < 1 {
			texts = append(texts, fmt.Sprintf("%s %.0f%%", class, 100*admitted))
		}
	}
	return strings.Join(texts, ", ")
}

// grantsText lists the capacity that a zone's clients may use, by the zone where it is.
func grantsText(zone *agent.ZoneReply) string {
	var texts []string
	for _, target := range slices.Sorted(maps.Keys(zone.Grants)) {
		ownOnly := target == zone.Name && zone.GuestLoad == 0 && zone.State == zoneWell
		if ownOnly { // no other zone needs its capacity
			texts = append(texts, fmt.Sprintf("%s all %.1f", target, zone.Capacity))
			continue
		}
		texts = append(texts, fmt.Sprintf("%s %.1f", target, zone.Grants[target]))
	}
	return strings.Join(texts, ", ")
}
