package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/discovery"
	"spurwinch/internal/simwire"
)

const (
	settings    = transcript.Settings
	testTimeout = 20 * time.Second // exceeded only if the test hangs

	xmppNamespaces = "xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'"
	streamHeader   = "<stream:stream to='farm.example' version='1.0' " + xmppNamespaces + ">"
)

func newLoop(tb testing.TB) *loop.Loop {
	tb.Helper()
	eventLoop, err := loop.New()
	if err != nil {
		tb.Fatal(err)
	}
	return eventLoop
}

// start runs a loop until the test ends.
func start(tb testing.TB, eventLoop *loop.Loop) {
	tb.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := eventLoop.Run(); err != nil {
			tb.Error(err)
		}
	}()
	tb.Cleanup(func() {
		eventLoop.Post(eventLoop.Stop)
		<-done
	})
}

// runOn runs a function on a running loop, and waits until it has returned.
func runOn(eventLoop *loop.Loop, fn func()) {
	done := make(chan struct{})
	eventLoop.Post(func() {
		fn()
		close(done)
	})
	<-done
}

// dial connects to an address, and closes the connection when the test ends.
func dial(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	closeAtEnd(tb, conn)
	return conn
}

// closeAtEnd closes closer when the test ends. The test may have closed it earlier.
func closeAtEnd(tb testing.TB, closer io.Closer) {
	tb.Helper()
	tb.Cleanup(func() { _ = closer.Close() }) // the error is ignored because closer may already be closed
}

// send writes to a connection that the other side may have closed. It ignores errors because the test checks what it
// reads from the connection.
func send(conn io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(conn, format, args...) // see the doc comment
}

// limitTime sets a deadline of testTimeout for all reads and writes of a connection.
func limitTime(tb testing.TB, conn net.Conn) {
	tb.Helper()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		tb.Error(err)
	}
}

// decodeSettings decodes the default settings after replacing strings in them. changes alternates between a string and
// its replacement.
func decodeSettings(tb testing.TB, changes ...string) simwire.Settings {
	tb.Helper()
	decoded, err := simwire.DecodeSettings([]byte(strings.NewReplacer(changes...).Replace(settings)))
	if err != nil {
		tb.Fatal(err)
	}
	return decoded
}

// parseList parses a complete server list.
func parseList(tb testing.TB, version int, entries ...string) *discovery.List {
	tb.Helper()
	text := fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
	list, err := discovery.ParseList([]byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return list
}

// serverEntry returns a server's entry in a list.
func serverEntry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":0,"state":%q,"weight":1,"started_ms":0}`,
		id, addr, state)
}

// platformConfig returns the configuration of a node without discovery that knows one server, or no server if the
// address is empty.
func platformConfig(tb testing.TB, server string) config.Node {
	tb.Helper()
	node := config.Node{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:9", Seed: 1}
	node.Settings = decodeSettings(tb, "REPORTS", "off")
	if server != "" {
		node.KnownServers = parseList(tb, 1, fmt.Sprintf(`{"id":"s","addr":%q,"state":"SERVING"}`, server))
	}
	return node
}

// startPlatform runs the platform's front until the test ends.
func startPlatform(tb testing.TB, node config.Node) (addr string) {
	tb.Helper()
	eventLoop := newLoop(tb)
	_, listener, err := newProgram(eventLoop).newPlatform(node, nil)
	if err != nil {
		tb.Fatal(err)
	}
	start(tb, eventLoop)
	return listener.String()
}

// operatorNode is a node that is set up from an operator's file.
type operatorNode struct {
	loop   *loop.Loop
	cores  []*edge.Core
	fronts *operatorFronts
}

// newOperatorNode sets up the fronts and clusters of an operator's file. It doesn't run the loop.
func newOperatorNode(tb testing.TB, path string, seed uint64) *operatorNode {
	tb.Helper()
	file, err := config.ReadOperator(path)
	if err != nil {
		tb.Fatal(err)
	}
	program := newProgram(newLoop(tb))
	fronts, err := newOperatorFronts(program, path, file, seed)
	if err != nil {
		tb.Fatal(err)
	}
	return &operatorNode{loop: program.loop, cores: program.cores, fronts: fronts}
}

// addr returns the address of the first listener.
func (n *operatorNode) addr() string { return n.fronts.addrs[0].String() }

// reload rereads the file and applies it if it is valid.
func (n *operatorNode) reload() (err error) {
	runOn(n.loop, func() {
		var apply func()
		apply, err = n.fronts.readFile()
		if err == nil {
			apply()
		}
	})
	return err
}

// writeFile writes a file with the permissions of a configuration file.
func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Error(err)
	}
}

// shortTempDir returns a temporary directory whose path doesn't contain the test's name. A longer path may not fit the
// address of the Unix socket between the processes of a node.
func shortTempDir(tb testing.TB) string {
	tb.Helper()
	dir, err := os.MkdirTemp("", "hr") //nolint:usetesting // TempDir has the test's name in the path
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			tb.Error(err)
		}
	})
	return dir
}

// writeTemp writes a file with the given name into a new temporary directory.
func writeTemp(tb testing.TB, name, text string) (path string) {
	tb.Helper()
	path = filepath.Join(tb.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return path
}
