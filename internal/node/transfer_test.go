package node

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/platform/downstream"
	"spurwinch/internal/platform/upstream"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/xmpp"
)

// restartedNode is a node whose simulated processes all run in the test program, each on its own loop.
type restartedNode struct {
	tb           testing.TB
	env          map[string]string
	operatorPath string
	configPath   string
	current      *process
	successor    *process
}

// newRestartedNode sets up a node with both front ends and one server for each.
func newRestartedNode(tb testing.TB, server string, sockets int) *restartedNode {
	tb.Helper()
	dir := shortTempDir(tb)
	node := &restartedNode{
		tb:           tb,
		configPath:   filepath.Join(dir, "config.json"),
		operatorPath: filepath.Join(dir, "operator.toml"),
	}
	discovery := (&transcript.Player{}).Listen(tb, "d")
	node.env = map[string]string{ // free addresses are chosen after all listeners that let the system choose their port
		"GW_CONFIG": node.configPath, "TMPDIR": dir,
		"GW_LISTEN": transcript.FreeAddr(tb), "XMPP": transcript.FreeAddr(tb),
	}
	changes := strings.NewReplacer("REPORTS", "off", `"messageAimS":[0.06]`, `"messageAimS":[600]`)
	writeFile(tb, node.configPath, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1",`+
		`"limits":{"cores":1,"memory_mb":0,"sockets":%d},"known":{"version":41,"full":true,"servers":[%s]},`+
		`"settings":%s}`,
		node.env["GW_LISTEN"], discovery, sockets, serverEntry("s-1", server, "SERVING"), changes.Replace(settings)))
	writeFile(tb, node.operatorPath, "[limits]\nheader_time = \"20s\"\n"+
		"[[listener]]\naddr = \""+node.env["XMPP"]+"\"\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\n"+
		"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n"+
		"[[cluster]]\nname = \"k\"\nleave = \"1s\"\n[[cluster.host]]\naddr = \""+server+"\"\n")
	node.current = node.start()
	return node
}

// start starts a process and waits until it is ready.
func (n *restartedNode) start() *process {
	n.tb.Helper()
	eventLoop := newLoop(n.tb)
	program, err := New(eventLoop, func(name string) string { return n.env[name] }, n.operatorPath, nil)
	if err != nil {
		n.tb.Fatal(err)
	}
	started := &process{Program: program, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		if err := eventLoop.Run(); err != nil {
			n.tb.Error(err)
		}
		eventLoop.Close()
	}()
	n.tb.Cleanup(func() {
		started.loop.Post(started.loop.Stop)
		<-started.done
	})
	transcript.WaitFor(n.tb, "the process is ready", func() (ready bool) {
		started.runOn(func() { ready = started.ready() })
		return ready
	})
	return started
}

// beginRestart starts the next process and makes the current one shut down after beforeShutdown has returned.
// beforeShutdown runs on the current process's loop and blocks it.
func (n *restartedNode) beginRestart(beforeShutdown func()) {
	n.tb.Helper()
	n.successor = n.start()
	old := n.current
	transcript.WaitFor(n.tb, "the current process has a successor that is ready", func() (ready bool) {
		old.runOn(func() { _, ready = old.restart.coordinator.Successor() })
		return ready
	})
	old.loop.Post(func() {
		beforeShutdown()
		old.Shutdown()
	})
}

// reload makes the next process reread its files. The files are valid, so the process must apply them.
func (n *restartedNode) reload() {
	next := n.successor
	next.runOn(func() {
		next.Reload()
		if next.telemetry.counters.ReloadsFailed > 0 {
			n.tb.Error("Reload: got rejected files, want them applied")
		}
	})
}

// endRestart waits until the process that shuts down has ended.
func (n *restartedNode) endRestart() {
	n.tb.Helper()
	select {
	case <-n.current.done:
	case <-time.After(testTimeout):
		n.tb.Fatal("Shutdown: the process still runs after testTimeout, want it to end")
	}
	n.current = n.successor
}

// restart replaces the current process.
func (n *restartedNode) restart() {
	n.tb.Helper()
	n.beginRestart(func() {})
	n.endRestart()
}

// edit replaces the text of a file with the result of change.
func (n *restartedNode) edit(path string, change func(text string) string) {
	n.tb.Helper()
	raw, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, []byte(change(string(raw))), 0o600)
	}
	if err != nil {
		n.tb.Fatal(err)
	}
}

// TestConnectionsTransferred plays exchanges that continue while the node's process is replaced.
func TestConnectionsTransferred(t *testing.T) {
	eachExchange(t, "transfer", playTransfer)
}

func playTransfer(t *testing.T, text string) {
	t.Helper()
	const depth = xmpp.MaxDepth - 2 // within the stream and the message
	player := &transcript.Player{Values: map[string]string{
		"ns": xmppNamespaces, "deep": strings.Repeat("<a>", depth), "deep-end": strings.Repeat("</a>", depth),
	}}
	node := newRestartedNode(t, player.Listen(t, "h1"), 512)
	player.Address = node.env["GW_LISTEN"]
	player.Values["xmpp"] = node.env["XMPP"]
	unblock := make(chan struct{})
	player.Callbacks = map[string]func(){
		"wait":       func() { time.Sleep(1200 * time.Millisecond) },
		"long":       func() { time.Sleep(3 * time.Second) },
		"upgrade":    node.restart,
		"upgrade-on": func() { node.beginRestart(func() {}) },
		"upgraded":   node.endRestart,
		"freeze":     func() { node.beginRestart(func() { <-unblock }) },
		"thaw": func() {
			close(unblock)
			node.endRestart()
		},
		"sigterm": func() { node.current.loop.Post(node.current.Shutdown) },
		"trade": func() {
			node.edit(node.configPath, func(text string) string {
				return strings.Replace(text, `"name":"chat"`, `"name":"trade"`, 1)
			})
		},
		"drain": func() {
			node.edit(node.operatorPath, func(text string) string { return text + "state = \"draining\"\n" })
			node.reload()
		},
		"hup": func() {
			node.current.loop.Post(node.current.Reload)
			node.reload()
		},
	}
	player.Play(t, text)
}

// minTransferTime is the least time for the transfer of connections before the rest is migrated. It is slightly less
// than the time that edge.Core.DrainToSuccessor allows, which is half of a shutdown of 3.2 s.
const minTransferTime = 1500 * time.Millisecond

// checkTransfer checks that a process sent all its connections to its successor. On a machine that is too slow for
// this, the process must have migrated the rest, but not before minTransferTime. It returns the number of connections
// sent.
func checkTransfer(t *testing.T, number int, old *process, connections int) (sent int) {
	t.Helper()
	migrated := 0
	for _, core := range old.cores {
		migrated += core.Migrated()
	}
	sent = old.restart.transfer.sent
	if sent+migrated != connections {
		t.Errorf("shutdown of process %d: got %d connections sent and %d migrated, want %d together",
			number, sent, migrated, connections)
	}
	if took := old.restart.transfer.duration; migrated > 0 && took < minTransferTime {
		t.Errorf("shutdown of process %d: got %d migrated, the last one sent after %v, want at least minTransferTime",
			number, migrated, took)
	}
	return sent
}

// TestTransferInBatches transfers many connections through a chain of processes of a node with few free descriptors.
// The batches grow as descriptors become free.
func TestTransferInBatches(t *testing.T) {
	const connections = 400
	node := newRestartedNode(t, transcript.EchoServer(t), 2*connections+reservedDescriptors+256)
	streams := &transcript.Streams{Addr: node.env["GW_LISTEN"], Server: "s-1", CountMigrated: true}
	streams.Start(t, connections, transcript.OneByOne)
	remaining := connections
	for i := range 3 {
		old := node.current
		node.restart()
		remaining = checkTransfer(t, i, old, remaining)
		// The sender may end after it has written its last message, before the successor has read it.
		current := node.current
		inFlight, received := 0, 0
		transcript.WaitFor(t, "the successor has received all connections", func() bool {
			current.runOn(func() {
				inFlight = current.platform.core.InFlight()
				received = current.restart.received
			})
			return received >= remaining
		})
		if inFlight != remaining || received != remaining {
			t.Errorf("process %d: got %d connections in flight and %d received, want %d of each",
				i+1, inFlight, received, remaining)
		}
	}
	pauses := streams.Stop(t)
	if got := streams.Migrated(); got != connections-remaining {
		t.Errorf("migrated clients: got %d, want %d", got, connections-remaining)
	}
	t.Logf("%d lines, the slowest after %v", len(pauses), pauses[len(pauses)-1])
}

// TestSessionsTransferred checks that a process passes the sessions without a stream, with their servers, to its
// successor.
func TestSessionsTransferred(t *testing.T) {
	node := newRestartedNode(t, transcript.EchoServer(t), 200)
	session := resumable.Session{
		Key:  resumable.Key{Domain: "farm.example", ID: "1"},
		User: "ana", Server: "h", ServerStarted: 5,
		ResumeTime: time.Minute, Expires: time.Now().Add(time.Minute),
	}
	node.current.runOn(func() {
		node.current.xmpp.MergeSessions(resumable.Predecessor, resumable.Update{Sessions: []resumable.Session{session}})
	})
	node.restart()
	var sessions []resumable.Session
	node.current.runOn(func() { sessions = node.current.xmpp.Sessions().Resumable(time.Now(), 9) })
	isKnown := len(sessions) == 1 && sessions[0].Server == "h" && sessions[0].ServerStarted == 5
	if !isKnown || time.Until(sessions[0].Expires) < 50*time.Second {
		t.Errorf("Resumable of the new process: got %+v, want the session of the old process", sessions)
	}
}

// TestTransferWithoutFreeDescriptors replaces the process of a node with so few descriptors that the successor can't
// receive all connections. The others must be migrated, and none may be cut off.
func TestTransferWithoutFreeDescriptors(t *testing.T) {
	node := newRestartedNode(t, transcript.EchoServer(t), 120)
	clients := &transcript.Clients{Addr: node.env["GW_LISTEN"]}
	clients.Start(20)
	for range 3 {
		node.restart()
	}
	clients.Stop()
	clients.Check(t, "a node without free descriptors")
}

// BenchmarkCarry transfers 400 idle connections in batches of several sizes. It reports the bytes and the time for each
// connection, and the longest time that the loop is blocked. Run it with:
// go test -run - -bench Carry -benchtime 5x ./internal/node
func BenchmarkCarry(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkTransfer(b, size) })
	}
}

func benchmarkTransfer(b *testing.B, batchSize int) {
	b.Helper()
	const connections = 400
	defer func(original int) { maxBatchConnections = original }(maxBatchConnections)
	maxBatchConnections = batchSize
	node := newRestartedNode(b, transcript.EchoServer(b), 8*connections)
	streams := &transcript.Streams{Addr: node.env["GW_LISTEN"], Server: "s-1"}
	streams.Start(b, connections, transcript.Idle)
	sentBytes := 0
	var duration, longestBatch time.Duration
	b.ResetTimer()
	for range b.N {
		old := node.current
		node.restart()
		sentBytes += old.restart.transfer.sentBytes
		duration += old.restart.transfer.duration
		longestBatch = max(longestBatch, old.restart.transfer.longestBatch)
	}
	b.StopTimer()
	streams.Stop(b)
	transferred := float64(b.N * connections)
	b.ReportMetric(float64(sentBytes)/transferred, "B/conn")
	b.ReportMetric(float64(duration.Nanoseconds())/1000/transferred, "µs/conn")
	b.ReportMetric(float64(longestBatch.Microseconds())/1000, "ms-away")
}

// BenchmarkConnectionState encodes and decodes the state of one connection.
func BenchmarkConnectionState(b *testing.B) {
	connection := connectionState{Front: frontPlatform, Open: &edge.ConnectionState{
		ID: "9b1f03aa5c7e2d41", Tenant: "ferma-ro", Key: 1 << 60, Group: 1 << 61, UsualLoad: 0.012, CurrentLoad: 0.013,
		Class: choice.Class{
			Name: "field-sync", SetupObjective: 8e8, Deadline: 48e8, MessageObjective: 15e7, Priority: 1,
		},
		Server: choice.Server{ID: "s-5be2a07c", Zone: "cluj-1", Kind: "std-2c", Size: 1}, Addr: "10.1.0.18:3000",
	}}
	connection.State = encode(b, downstream.ConnectionState{Server: &upstream.ConnectionState{}})
	for name, codec := range map[string]struct {
		encode func(any) ([]byte, error)
		decode func([]byte, any) error
	}{"cbor": {cbor.Marshal, cbor.Unmarshal}, "json": {json.Marshal, json.Unmarshal}} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for range b.N {
				encoded, err := codec.encode(connection)
				if err == nil {
					err = codec.decode(encoded, &connectionState{})
				}
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
