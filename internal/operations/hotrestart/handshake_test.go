package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/platform/discovery"
)

// listOfServers returns an endpoint list with the given number of servers, whose IDs have the maximum length.
func listOfServers(t *testing.T, servers int) discovery.List {
	t.Helper()
	var list discovery.List
	for i := range servers {
		encoded := fmt.Appendf(nil, `{"servers":[{"id":"%064d","addr":"127.0.0.1:20000","zone":"zone-1","kind":"m2",`+
			`"cell":3,"state":"SERVING","weight":1.5}]}`, i)
		single, err := discovery.ParseList(encoded)
		if err != nil {
			t.Fatal(err)
		}
		list.Servers = append(list.Servers, single.Servers...)
	}
	return list
}

// TestGrantOfManyServersDropsLearnedStateWhenTooLarge grants 1,100 servers with IDs of the maximum length and learned
// state of the maximum size: the successor must receive both completely. If both together exceed the limit of a grant,
// it must receive the list alone.
func TestGrantOfManyServersDropsLearnedStateWhenTooLarge(t *testing.T) {
	for _, size := range []struct{ servers, learned, wantLearned int }{
		{1100, MaxLearnedBytes, MaxLearnedBytes},
		{2500, MaxLearnedBytes, 0},
	} {
		path := socketPath(t)
		list := listOfServers(t, size.servers)
		eventLoop, onLoop := startLoop(t)
		onLoop(func() {
			NewCoordinator(Options{Loop: eventLoop, Path: path, Changed: ignoreChange, Grant: func() Grant {
				return Grant{
					Datagrams: noDescriptor, Discovery: "d", List: list, DescriptorQuota: 100,
					Learned: make([]byte, size.learned),
				}
			}}, nil)
		})
		grant := requestGrant(t, path)
		if len(grant.List.Servers) != size.servers || len(grant.Learned) != size.wantLearned {
			t.Errorf("RequestGrant: got %d servers and %d bytes of learned state, want %d and %d",
				len(grant.List.Servers), len(grant.Learned), size.servers, size.wantLearned)
		}
	}
}

// serveAnswer listens at a path and sends an answer to the first process that connects. With closeAfter it then closes
// the connection.
func serveAnswer(t *testing.T, answer string, closeAfter bool) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "s")
	listener := listenUnix(t, path)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer)) // the other process may have ended the connection
		if closeAfter {
			_ = conn.Close() // the other process may have ended the connection
		}
	}()
	return path
}

// TestRequestGrantFailsWithoutValidGrant requests a grant from paths without a valid parent: no socket, another kind of
// file, or a process that sends no valid grant. Each request must fail by its deadline.
func TestRequestGrantFailsWithoutValidGrant(t *testing.T) {
	plain := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(plain, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{
		"no file":                   filepath.Join(t.TempDir(), "none"),
		"a regular file":            plain,
		"a directory":               t.TempDir(),
		"a path too long":           strings.Repeat("x", 200),
		"no answer":                 serveAnswer(t, "", false),
		"incomplete answer":         serveAnswer(t, `{"kind":"lent","version":1,`, false),
		"incomplete answer and end": serveAnswer(t, `{"kind":"lent","version":1,`, true),
		"another version":           serveAnswer(t, `{"kind":"lent","version":2,"room":9}`+"\n", false),
		"socket without descriptor": serveAnswer(t, `{"kind":"lent","version":1,"sockets":["a"],"room":9}`+"\n", false),
		"an invalid list": serveAnswer(t,
			`{"kind":"lent","version":1,"list":{"servers":[{"id":"x","state":"?"}]}}`+"\n", false),
		"no end of line": serveAnswer(t, strings.Repeat("x", maxGrantBytes+1), false),
	} {
		if grant, err := RequestGrant(path, time.Now().Add(300*time.Millisecond)); err == nil {
			t.Errorf("RequestGrant with %s: got grant %+v, want an error", name, grant)
		}
	}
}

// TestPathIsEmptyWhenSocketIsImpossible calls Path without a directory, with a directory whose name is too long, and
// with a port that the system chooses. In each case the processes of a node cannot find each other.
func TestPathIsEmptyWhenSocketIsImpossible(t *testing.T) {
	for _, c := range []struct{ dir, listen string }{
		{"", "127.0.0.1:3000"},
		{strings.Repeat("x", 90), "127.0.0.1:3000"},
		{"t", "127.0.0.1:0"},
	} {
		if path := Path(c.dir, c.listen); path != "" {
			t.Errorf("Path for %q in %q: got %q, want an empty path", c.listen, c.dir, path)
		}
	}
}

// TestCoordinatorEndsLinksThatViolateProtocol connects to a coordinator and sends messages that the protocol does not
// allow, or nothing at all. Each link must end, and the coordinator must keep none of them.
func TestCoordinatorEndsLinksThatViolateProtocol(t *testing.T) {
	eventLoop, onLoop := startLoop(t)
	path := socketPath(t)
	var coordinator *Coordinator
	onLoop(func() {
		options := Options{Loop: eventLoop, Path: path, Changed: ignoreChange, Grant: grantDescriptors(5)}
		coordinator = NewCoordinator(options, nil)
	})
	for _, sent := range []string{
		"GET / HTTP/1.1\r\n\r\n",
		`{"kind":"hello","version":9}` + "\n",
		`{"kind":"ready"}` + "\n",
		`{"kind":"hello","version":1}` + "\n" + `{"kind":"hello","version":1}` + "\n",
		strings.Repeat("x", maxMessageBytes+1),
		"",
	} {
		conn := dialUnix(t, path)
		_, _ = conn.Write([]byte(sent)) // the coordinator may end the link before it has read everything
		if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		var err error
		for buffer := make([]byte, 4096); err == nil; {
			_, err = conn.Read(buffer)
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("link after %.30q: got open, want ended", sent)
		}
		_ = conn.Close() // the coordinator has ended the link
	}
	waitFor(t, onLoop, "no link left", func() bool { return len(coordinator.successors) == 0 })
}

// FuzzParseGrant parses arbitrary lines as an answer.
func FuzzParseGrant(f *testing.F) {
	f.Add([]byte(`{"kind":"lent","version":1,"sockets":["a","a"],"room":9,"list":`+endpointList+`}`), 2)
	f.Add([]byte(`{"kind":"lent","version":1,"datagrams":true,"room":-9}`), 1)
	f.Fuzz(func(t *testing.T, line []byte, descriptors int) {
		fds := make([]int, max(0, min(descriptors, 20)))
		grant, err := parseGrant(line, fds)
		if err != nil {
			return
		}
		if grant.DescriptorQuota < 0 || len(grant.Sockets)+min(1, grant.Datagrams+1) != len(fds) {
			t.Errorf("parseGrant: got %+v, want a quota of at least 0 and all %d descriptors assigned", grant, len(fds))
		}
	})
}
