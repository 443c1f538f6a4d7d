package faults

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	nodeMemory          = 192 // MB
	nodeDescriptors     = 1024
	smallDescriptors    = 600  // descriptors of a small node
	requiredDescriptors = 1000 // descriptors that DocumentDescriptors needs, more than a small node has
)

// writeFiles writes the configuration files and the key of a node.
func (n *node) writeFiles() error {
	discovery, err := n.harness.endpoints.serve(n)
	if err != nil {
		return err
	}
	configuration, err := n.configuration(discovery)
	if err != nil {
		return err
	}
	for name, text := range map[string][]byte{
		"config.json":   configuration,
		"nodes.toml":    []byte(n.nodesFile()),
		"operator.toml": []byte(n.operatorFile()),
		"key":           []byte(fleetKey),
	} {
		if err := os.WriteFile(filepath.Join(n.dir, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// descriptors returns the number of descriptors of a node.
func (n *node) descriptors() int {
	if n.isAmongLast(n.harness.scenario.Fleet.SmallNodes) {
		return smallDescriptors
	}
	return nodeDescriptors
}

// isAmongLast reports whether the node is one of the last count nodes of the list.
func (n *node) isAmongLast(count int) bool {
	return count > 0 && n.index >= n.harness.options.Nodes-count
}

// configuration returns the platform's configuration of a node.
func (n *node) configuration(discovery string) ([]byte, error) {
	options := n.harness.options
	return json.Marshal(map[string]any{
		"name":      n.name,
		"listen":    "127.0.0.1:0",
		"discovery": discovery,
		"seed":      fmt.Sprintf("%x", options.Seed+uint64(n.index)*nodeSeedDistance),
		"limits":    map[string]any{"cores": 1, "memory_mb": nodeMemory, "sockets": n.descriptors()},
		"known":     n.harness.endpoints.encode(n),
		"settings":  NodeSettings(options.Nodes, n.index, n.zone),
	})
}

// nodesFile returns the fleet's list of nodes, with the addresses at which this node reaches them.
func (n *node) nodesFile() string {
	var text strings.Builder
	for i, other := range n.harness.nodes {
		text.WriteString(other.listEntry(n.nodeLinks[i]))
	}
	text.WriteString("[plan]\nstay = [")
	for _, class := range Classes {
		if class.StayInRegion {
			fmt.Fprintf(&text, "%q,", class.Name)
		}
	}
	text.WriteString("]\n")
	if n.harness.scenario.Fleet.Policy {
		text.WriteString("[policy]\nwindow = \"5s\"\nanswer = \"8s\"\n")
	}
	return text.String()
}

// listEntry returns the node's entry, with an address, in a list of nodes.
func (n *node) listEntry(address string) string {
	region := n.harness.regionOf[n.zone]
	entry := fmt.Sprintf("[[node]]\nname = %q\naddr = %q\nzone = %q\nregion = %q\n", n.name, address, n.zone, region)
	if n.isVoter {
		entry += "voter = true\n"
	}
	return entry
}

// operatorFile returns the operator's file of a node. In some scenarios the last nodes know older policies only.
func (n *node) operatorFile() string {
	text := fmt.Sprintf("[fleet]\nself = %q\nlisten = %q\nnodes = %q\nkey_file = %q\ndir = %q\n",
		n.name, n.fleetAddr, filepath.Join(n.dir, "nodes.toml"), filepath.Join(n.dir, "key"),
		filepath.Join(n.dir, "files"))
	if n.isAmongLast(n.harness.scenario.Fleet.OlderNodes) {
		text += "policy_level = 1\n"
	}
	return text
}
