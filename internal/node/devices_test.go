package node

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/lab/xmppserver"
)

// deviceCount is the number of devices of one user in these tests, each of which has its session at another server.
const deviceCount = 3

// maxReconnects is how often a device may be asked to connect again before its session is resumed.
const maxReconnects = 3

// deviceMethods contains the login methods of devices that come again.
var deviceMethods = []xmppserver.LoginMethod{
	xmppserver.LoginPlain, xmppserver.LoginPlainNamed, xmppserver.LoginSASL2, xmppserver.LoginSASL2Separate,
	xmppserver.LoginSCRAM,
}

// serverOf returns the name of the server that has a client's session.
func serverOf(client *xmppserver.Client) string {
	name, _, _ := strings.Cut(client.ID, "-")
	return name
}

// connectDevicesApart connects the devices of one user, whose sessions are all at different servers. All of them log in
// before any of them has a session.
func connectDevicesApart(t *testing.T, addr, name string) (user string, devices []*xmppserver.Client) {
	t.Helper()
	const maxUsers = 100
	for number := range maxUsers {
		user = fmt.Sprintf("%s-%d", name, number)
		devices = nil
		servers := map[string]bool{}
		for range deviceCount {
			client, err := xmppserver.Open(addr, nil, time.Now().Add(testTimeout))
			if err != nil {
				t.Fatal(err)
			}
			closeAtEnd(t, client.Conn)
			if err := client.Authenticate(user); err != nil {
				t.Fatal(err)
			}
			devices = append(devices, client)
		}
		for _, client := range devices {
			if err := client.Bind(); err != nil {
				t.Fatal(err)
			}
			servers[serverOf(client)] = true
		}
		if len(servers) == deviceCount {
			return user, devices
		}
	}
	t.Fatalf("after %d users: got none whose devices are at different servers, want one", maxUsers)
	return "", nil
}

// connectFunc is xmppserver.Connect or a function like it.
type connectFunc func(
	addr, user, id string, method xmppserver.LoginMethod, deadline time.Time,
) (client *xmppserver.Client, resumed bool, err error)

// reconnect connects a device that wants to resume its session. It connects again when it is asked to.
func reconnect(
	t *testing.T, addr, user, id string, method xmppserver.LoginMethod,
) (client *xmppserver.Client, resumed bool) {
	t.Helper()
	return reconnectBy(t, xmppserver.Connect, addr, user, id, method)
}

func reconnectBy(
	t *testing.T, connect connectFunc, addr, user, id string, method xmppserver.LoginMethod,
) (client *xmppserver.Client, resumed bool) {
	t.Helper()
	for range maxReconnects + 1 {
		client, resumed, err := connect(addr, user, id, method, time.Now().Add(testTimeout))
		if errors.Is(err, xmppserver.ErrStream) && strings.Contains(err.Error(), "<reset") {
			continue
		}
		if err != nil {
			t.Fatalf("%s, login method %d: %v", user, method, err)
		}
		closeAtEnd(t, client.Conn)
		return client, resumed
	}
	t.Fatalf("%s, login method %d: asked to connect again more than %d times", user, method, maxReconnects)
	return nil, false
}

// checkDevicesResume checks that each of the devices that come again resumes its own session, whichever session was
// used last.
func checkDevicesResume(
	t *testing.T, addr, user string, devices []*xmppserver.Client, method xmppserver.LoginMethod,
) {
	t.Helper()
	for _, device := range devices {
		again, resumed := reconnect(t, addr, user, device.ID, method)
		if !resumed {
			t.Errorf("%s, login method %d: session %s not resumed, want it resumed", user, method, device.ID)
		}
		if _, err := again.Exchange(ping, "/>"); err != nil {
			t.Errorf("%s, login method %d: ping on the resumed session: %v", user, method, err)
		}
	}
}

// TestDevicesOfOneUserResume guards against a device that comes again, is placed at the server of another device of its
// user, and has a second session there. The devices come in the order in which they were used least recently, so that
// the session used last is never the one that is asked for.
func TestDevicesOfOneUserResume(t *testing.T) {
	t.Parallel()
	for _, method := range deviceMethods {
		node := newXMPPNode(t, deviceCount, "")
		user, devices := connectDevicesApart(t, node.addr, fmt.Sprint("user", method))
		bound := node.totalBound()
		for range 3 {
			checkDevicesResume(t, node.addr, user, devices, method)
		}
		if got := node.totalBound(); got != bound {
			t.Errorf("login method %d: got %d new sessions, want none", method, got-bound)
		}
		known := 0
		runOn(node.loop, func() { known = node.fronts.xmpp.Sessions().Len() })
		if known > bound {
			t.Errorf("login method %d: got %d sessions in the table, want at most the %d that were bound",
				method, known, bound)
		}
		checkOneAnswerEach(t, node.operatorNode)
	}
}

// totalBound returns the number of resources that all servers have bound.
func (n *xmppNode) totalBound() (count int) {
	for _, server := range n.servers {
		count += server.Count().Bound
	}
	return count
}

// TestDevicesResumeBesideDrainingServer checks that a draining server costs only the device whose session it has, and
// gets no stream.
func TestDevicesResumeBesideDrainingServer(t *testing.T) {
	t.Parallel()
	for _, method := range deviceMethods {
		node := newXMPPNode(t, deviceCount, "")
		user, devices := connectDevicesApart(t, node.addr, fmt.Sprint("user", method))
		const draining = deviceCount - 1
		node.writeAndReload(draining)
		before := node.servers[draining].Count().Streams
		for _, device := range devices {
			_, resumed := reconnect(t, node.addr, user, device.ID, method)
			if want := serverOf(device) != fmt.Sprint("h", draining); resumed != want {
				t.Errorf("login method %d, session %s: got resumed %v, want %v", method, device.ID, resumed, want)
			}
		}
		if got := node.servers[draining].Count().Streams; got != before {
			t.Errorf("login method %d: got %d streams to the draining server, want none", method, got-before)
		}
	}
}

// TestRepeatedLoginFails checks that a device still gets one session if the server of its session has forgotten it, or
// rejects the login that the node repeats there.
func TestRepeatedLoginFails(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*xmppserver.Server){
		"forgotten": (*xmppserver.Server).Restart,
		"rejected":  (*xmppserver.Server).RejectLogins,
	} {
		node := newXMPPNode(t, deviceCount+1, "")
		user, devices := connectDevicesApart(t, node.addr, "user")
		fail(node.serverWith(devices[0]))
		client, resumed := reconnect(t, node.addr, user, devices[0].ID, xmppserver.LoginPlain)
		if resumed || client.ID == "" || client.ID == devices[0].ID {
			t.Errorf("%s: got session %q, resumed %v, want a new session", name, client.ID, resumed)
		}
		checkOneAnswerEach(t, node.operatorNode)
	}
}

// serverWith returns the server that has a client's session.
func (n *xmppNode) serverWith(client *xmppserver.Client) *xmppserver.Server {
	n.tb.Helper()
	for i, server := range n.servers {
		if serverOf(client) == fmt.Sprint("h", i) {
			return server
		}
	}
	n.tb.Fatalf("session %s: got no server that has it, want one", client.ID)
	return nil
}

// TestPipelinedResumption checks that a device which asks for its session before it has the answers to its login
// resumes it nevertheless, if necessary on a further connection.
func TestPipelinedResumption(t *testing.T) {
	t.Parallel()
	node := newXMPPNode(t, deviceCount, "")
	user, devices := connectDevicesApart(t, node.addr, "user")
	for _, device := range devices {
		connect := func(addr, user, id string, _ xmppserver.LoginMethod, deadline time.Time) (
			client *xmppserver.Client, resumed bool, err error,
		) {
			return xmppserver.ConnectPipelined(addr, user, id, deadline)
		}
		if _, resumed := reconnectBy(t, connect, node.addr, user, device.ID, xmppserver.LoginPlain); !resumed {
			t.Errorf("session %s: not resumed, want it resumed", device.ID)
		}
	}
}

// TestDevicesOfOneUserResumeAfterUpgrade is TestDevicesOfOneUserResume for devices that come again after an upgrade, or
// while the node has two processes.
func TestDevicesOfOneUserResumeAfterUpgrade(t *testing.T) {
	t.Parallel()
	for _, method := range deviceMethods {
		node := newRestartedXMPPNode(t, deviceCount)
		addr := node.addrs[cleartext]
		user, devices := connectDevicesApart(t, addr, fmt.Sprint("user", method))
		node.successor = node.start()
		settle(node.current, node.successor)
		release := holdLoop(node.current) // so that the new process serves the devices
		checkDevicesResume(t, addr, user, devices, method)
		release()
		settle(node.successor, node.current)
		release = holdLoop(node.successor)
		checkDevicesResume(t, addr, user, devices, method)
		release()
		node.current.loop.Post(node.current.Shutdown)
		node.endRestart()
		checkDevicesResume(t, addr, user, devices, method)
	}
}
