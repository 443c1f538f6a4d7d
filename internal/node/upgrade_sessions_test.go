package node

import (
	"crypto/tls"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

// xmppListener is how the clients of a listener connect.
type xmppListener string

// The listeners of a restartedXMPPNode.
const (
	cleartext xmppListener = "cleartext"
	startTLS  xmppListener = "starttls"
	directTLS xmppListener = "directtls"
	webSocket xmppListener = "websocket"
)

// restartedXMPPNode is a restartedNode with the XMPP front only and several servers.
type restartedXMPPNode struct {
	*restartedNode
	servers []*xmppserver.Server
	addrs   map[xmppListener]string
	trusted *tls.Config
}

func newRestartedXMPPNode(t *testing.T, servers int) *restartedXMPPNode {
	t.Helper()
	return newRestartedXMPPNodeWith(t, servers, staticCluster)
}

// staticCluster returns the servers as the static servers of a cluster in the operator's file.
func staticCluster(servers []*xmppserver.Server) string {
	hosts := ""
	for i, server := range servers {
		hosts += fmt.Sprintf("[[cluster.host]]\nid = \"h%d\"\naddr = %q\n", i, server.Addr)
	}
	return hosts
}

// startsXMPPNode is held while a node's free addresses are chosen and opened, so that parallel tests choose others.
var startsXMPPNode sync.Mutex

// newRestartedXMPPNodeWith is newRestartedXMPPNode with a function that returns the rest of the cluster's table.
func newRestartedXMPPNodeWith(
	t *testing.T, servers int, cluster func([]*xmppserver.Server) string,
) *restartedXMPPNode {
	t.Helper()
	startsXMPPNode.Lock()
	defer startsXMPPNode.Unlock()
	dir := shortTempDir(t)
	node := &restartedXMPPNode{
		restartedNode: &restartedNode{
			tb: t, env: map[string]string{"TMPDIR": dir}, operatorPath: filepath.Join(dir, "operator.toml"),
		},
		addrs: map[xmppListener]string{},
	}
	for i := range servers {
		server, err := xmppserver.Listen(fmt.Sprint("h", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		node.servers = append(node.servers, server)
	}
	clusterText := cluster(node.servers) // before the free addresses are chosen, since it may open a listener
	for _, listener := range []xmppListener{cleartext, startTLS, directTLS, webSocket} {
		node.addrs[listener] = transcript.FreeAddr(t)
	}
	certificate, key := transcript.WriteCertificate(t, dir, time.Now().Add(certificateLifetime), "farm.example")
	node.trusted = transcript.TrustCertificate(t, certificate, "farm.example")
	writeFile(t, node.operatorPath, fmt.Sprintf("[limits]\nconnections = 1000\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"starttls\"\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"direct\"\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp-websocket\"\n"+
		"[[certificate]]\ncert = %q\nkey = %q\n[[class]]\nname = \"c\"\n"+
		"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\nleave = \"1s\"\n%s",
		node.addrs[cleartext], node.addrs[startTLS], node.addrs[directTLS], node.addrs[webSocket],
		certificate, key, clusterText))
	node.current = node.start()
	return node
}

// holdLoop blocks a process's loop. It returns once the loop is blocked; release ends that.
func holdLoop(held *process) (release func()) {
	blocked := make(chan struct{})
	released := make(chan struct{})
	held.loop.Post(func() {
		close(blocked)
		<-released
	})
	<-blocked
	return func() { close(released) }
}

// settle waits until two processes of a node have handled all messages that are on the link between them.
func settle(first, second *process) {
	const exchanges = 3
	for range exchanges {
		first.runOn(func() {})
		second.runOn(func() {})
	}
}

// upgradeDevice is a device whose session has to survive an upgrade.
type upgradeDevice struct {
	user     string
	listener xmppListener
	method   xmppserver.LoginMethod
	vanishes bool // the device says nothing before it reconnects, and reads nothing
	client   *xmppserver.Client
}

// connect connects a device. It resumes its session if it has one, and reports whether that succeeded.
func (n *restartedXMPPNode) connect(t *testing.T, device *upgradeDevice) (resumed bool) {
	t.Helper()
	id := ""
	if device.client != nil {
		id = device.client.ID
	}
	addr := n.addrs[device.listener]
	deadline := time.Now().Add(testTimeout)
	var client *xmppserver.Client
	var err error
	if device.listener == cleartext {
		client, resumed, err = xmppserver.Connect(addr, device.user, id, device.method, deadline)
	} else {
		isDirect := device.listener == directTLS
		client, resumed, err = xmppserver.ConnectTLS(
			addr, device.user, id, device.method, n.trusted, isDirect, deadline)
	}
	if err != nil {
		t.Fatalf("%s: connect: %v", device.user, err)
	}
	closeAtEnd(t, client.Conn)
	device.client = client
	return resumed
}

// connectDevices connects devices of each listener and login method. Half of them vanish later.
func (n *restartedXMPPNode) connectDevices(t *testing.T, group string) (devices []*upgradeDevice) {
	t.Helper()
	const perKind = 2
	for _, listener := range []xmppListener{cleartext, startTLS, directTLS} {
		for _, method := range loginMethods {
			for number := range 2 * perKind {
				device := &upgradeDevice{
					user:     fmt.Sprintf("%s-%s-%d-%d", group, listener, method, number),
					listener: listener, method: method, vanishes: number < perKind,
				}
				n.connect(t, device)
				devices = append(devices, device)
			}
		}
	}
	return devices
}

// checkReconnectsWhenAsked checks that a device is asked to reconnect, and makes it do so.
func (n *restartedXMPPNode) checkReconnectsWhenAsked(t *testing.T, device *upgradeDevice) {
	t.Helper()
	got, err := device.client.Exchange("", "</stream:stream>")
	if err == nil || !strings.Contains(got+err.Error(), "system-shutdown") {
		t.Errorf("%s: got %q, error %v, want to be asked to reconnect", device.user, got, err)
	}
	n.checkResumes(t, device)
}

// checkResumes checks that a device that comes again reaches the server that has its session.
func (n *restartedXMPPNode) checkResumes(t *testing.T, device *upgradeDevice) {
	t.Helper()
	if !n.connect(t, device) {
		t.Errorf("%s: session not resumed, want it resumed", device.user)
	}
}

// TestSessionsFollowUpgrade guards against sessions whose server only the old process knows after an upgrade: those of
// connections that can't be transferred, which the old process ends itself, and those that begin during the upgrade.
func TestSessionsFollowUpgrade(t *testing.T) {
	node := newRestartedXMPPNode(t, 3)
	devices := node.connectDevices(t, "before")
	node.successor = node.start()
	release := holdLoop(node.successor) // so that the old process accepts the following devices
	devices = append(devices, node.connectDevices(t, "during")...)
	release()
	node.current.loop.Post(node.current.Shutdown)
	for _, device := range devices {
		if !device.vanishes && device.listener != cleartext {
			node.checkReconnectsWhenAsked(t, device)
		}
	}
	node.endRestart()
	for _, device := range devices {
		if device.vanishes || device.listener == cleartext {
			node.checkResumes(t, device)
		}
	}
}

// TestSessionsKnownInBothProcesses guards against a device that comes again while the node has two processes, and
// reaches the one that has not served it before.
func TestSessionsKnownInBothProcesses(t *testing.T) {
	node := newRestartedXMPPNode(t, 3)
	ofOld := node.connectDevices(t, "old")
	node.successor = node.start()
	settle(node.current, node.successor)
	release := holdLoop(node.current)
	for _, device := range ofOld {
		node.checkResumes(t, device)
	}
	ofNew := node.connectDevices(t, "new")
	release()
	settle(node.successor, node.current)
	release = holdLoop(node.successor)
	for _, device := range append(ofOld, ofNew...) {
		node.checkResumes(t, device)
	}
	release()
	node.current.loop.Post(node.current.Shutdown)
	node.endRestart()
	for _, device := range append(ofOld, ofNew...) {
		node.checkResumes(t, device)
	}
}

// TestSessionsFollowTwoUpgrades guards against sessions that a process has learned from its predecessor and does not
// pass on to its own successor.
func TestSessionsFollowTwoUpgrades(t *testing.T) {
	node := newRestartedXMPPNode(t, 3)
	devices := node.connectDevices(t, "device")
	for range 2 {
		node.restart()
	}
	for _, device := range devices {
		node.checkResumes(t, device)
	}
}

// TestWebSocketSessionsFollowUpgrade is TestSessionsFollowUpgrade for clients over WebSocket.
func TestWebSocketSessionsFollowUpgrade(t *testing.T) {
	node := newRestartedXMPPNode(t, 3)
	url := "ws://" + node.addrs[webSocket] + "/xmpp"
	ids := map[string]string{}
	for number := range 8 {
		credentials := webSocketCredentials(fmt.Sprint("user", number))
		_, ids[credentials] = bindResumable(t, url, credentials)
	}
	node.restart()
	for credentials, id := range ids {
		client := openStream(t, url, credentials)
		client.exchange("<resume xmlns='urn:xmpp:sm:3' previd='"+id+"' h='0'/>", "<resumed")
	}
}
