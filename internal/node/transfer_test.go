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
)

// restartedNode is a node whose processes are all in this program, each on a loop of its own.
type restartedNode struct {
	tb           testing.TB
	env          map[string]string
	operatorPath string
	configPath   string
	current      *process
	successor    *process
}

// newRestartedNode sets a node up with both fronts, over one server of each.
func newRestartedNode(tb testing.TB, server string, sockets int) *restartedNode {
	tb.Helper()
	dir := tb.TempDir()
	node := &restartedNode{
		tb:           tb,
		configPath:   filepath.Join(dir, "config.json"),
		operatorPath: filepath.Join(dir, "operator.toml"),
	}
	discovery := (&transcript.Player{}).Listen(tb, "d")
	node.env = map[string]string{ // free addresses after all listeners that get a port by themselves
		"GW_CONFIG": node.configPath, "TMPDIR": dir,
		"GW_LISTEN": transcript.FreeAddr(tb), "XMPP": transcript.FreeAddr(tb),
	}
	changes := strings.NewReplacer("REPORTS", "off", `"messageAimS":[0.06]`, `"messageAimS":[600]`)
	writeFile(tb, node.configPath, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1",`+
		`"limits":{"cores":1,"sockets":%d},"known":{"version":41,"full":true,"servers":[%s]},"settings":%s}`,
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
		started.on(func() { ready = started.ready() })
		return ready
	})
	return started
}

// begin starts the next process and has the present one shut down once after has returned; nothing happens there
// meanwhile.
func (n *restartedNode) begin(after func()) {
	n.tb.Helper()
	n.successor = n.start()
	old := n.current
	transcript.WaitFor(n.tb, "the present process knows its successor", func() (ready bool) {
		old.on(func() { _, ready = old.restart.coordinator.Successor() })
		return ready
	})
	old.loop.Post(func() {
		after()
		old.Shutdown()
	})
}

// reload has the next process read its files again, which are valid.
func (n *restartedNode) reload() {
	next := n.successor
	next.on(func() {
		next.Reload()
		if next.telemetry.figures.ReloadsFailed > 0 {
			n.tb.Error("the files were rejected")
		}
	})
}

// end waits until the process that shuts down has ended by itself.
func (n *restartedNode) end() {
	n.tb.Helper()
	select {
	case <-n.current.done:
	case <-time.After(testTimeout):
		n.tb.Fatal("the process that shuts down does not end")
	}
	n.current = n.successor
}

// restart replaces the present process.
func (n *restartedNode) restart() {
	n.tb.Helper()
	n.begin(func() {})
	n.end()
}

// edit changes a file.
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

// TestConnectionsTransferred plays exchanges through changes of the process.
func TestConnectionsTransferred(t *testing.T) {
	eachExchange(t, "transfer", playTransfer)
}

func playTransfer(t *testing.T, text string) {
	t.Helper()
	player := &transcript.Player{Values: map[string]string{"ns": xmppNamespaces}}
	node := newRestartedNode(t, player.Listen(t, "h1"), 512)
	player.Address = node.env["GW_LISTEN"]
	player.Values["xmpp"] = node.env["XMPP"]
	thaw := make(chan struct{})
	player.Callbacks = map[string]func(){
		"wait":       func() { time.Sleep(1200 * time.Millisecond) },
		"long":       func() { time.Sleep(3 * time.Second) },
		"upgrade":    node.restart,
		"upgrade-on": func() { node.begin(func() {}) },
		"upgraded":   node.end,
		"freeze":     func() { node.begin(func() { <-thaw }) },
		"thaw": func() {
			close(thaw)
			node.end()
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

// minTransferTime is less than what edge.Core.DrainToSuccessor leaves for the transfer of connections before it
// migrates the rest: half of a shutdown of 3.2 s.
const minTransferTime = 1500 * time.Millisecond

// checkTransfer checks that a process sent all its connections to its successor. Where the machine is so slow that this
// takes longer than there is time, the rest must have been migrated, and that not before. It returns how many were
// sent.
func checkTransfer(t *testing.T, number int, old *process, connections int) (sent int) {
	t.Helper()
	migrated := 0
	for _, core := range old.cores {
		migrated += core.Migrated()
	}
	sent = old.restart.transfer.sent
	if sent+migrated != connections {
		t.Errorf("process %d sent %d and migrated %d connections of %d", number, sent, migrated, connections)
	}
	if took := old.restart.transfer.duration; migrated > 0 && took < minTransferTime {
		t.Errorf("process %d migrated %d connections, the last one was sent after %v", number, migrated, took)
	}
	return sent
}

// TestTransferInBatches has a node with few free descriptors transfer many connections, more at a time as descriptors
// are freed, and through a chain of processes.
func TestTransferInBatches(t *testing.T) {
	const connections = 400
	node := newRestartedNode(t, transcript.EchoServer(t), 2*connections+reservedDescriptors+256)
	streams := &transcript.Streams{Addr: node.env["GW_LISTEN"], Server: "s-1", CountMigrated: true}
	streams.Start(t, connections, transcript.OneByOne)
	left := connections
	for i := range 3 {
		old := node.current
		node.restart()
		left = checkTransfer(t, i, old, left)
		// The sender may end once its last message is written; the successor may not have read that yet.
		current := node.current
		inFlight, received := 0, 0
		transcript.WaitFor(t, "the successor has them all", func() bool {
			current.on(func() {
				inFlight = current.platform.core.InFlight()
				received = current.restart.received
			})
			return received >= left
		})
		if inFlight != left || received != left {
			t.Errorf("process %d has %d connections and received %d, wanted %d", i+1, inFlight, received, left)
		}
	}
	pauses := streams.Stop(t)
	if got := streams.Migrated(); got != connections-left {
		t.Errorf("%d clients were asked to migrate, wanted %d", got, connections-left)
	}
	t.Logf("%d lines, the slowest after %v", len(pauses), pauses[len(pauses)-1])
}

// TestSessionsTransferred has a process replace one that knows which servers have the sessions whose streams have
// ended.
func TestSessionsTransferred(t *testing.T) {
	node := newRestartedNode(t, transcript.EchoServer(t), 200)
	session := resumable.Session{
		Key:  resumable.Key{Domain: "farm.example", ID: "1"},
		User: "ana", Server: "h", ServerStarted: 5,
		ResumeTime: time.Minute, Expires: time.Now().Add(time.Minute),
	}
	node.current.on(func() { node.current.xmpp.AddDisconnectedSessions([]resumable.Session{session}) })
	node.restart()
	var all []resumable.Session
	node.current.on(func() { all = node.current.xmpp.DisconnectedSessions(9) })
	isKnown := len(all) == 1 && all[0].Server == "h" && all[0].ServerStarted == 5
	if !isKnown || time.Until(all[0].Expires) < 50*time.Second {
		t.Errorf("the new process knows of %+v", all)
	}
}

// TestTransferWithoutFreeDescriptors has the successor use nearly all descriptors: connections that can't be
// transferred are migrated, and none is cut off.
func TestTransferWithoutFreeDescriptors(t *testing.T) {
	node := newRestartedNode(t, transcript.EchoServer(t), 120)
	crowd := &transcript.Clients{Addr: node.env["GW_LISTEN"]}
	crowd.Start(20)
	for range 3 {
		node.restart()
	}
	crowd.Stop()
	crowd.Check(t, "a node without free descriptors")
}

// BenchmarkCarry transfers 400 idle connections, in batches of several sizes: bytes and time for one, and for how long
// the loop is blocked at the most. go test -run - -bench Carry -benchtime 5x ./internal/node
func BenchmarkCarry(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkTransfer(b, size) })
	}
}

func benchmarkTransfer(b *testing.B, batchSize int) {
	b.Helper()
	const connections = 400
	defer func(before int) { maxBatchConnections = before }(maxBatchConnections)
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
