package main

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

const (
	compatXMPPServers = 3
	devicesOfKind     = 6
	compatDeadline    = 2 * time.Minute // for all that a client does
)

// compatXMPPNode is a node with the XMPP front whose program is replaced.
type compatXMPPNode struct {
	addr, tlsAddr string
	trusted       *tls.Config
	env           []string
	operatorFile  string
	running       *process
}

func newCompatXMPPNode(t *testing.T) *compatXMPPNode {
	t.Helper()
	dir := t.TempDir()
	tmp, err := os.MkdirTemp("", "hr") //nolint:usetesting // TempDir would be too long for a Unix socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(tmp) }) // a leftover directory doesn't matter
	node := &compatXMPPNode{operatorFile: filepath.Join(dir, "operator.toml"), env: []string{"TMPDIR=" + tmp}}
	hosts := ""
	for i := range compatXMPPServers {
		server, err := xmppserver.Listen(fmt.Sprint("h", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		hosts += fmt.Sprintf("[[cluster.host]]\nid = \"h%d\"\naddr = %q\n", i, server.Addr)
	}
	node.addr = transcript.FreeAddr(t)
	node.tlsAddr = transcript.FreeAddr(t)
	cert, key := transcript.WriteCertificate(t, dir, time.Now().Add(certificateValid), "farm.example")
	node.trusted = transcript.TrustCertificate(t, cert, "farm.example")
	writeFile(t, node.operatorFile, fmt.Sprintf("[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n"+
		"[[listener]]\naddr = %q\nprotocol = \"xmpp\"\ntls = \"direct\"\n[[certificate]]\ncert = %q\nkey = %q\n"+
		"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\n%s",
		node.addr, node.tlsAddr, cert, key, hosts))
	return node
}

// start starts a program for the node and waits until it is ready.
func (n *compatXMPPNode) start(t *testing.T, program string) *process {
	t.Helper()
	env := append([]string{"GW_MGMT=" + transcript.FreeAddr(t)}, n.env...)
	proc := start(t, program, env, "-operator", n.operatorFile)
	proc.waitUntilReady(t)
	return proc
}

// compatDevice is a device with a session.
type compatDevice struct {
	user   string
	useTLS bool
	client *xmppserver.Client
}

// newDevices connects devices that have no sessions yet.
func (n *compatXMPPNode) newDevices(t *testing.T, kind string, useTLS bool) (devices []*compatDevice) {
	t.Helper()
	for i := range devicesOfKind {
		device := &compatDevice{user: fmt.Sprint(kind, i), useTLS: useTLS}
		n.connect(t, device)
		devices = append(devices, device)
	}
	return devices
}

// connect connects a device and resumes its session, if it has one.
func (n *compatXMPPNode) connect(t *testing.T, device *compatDevice) (resumed bool) {
	t.Helper()
	id := ""
	if device.client != nil {
		id = device.client.ID
	}
	deadline := time.Now().Add(compatDeadline)
	var client *xmppserver.Client
	var err error
	if device.useTLS {
		client, resumed, err = xmppserver.ConnectTLS(
			n.tlsAddr, device.user, id, xmppserver.LoginPlain, n.trusted, true, deadline)
	} else {
		client, resumed, err = xmppserver.Connect(n.addr, device.user, id, xmppserver.LoginPlain, deadline)
	}
	if err != nil {
		t.Fatalf("%s: %v", device.user, err)
	}
	closeAtEnd(t, client.Conn)
	device.client = client
	return resumed
}

// replace starts a program beside the running one, which then stops. It checks that devices over TLS are asked to
// reconnect, and returns how many of them have resumed their sessions.
func (n *compatXMPPNode) replace(t *testing.T, program string, overTLS []*compatDevice) (resumed int) {
	t.Helper()
	successor := n.start(t, program)
	n.running.signal(syscall.SIGTERM)
	for _, device := range overTLS {
		got, err := device.client.Exchange("", "</stream:stream>")
		if err == nil || !strings.Contains(got+err.Error(), "system-shutdown") {
			t.Errorf("%s: got %q, error %v, want to be asked to reconnect", device.user, got, err)
		}
		if n.connect(t, device) {
			resumed++
		}
	}
	n.running.waitForExit(t)
	n.running = successor
	if status := n.running.readiness(); status != http.StatusOK {
		t.Errorf("readiness check got status %d, want %d", status, http.StatusOK)
	}
	return resumed
}

// TestCompatXMPPUpgrade upgrades a node with XMPP clients from the old to the new version, downgrades it and upgrades
// it again. Connections in the clear must pass from process to process. A device that comes again must reach its
// session; after the end of the old version this holds only for the sessions that it passes on.
func TestCompatXMPPUpgrade(t *testing.T) {
	const ping = "<iq type='get' id='p'><ping xmlns='urn:xmpp:ping'/></iq>"
	oldVersion := oldProgram(t)
	newVersion := build(t)
	node := newCompatXMPPNode(t)
	node.running = node.start(t, oldVersion)
	standing := node.newDevices(t, "standing", false)
	vanished := node.newDevices(t, "vanished", false)
	overTLS := node.newDevices(t, "tls", true)
	for _, next := range []struct {
		name, program string
		wantOverTLS   int // sessions over TLS that the version that ends must pass on
	}{
		{"old to new", newVersion, 0},
		{"new to old", oldVersion, len(overTLS)},
		{"old to new again", newVersion, 0},
	} {
		t.Log(next.name)
		if resumed := node.replace(t, next.program, overTLS); resumed < next.wantOverTLS {
			t.Errorf("%d sessions over TLS were resumed, want at least %d", resumed, next.wantOverTLS)
		}
		for _, device := range vanished {
			if !node.connect(t, device) {
				t.Errorf("the session of %s was not resumed, want it resumed", device.user)
			}
		}
		for _, device := range standing {
			if _, err := device.client.Exchange(ping, "/>"); err != nil {
				t.Errorf("%s: %v", device.user, err)
			}
		}
	}
}
