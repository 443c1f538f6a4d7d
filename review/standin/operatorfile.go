//go:build review

package main

import (
	"fmt"
	"strings"
)

// clusterText returns the tables of an operator's file for one domain, whose cluster has the given static hosts.
func clusterText(hosts ...*xmppHost) string {
	var text strings.Builder
	text.WriteString(domainText() + "\n")
	for _, h := range hosts {
		fmt.Fprintf(&text, "[[cluster.host]]\nid = %q\naddr = %q\n\n", h.name, h.addr)
	}
	return text.String()
}

// domainText returns the tables of an operator's file for one domain, up to the cluster's own table.
func domainText() string {
	return fmt.Sprintf("[[class]]\nname = \"visit\"\n\n[[domain]]\nname = %q\ncluster = \"visits\"\nclass = \"visit\"\n\n"+
		"[[cluster]]\nname = \"visits\"\nzone = \"cluj-1\"\n", xmppName)
}
