package faults

import (
	"strings"

	"spurwinch/internal/membership"
)

// recentStart is the time after its start, in seconds, in which a node may not have taken part yet. A node that started
// within the first second of the run has been there from the beginning.
const (
	recentStart    = 5
	beginningOfRun = 1
)

// zoneFaultWords are in the details of faults that touch a zone: of links, and of connections to servers.
var zoneFaultWords = []string{"zone", "region", "lin", "cut", "split", "hears", "lose"}

// touched reports whether a fault may have touched a node. One that names nobody may touch anybody.
func (c *checker) touched(node membership.Node) bool {
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

// zoneDisturbed reports whether a fault has touched a zone, or links.
func (c *checker) zoneDisturbed() bool {
	for _, fault := range c.faults {
		for _, word := range zoneFaultWords {
			if strings.Contains(fault.Detail, word) {
				return true
			}
		}
	}
	return false
}

// lacksNodes reports whether over a third of a zone's nodes are down, or have just started: their parts of the zone's
// capacity are reserved for them, so that the other nodes find none free in it.
func (c *checker) lacksNodes(zone string, at float64) bool {
	here, all := 0, 0
	for _, index := range c.list.InZone(zone) {
		all++
		node := c.node(c.list.Node(index).Name)
		if node.live && (node.startedAt < beginningOfRun || at-node.startedAt > recentStart) {
			here++
		}
	}
	return 3*here < 2*all
}

// othersLive reports whether nine in ten of the nodes that don't vote run.
func (c *checker) othersLive() bool {
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

// liveVoters is the number of voters that run.
func (c *checker) liveVoters() int {
	live := 0
	for _, index := range c.list.Voters() {
		if c.isLive(c.list.Node(index).Name) {
			live++
		}
	}
	return live
}
