package hotrestart

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/platform/discovery"
)

const endpointList = `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"DRAINING"}]}`

// listenTCP returns the descriptor of a listening socket and its port.
func listenTCP(t *testing.T) (fd, port int) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closed(t, listener) })
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closed(t, file) })
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		t.Fatalf("the listener's address is %v", listener.Addr())
	}
	return int(file.Fd()), address.Port
}

// checkGrant wants the grant of a parent that listens at a port.
func checkGrant(t *testing.T, grant *Grant, port int) {
	t.Helper()
	if grant.DescriptorQuota != 100 || grant.Discovery != "d" || grant.Datagrams != noDescriptor ||
		grant.List.Version != 7 || len(grant.List.Servers) != 1 {
		t.Errorf("the grant is %+v", grant)
	}
	address, err := unix.Getsockname(grant.Sockets["127.0.0.1:3000"])
	if inet, ok := address.(*unix.SockaddrInet4); err != nil || !ok || inet.Port != port {
		t.Errorf("the granted socket listens at %+v, %v, want port %d", address, err, port)
	}
}

// TestParentAndSuccessor follows two processes of a node from the hello to the end of each.
func TestParentAndSuccessor(t *testing.T) {
	path := socketPath(t)
	list, err := discovery.ParseList([]byte(endpointList))
	if err != nil {
		t.Fatal(err)
	}
	socket, port := listenTCP(t)
	parentLoop, onParent := startLoop(t)
	var parent *Coordinator
	onParent(func() {
		parent = NewCoordinator(Options{Loop: parentLoop, Path: path, Changed: nothingChanged, Grant: func() Grant {
			return Grant{
				Sockets: map[string]int{"127.0.0.1:3000": socket}, Datagrams: noDescriptor,
				Discovery: "d", List: *list, DescriptorQuota: 100,
			}
		}}, nil)
	})
	grant := requestGrant(t, path)
	checkGrant(t, grant, port)
	successorLoop, onSuccessor := startLoop(t)
	var successor *Coordinator
	onSuccessor(func() {
		options := Options{Loop: successorLoop, Path: path, Changed: nothingChanged, Grant: grantOnly(1)}
		successor = NewCoordinator(options, grant)
	})
	onParent(func() {
		if linked, ready := parent.Successor(); !linked || ready || parent.GrantedQuota() != 100 {
			t.Errorf("linked %v, ready %v, quota %d, want true, false, 100", linked, ready, parent.GrantedQuota())
		}
		parent.RaiseQuota(400, 320) // less than it has: nothing
		parent.RaiseQuota(400, 250)
	})
	onSuccessor(func() { successor.Ready() })
	waitFor(t, onParent, "ready", func() bool { _, ready := parent.Successor(); return ready })
	waitFor(t, onSuccessor, "a raised quota", func() bool { return successor.DescriptorQuota() == 150 })
	thirdComesAndGoes(t, path, onSuccessor, successor)

	// The successor ends: the parent is found again.
	onSuccessor(func() { successor.parent.conn.Abort(); successor.Close() })
	waitFor(t, onParent, "the end of the successor", func() bool {
		linked, _ := parent.Successor()
		return !linked && parent.GrantedQuota() == 0
	})
	if again := requestGrant(t, path); again.DescriptorQuota != 100 {
		t.Fatalf("the quota is %d, want 100", again.DescriptorQuota)
	}
	// One that is draining is found no more.
	onParent(func() { parent.Close() })
	if _, err := RequestGrant(path, time.Now().Add(testTimeout)); err == nil {
		t.Error("a process that has closed its coordinator was found")
	}
}

// thirdComesAndGoes has a third process find the second one, and end at once.
func thirdComesAndGoes(t *testing.T, path string, onSuccessor func(func()), successor *Coordinator) {
	t.Helper()
	third := requestGrant(t, path)
	if third.DescriptorQuota != 1 {
		t.Fatalf("the quota is %d, want 1", third.DescriptorQuota)
	}
	waitFor(t, onSuccessor, "a third process", func() bool { linked, _ := successor.Successor(); return linked })
	if err := unix.Close(third.fd); err != nil {
		t.Fatal(err)
	}
	waitFor(t, onSuccessor, "its end", func() bool {
		linked, _ := successor.Successor()
		return !linked && successor.GrantedQuota() == 0
	})
}
