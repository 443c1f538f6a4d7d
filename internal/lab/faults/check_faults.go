package faults

import (
	"strings"

	"spurwinch/internal/membership"
)

// Times in seconds. A node may not take part in the fleet yet within startupTime after its start. A node that started
// within startOfRun counts as present from the beginning.
const (
	startupTime = 5
	startOfRun  = 1
)

// zoneFaultWords are the words that mark a fault's detail as one that affects a zone, its links or its connections to
// servers.
var zoneFaultWords = []string{"zone", "region", "lin", "cut", "split", "hears", "lose"}

// mayBeAffected reports whether a node is down or a fault may have affected it. A fault that names neither a node nor a
// zone may affect any node.
func (c *checker) mayBeAffected(node membership.Node) bool {
	if !c.isLive(node.Name) {
		return true
	}
	for _, fault := range c.faults {
		if fault.Node == node.Name || fault.Zone == node.Zone || fault.Node == "" && fault.Zone == "" {
			return true
		}
	}
	return false
}

// zoneFaultInjected reports whether a fault has affected a zone or links.
func (c *checker) zoneFaultInjected() bool {
	for _, fault := range c.faults {
		for _, word := range zoneFaultWords {
			if strings.Contains(fault.Detail, word) {
				return true
			}
		}
	}
	return false
}

// lacksNodes reports whether more than a third of a zone's nodes are down or have just started. Their parts of the
// zone's capacity stay reserved for them, so the other nodes may find no free capacity in the zone.
func (c *checker) lacksNodes(zone string, at float64) bool {
	available, all := 0, 0
	for _, index := range c.list.InZone(zone) {
		all++
		node := c.node(c.list.Node(index).Name)
		if node.live && (node.startedAt < startOfRun || at-node.startedAt > startupTime) {
			available++
		}
	}
	return 3*available < 2*all
}

// nonVotersLive reports whether at least nine in ten of the nodes that are not voters are running.
func (c *checker) nonVotersLive() bool {
	live, all := 0, 0
	for index := range c.list.Len() {
		node := c.list.Node(index)
		if node.Voter {
			continue
		}
		all++
		if c.isLive(node.Name) {
			live++
		}
	}
	return 10*live >= 9*all
}

// liveVoters returns the number of running voters.
func (c *checker) liveVoters() int {
	live := 0
	for _, index := range c.list.Voters() {
		if c.isLive(c.list.Node(index).Name) {
			live++
		}
	}
	return live
}
