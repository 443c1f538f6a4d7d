package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

// replaceCluster replaces the end of the operator's file from the cluster's own settings on, and reloads the file.
func (n *restartedXMPPNode) replaceCluster(t *testing.T, cluster string) {
	t.Helper()
	n.edit(n.operatorPath, func(text string) string {
		const lastCommonLine = "leave = \"1s\"\n"
		before, _, _ := strings.Cut(text, lastCommonLine)
		return before + lastCommonLine + cluster
	})
	accepted, rejected := n.reloadCounts()
	n.current.runOn(n.current.Reload)
	if nowAccepted, nowRejected := n.reloadCounts(); nowAccepted != accepted+1 || nowRejected != rejected {
		t.Fatalf("reload of a valid file: got %d accepted and %d rejected, want %d and %d",
			nowAccepted, nowRejected, accepted+1, rejected)
	}
}

// awaitOnlyServer waits until a process's cluster has only one server that takes sessions.
func awaitOnlyServer(t *testing.T, process *process, id string) {
	t.Helper()
	awaitOn(t, process, "only server "+id+" takes sessions", func() bool {
		core := process.coreByCluster["k"]
		for _, entry := range core.Servers() {
			if core.AcceptsNew(entry.ID, entry.Started) != (string(entry.ID) == id) {
				return false
			}
		}
		return len(core.Servers()) > 0
	})
}

// discoveryKey returns the cluster's key with the address of a discovery service.
func discoveryKey(service *listService) string {
	return fmt.Sprintf("discovery = %q\n", strings.TrimPrefix(service.URL, "http://"))
}

// requireSessionAt checks that a new session is established at a server.
func requireSessionAt(t *testing.T, node *restartedXMPPNode, user, server string) *upgradeDevice {
	t.Helper()
	device := &upgradeDevice{user: user, listener: cleartext, method: xmppserver.LoginPlain}
	node.connect(t, device)
	if !strings.HasPrefix(device.client.ID, server+"-") {
		t.Errorf("session of %s: got id %q, want one of server %s", user, device.client.ID, server)
	}
	return device
}

// TestReloadChangesWhereServersComeFrom guards against a cluster that gains or loses its discovery at a reload and goes
// on with the servers of before: their sessions are not told to leave, and new ones go there.
func TestReloadChangesWhereServersComeFrom(t *testing.T) {
	var servers []*xmppserver.Server
	node := newRestartedXMPPNodeWith(t, 2, func(all []*xmppserver.Server) string {
		servers = all
		return staticCluster(all[:1])
	})
	first := requireSessionAt(t, node, "first", "h0")
	service := newListService(t, servers)
	service.removeServer(0)
	node.replaceCluster(t, discoveryKey(service))
	awaitOnlyServer(t, node.current, "h1")
	first.client.SetDeadline(time.Now().Add(testTimeout))
	checkEnds(t, first.user, first.client, "system-shutdown")
	second := requireSessionAt(t, node, "second", "h1")

	node.replaceCluster(t, staticCluster(servers[:1]))
	awaitOnlyServer(t, node.current, "h0")
	second.client.SetDeadline(time.Now().Add(testTimeout))
	checkEnds(t, second.user, second.client, "system-shutdown")
	service.update(func() { service.servers[0].State = "DRAINING" })
	transcript.WaitFor(t, "server h0, which counts as just started, takes a session", func() bool {
		client, _, err := xmppserver.Connect(
			node.addrs[cleartext], "third", "", xmppserver.LoginPlain, time.Now().Add(testTimeout))
		if err != nil {
			return false
		}
		closeAtEnd(t, client.Conn)
		return strings.HasPrefix(client.ID, "h0-")
	})
	node.current.runOn(func() {
		if node.current.operator.clusters["k"].watch != nil {
			t.Error("cluster with static servers: got a watch of its former discovery, want none")
		}
	})
}

// TestOtherDiscoveryListsRunningServers guards against servers that count as just started because a cluster's discovery
// has another address: sessions are refused there for the length of a slow start.
func TestOtherDiscoveryListsRunningServers(t *testing.T) {
	// A server that has just started may get one session in 2 s.
	const smallServers = "sessions = 100\ncold_share = 0.001\nfall_multiple = 1.0\n"
	var servers []*xmppserver.Server
	var service *listService
	node := newRestartedXMPPNodeWith(t, 2, func(all []*xmppserver.Server) string {
		servers = all
		service = newListService(t, all)
		return smallServers + discoveryKey(service)
	})
	service.update(func() { service.removeServer(1) })
	awaitOnlyServer(t, node.current, "h0")
	other := newListService(t, servers)
	other.servers[1].Started = time.Now().Add(-time.Hour).UnixMilli()
	other.removeServer(0)
	node.replaceCluster(t, smallServers+discoveryKey(other))
	awaitOnlyServer(t, node.current, "h1")
	for i := range 10 {
		requireSessionAt(t, node, fmt.Sprint("u", i), "h1")
	}
}
