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

// listOf returns an endpoint list of so many servers with ids as long as they get.
func listOf(t *testing.T, servers int) discovery.List {
	t.Helper()
	var list discovery.List
	for i := range servers {
		encoded := fmt.Appendf(nil, `{"servers":[{"id":"%064d","addr":"127.0.0.1:20000","zone":"zone-1","kind":"m2",`+
			`"cell":3,"state":"SERVING","weight":1.5}]}`, i)
		one, err := discovery.ParseList(encoded)
		if err != nil {
			t.Fatal(err)
		}
		list.Servers = append(list.Servers, one.Servers...)
	}
	return list
}

// TestGrantOfManyServers grants a list of 1,100 servers with ids as long as they get, and as much as may have been
// learned of them: both come whole. Where both are too much, the list comes.
func TestGrantOfManyServers(t *testing.T) {
	for _, size := range []struct{ servers, learned, want int }{
		{1100, maxLearnedBytes, maxLearnedBytes},
		{2500, maxLearnedBytes, 0},
	} {
		path := socketPath(t)
		list := listOf(t, size.servers)
		eventLoop, onLoop := startLoop(t)
		onLoop(func() {
			NewCoordinator(Options{Loop: eventLoop, Path: path, Changed: nothingChanged, Grant: func() Grant {
				return Grant{
					Datagrams: noDescriptor, Discovery: "d", List: list, DescriptorQuota: 100,
					Learned: make([]byte, size.learned),
				}
			}}, nil)
		})
		grant := requestGrant(t, path)
		if len(grant.List.Servers) != size.servers || len(grant.Learned) != size.want {
			t.Errorf("%d servers and %d bytes learned came, want %d and %d",
				len(grant.List.Servers), len(grant.Learned), size.servers, size.want)
		}
	}
}

// serveAnswer listens at a path and gives the first process that comes an answer, and then the end if that is wanted.
func serveAnswer(t *testing.T, answer string, end bool) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "s")
	listener := listenUnix(t, path)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer)) // the other side may have given up
		if end {
			_ = conn.Close() // as above
		}
	}()
	return path
}

// TestNoGrantFromStrangers has whatever may stand there at the path: each is a start without a grant, in time.
func TestNoGrantFromStrangers(t *testing.T) {
	plain := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(plain, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{
		"nothing":         filepath.Join(t.TempDir(), "none"),
		"a file":          plain,
		"a directory":     t.TempDir(),
		"a path too long": strings.Repeat("x", 200),
		"silence":         serveAnswer(t, "", false),
		"half an answer":  serveAnswer(t, `{"kind":"lent","version":1,`, false),
		"and its end":     serveAnswer(t, `{"kind":"lent","version":1,`, true),
		"other version":   serveAnswer(t, `{"kind":"lent","version":2,"room":9}`+"\n", false),
		"names only":      serveAnswer(t, `{"kind":"lent","version":1,"sockets":["a"],"room":9}`+"\n", false),
		"a bad list": serveAnswer(t,
			`{"kind":"lent","version":1,"list":{"servers":[{"id":"x","state":"?"}]}}`+"\n", false),
		"no line": serveAnswer(t, strings.Repeat("x", maxGrantBytes+1), false),
	} {
		if grant, err := RequestGrant(path, time.Now().Add(300*time.Millisecond)); err == nil {
			t.Errorf("%s: got the grant %+v, want an error", name, grant)
		}
	}
}

// TestPathWhereThereIsNone wants no path where processes of a node cannot find each other.
func TestPathWhereThereIsNone(t *testing.T) {
	for _, c := range []struct{ dir, listen string }{
		{"", "127.0.0.1:3000"},
		{strings.Repeat("x", 90), "127.0.0.1:3000"},
		{"t", "127.0.0.1:0"},
	} {
		if path := Path(c.dir, c.listen); path != "" {
			t.Errorf("the path for %q in %q is %q, want none", c.listen, c.dir, path)
		}
	}
}

// TestStrangersAtTheSocket has strangers connect to a coordinator: their links end, and nothing is left of them.
func TestStrangersAtTheSocket(t *testing.T) {
	eventLoop, onLoop := startLoop(t)
	path := socketPath(t)
	var coordinator *Coordinator
	onLoop(func() {
		options := Options{Loop: eventLoop, Path: path, Changed: nothingChanged, Grant: grantOnly(5)}
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
		_, _ = conn.Write([]byte(sent)) // the coordinator may end the link before it has read all
		if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		var err error
		for buffer := make([]byte, 4096); err == nil; {
			_, err = conn.Read(buffer)
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("%.30q: the link stays, want its end", sent)
		}
		_ = conn.Close() // it has ended
	}
	waitFor(t, onLoop, "no link left", func() bool { return len(coordinator.successors) == 0 })
}

// FuzzParseGrant has any line for an answer.
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
			t.Errorf("the grant is %+v of %d descriptors", grant, len(fds))
		}
	})
}
