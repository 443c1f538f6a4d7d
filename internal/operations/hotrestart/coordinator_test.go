package hotrestart

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/platform/discovery"
)

// endpointList is the encoded form of version 7 of a list with one server.
const endpointList = `{"version":7,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"DRAINING"}]}`

// listenTCP returns the descriptor of a listening socket and its port.
func listenTCP(t *testing.T) (fd, port int) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, listener) })
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, file) })
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		t.Fatalf("listener address: got %v, want a TCP address", listener.Addr())
	}
	return int(file.Fd()), address.Port
}

// checkGrant checks the fields of a grant whose socket listens on the given port.
func checkGrant(t *testing.T, grant *Grant, port int) {
	t.Helper()
	if grant.DescriptorQuota != 100 || grant.Discovery != "d" || grant.Datagrams != noDescriptor ||
		grant.List.Version != 7 || len(grant.List.Servers) != 1 {
		t.Errorf("grant: got %+v, want quota 100, discovery \"d\", no gossip socket and list version 7 with 1 server",
			grant)
	}
	address, err := unix.Getsockname(grant.Sockets["127.0.0.1:3000"])
	if inet, ok := address.(*unix.SockaddrInet4); err != nil || !ok || inet.Port != port {
		t.Errorf("granted socket: got address %+v, error %v, want port %d", address, err, port)
	}
}

// TestParentAndSuccessorFromHelloToEnd runs a parent and a successor from the hello until each has ended.
func TestParentAndSuccessorFromHelloToEnd(t *testing.T) {
	path := socketPath(t)
	list, err := discovery.ParseList([]byte(endpointList))
	if err != nil {
		t.Fatal(err)
	}
	socket, port := listenTCP(t)
	parentLoop, onParent := startLoop(t)
	var parent *Coordinator
	onParent(func() {
		parent = NewCoordinator(Options{Loop: parentLoop, Path: path, Changed: ignoreChange, Grant: func() Grant {
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
		options := Options{Loop: successorLoop, Path: path, Changed: ignoreChange, Grant: grantDescriptors(1)}
		successor = NewCoordinator(options, grant)
	})
	onParent(func() {
		if linked, ready := parent.Successor(); !linked || ready || parent.GrantedQuota() != 100 {
			t.Errorf("Successor and GrantedQuota: got linked %v, ready %v, quota %d, want true, false, 100",
				linked, ready, parent.GrantedQuota())
		}
		parent.RaiseQuota(400, 320) // 80 is lower than the current quota, so this has no effect
		parent.RaiseQuota(400, 250)
	})
	onSuccessor(func() { successor.Ready() })
	waitFor(t, onParent, "a ready successor", func() bool { _, ready := parent.Successor(); return ready })
	waitFor(t, onSuccessor, "a raised quota", func() bool { return successor.DescriptorQuota() == 150 })
	connectThirdProcess(t, path, onSuccessor, successor)

	// After the successor has ended, the next process finds the parent again.
	onSuccessor(func() { successor.parent.conn.Abort(); successor.Close() })
	waitFor(t, onParent, "the end of the successor", func() bool {
		linked, _ := parent.Successor()
		return !linked && parent.GrantedQuota() == 0
	})
	if again := requestGrant(t, path); again.DescriptorQuota != 100 {
		t.Fatalf("quota of the second grant: got %d, want 100", again.DescriptorQuota)
	}
	// A draining parent closes its coordinator, so that the next process does not find it.
	onParent(func() { parent.Close() })
	if _, err := RequestGrant(path, time.Now().Add(testTimeout)); err == nil {
		t.Error("RequestGrant after Close: got a grant, want an error")
	}
}

// connectThirdProcess lets a third process get a grant from the successor and end at once.
func connectThirdProcess(t *testing.T, path string, onSuccessor func(func()), successor *Coordinator) {
	t.Helper()
	third := requestGrant(t, path)
	if third.DescriptorQuota != 1 {
		t.Fatalf("quota of the third process: got %d, want 1", third.DescriptorQuota)
	}
	waitFor(t, onSuccessor, "a third process", func() bool { linked, _ := successor.Successor(); return linked })
	if err := unix.Close(third.fd); err != nil {
		t.Fatal(err)
	}
	waitFor(t, onSuccessor, "the end of the third process", func() bool {
		linked, _ := successor.Successor()
		return !linked && successor.GrantedQuota() == 0
	})
}
