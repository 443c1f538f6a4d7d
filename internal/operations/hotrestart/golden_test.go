package hotrestart

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/discovery"
)

// The files under testdata/golden are the messages that processes of released versions send to each other. Processes of
// other releases read them, so they may change only together with the version of the protocol. To write them again:
// go test ./internal/operations/hotrestart -run TestGolden -update-golden

var updateGolden = flag.Bool("update-golden", false, "write the files under testdata/golden again")

// readGolden returns the content of a golden file. With -update-golden it writes got to the file first.
func readGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// goldenList returns a list in which each field is set.
func goldenList() discovery.List {
	return discovery.NewList(71, []edge.ServerEntry{
		{Addr: "10.1.0.18:3000", Server: choice.Server{
			ID: "s-5be2a07c", Zone: "cluj-1", Kind: "std-2c", Cell: 3, State: choice.Draining, Size: 1.5,
			Started: 1800 * time.Millisecond,
		}},
	})
}

// goldenMessages returns a message of each kind with its fields, and one message with every field but those of queries.
func goldenMessages() map[string]message {
	list := goldenList()
	return map[string]message{
		"hello": {Kind: "hello", Version: 1, TransferVersion: 1},
		"lent": {
			Kind: "lent", Version: 1, Sockets: []string{"127.0.0.1:3000"}, HasDatagrams: true,
			Discovery: "127.0.0.1:4000", List: &list, Descriptors: 100, TransferVersion: 1,
			Learned: []byte("learned\x00\xff"),
		},
		"ready":     {Kind: "ready"},
		"room":      {Kind: "room", Descriptors: 150},
		"free":      {Kind: "free", Descriptors: 9},
		"batch":     {Kind: "batch", Size: 20},
		"learned":   {Kind: "learned", Size: 5},
		"held":      {Kind: "held", Descriptors: 3},
		"refused":   {Kind: "refused"},
		"given":     {Kind: "given"},
		"back":      {Kind: "back"},
		"id_query":  {Kind: "id_query", ID: "9b1f03aa5c7e2d41", Query: 7},
		"id_answer": {Kind: "id_answer", Query: 7, InUse: true},
		"every-field": {
			Kind: "every", Version: 2, Sockets: []string{"127.0.0.1:3000", "[::1]:5222"}, HasDatagrams: true,
			Discovery: "d:1", List: &list, Descriptors: 3, TransferVersion: 4,
			Learned: []byte{5}, Size: 6,
		},
	}
}

// TestGoldenMessages encodes and decodes each message alone.
func TestGoldenMessages(t *testing.T) {
	for name, sent := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			want := readGolden(t, name+".json", sent.encode())
			if got := sent.encode(); !bytes.Equal(got, want) {
				t.Errorf("encode: got %s, want %s", got, want)
			}
			var decoded message
			if err := json.Unmarshal(want, &decoded); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, sent) {
				t.Errorf("decode: got %+v, want %+v", decoded, sent)
			}
		})
	}
	messages := goldenMessages()
	fields := reflect.TypeFor[message]()
	for i := range fields.NumField() {
		isSet := false
		for _, name := range []string{"every-field", "id_query", "id_answer"} {
			isSet = isSet || !reflect.ValueOf(messages[name]).Field(i).IsZero()
		}
		if !isSet {
			t.Errorf("messages with every field: got no value in %s, want one", fields.Field(i).Name)
		}
	}
}

// TestGoldenBatch encodes and decodes the connections of a batch.
func TestGoldenBatch(t *testing.T) {
	items := []encodedItem{{Sockets: 2, Body: []byte("front state")}, {Sockets: 1, Body: []byte{0x00, 0xff}}}
	encoded := encodeItems(t, items...)
	want := readGolden(t, "connections.cbor", encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("encodeItems: got %x, want %x", encoded, want)
	}
	fds := threeSockets(t)
	decoded, err := decodeBatch(want, fds)
	if err != nil {
		t.Fatal(err)
	}
	if sent := goldenItems(fds); !reflect.DeepEqual(decoded, sent) {
		t.Errorf("decodeBatch: got %+v, want %+v", decoded, sent)
	}
}

// threeSockets returns the descriptors of three stream sockets, which are closed when the test ends.
func threeSockets(t *testing.T) (fds []int) {
	t.Helper()
	for range 3 {
		fd, _ := socketPair(t)
		fds = append(fds, fd)
	}
	t.Cleanup(func() { loop.CloseDescriptors(fds) })
	return fds
}

// goldenItems returns the connections of the golden batch, which have three descriptors.
func goldenItems(fds []int) []TransferItem {
	return []TransferItem{
		{FDs: fds[:2:2], Body: []byte("front state")},
		{FDs: fds[2:], Body: []byte{0x00, 0xff}},
	}
}

// goldenPeer is the process at the other end of a link. It sends and expects golden files, as a process of another
// release would.
type goldenPeer struct {
	conn *net.UnixConn
}

// expect checks that the next received bytes are the golden files, one after the other. It returns the descriptors
// received with them.
func (p goldenPeer) expect(t *testing.T, names ...string) (fds []int) {
	t.Helper()
	var want []byte
	for _, name := range names {
		want = append(want, readGolden(t, name, nil)...)
	}
	if err := p.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 0, len(want))
	control := make([]byte, unix.CmsgSpace(4*maxGrantDescriptors))
	for len(got) < len(want) {
		buffer := make([]byte, len(want)-len(got))
		size, controlSize, _, _, err := p.conn.ReadMsgUnix(buffer, control)
		if err != nil {
			t.Fatalf("receive %v: got error %v after %q, want all bytes", names, err, got)
		}
		fds = append(fds, loop.ReceivedDescriptors(control[:controlSize])...)
		got = append(got, buffer[:size]...)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("receive %v: got %q, want %q", names, got, want)
	}
	t.Cleanup(func() { loop.CloseDescriptors(fds) })
	return fds
}

// sendFiles sends the golden files, one after the other, together with descriptors.
func (p goldenPeer) sendFiles(t *testing.T, fds []int, names ...string) {
	t.Helper()
	var sent []byte
	for _, name := range names {
		sent = append(sent, readGolden(t, name, nil)...)
	}
	var control []byte
	if len(fds) > 0 {
		control = unix.UnixRights(fds...)
	}
	if _, _, err := p.conn.WriteMsgUnix(sent, control, nil); err != nil {
		t.Fatal(err)
	}
}

// skipOnUpdate skips the test when -update-golden is set. It is for tests that read the golden files and write none.
func skipOnUpdate(t *testing.T) {
	t.Helper()
	if *updateGolden {
		t.Skip("the golden files are being written")
	}
}

// goldenGrant returns the grant of lent.json.
func goldenGrant(fds []int) Grant {
	return Grant{
		Sockets: map[string]int{"127.0.0.1:3000": fds[0]}, Datagrams: fds[1], Discovery: "127.0.0.1:4000",
		List: goldenList(), DescriptorQuota: 100, Learned: []byte("learned\x00\xff"),
	}
}

// TestGoldenParent exchanges each message between a parent and a successor of another release.
func TestGoldenParent(t *testing.T) {
	skipOnUpdate(t)
	path := socketPath(t)
	eventLoop, onLoop := startLoop(t)
	fds := threeSockets(t)
	var parent *Coordinator
	onLoop(func() {
		parent = NewCoordinator(Options{
			Loop: eventLoop, Path: path, Changed: ignoreChange, Grant: func() Grant { return goldenGrant(fds) },
		}, nil)
	})
	peer := goldenPeer{dialUnix(t, path)}
	peer.sendFiles(t, nil, "hello.json")
	if received := peer.expect(t, "lent.json"); len(received) != 2 {
		t.Errorf("descriptors of the grant: got %d, want 2", len(received))
	}
	peer.sendFiles(t, nil, "ready.json", "free.json")
	waitFor(t, onLoop, "free descriptors", func() bool {
		accepts, descriptors := parent.SuccessorAccepts()
		return accepts && descriptors == 9
	})
	onLoop(func() { parent.RaiseQuota(200, 50) })
	peer.expect(t, "room.json")
	onLoop(func() { parent.SendLearnedState(Successor, []byte("learn")) })
	peer.expect(t, "learned.json")
	body := make([]byte, 5)
	if _, err := io.ReadFull(peer.conn, body); err != nil || string(body) != "learn" {
		t.Errorf("learned state: got %q, error %v, want %q", body, err, "learn")
	}
	accepted := make(chan bool, 1)
	for _, step := range []struct {
		answer, wantNext string
		accepted         bool
	}{
		{"refused.json", "", false},
		{"held.json", "given.json", true},
		{"", "back.json", false},
	} {
		onLoop(func() { parent.Transfer(goldenItems(fds), func(ok bool) { accepted <- ok }) })
		if received := peer.expect(t, "batch.json", "connections.cbor"); len(received) != 3 {
			t.Errorf("descriptors of a batch: got %d, want 3", len(received))
		}
		if step.answer != "" {
			peer.sendFiles(t, nil, step.answer)
		}
		if step.wantNext != "" {
			peer.expect(t, step.wantNext)
		}
		if got := <-accepted; got != step.accepted {
			t.Errorf("outcome after answer %q: got accepted %v, want %v", step.answer, got, step.accepted)
		}
	}
}

// goldenHandler records its calls, and accepts a batch as long as it has free descriptors.
type goldenHandler struct {
	free   int      // free descriptors that it reports; with 0 it rejects a batch
	calls  string   // names and arguments of the calls, each with a space after it
	bodies [][]byte // bodies of the connections in the prepared batches
}

func (h *goldenHandler) handler() TransferHandler {
	return TransferHandler{
		FreeDescriptors: func() int { return h.free },
		Learned:         func(_ Peer, learned []byte) { h.calls += "learned " + string(learned) + " " },
		Prepare:         h.prepare,
	}
}

func (h *goldenHandler) prepare(items []TransferItem) (PreparedBatch, error) {
	h.calls += "prepared "
	if h.free == 0 {
		return PreparedBatch{}, io.ErrUnexpectedEOF
	}
	var fds []int
	for _, item := range items {
		h.bodies = append(h.bodies, item.Body)
		fds = append(fds, item.FDs...)
	}
	h.calls += fmt.Sprint(len(fds), " ")
	end := func(call string) func() {
		return func() {
			h.calls += call
			loop.CloseDescriptors(fds)
		}
	}
	return PreparedBatch{Commit: end("committed "), Abort: end("aborted ")}, nil
}

// goldenLink starts a parent of another release that answers a hello, and returns its end of the link and the grant.
func goldenLink(t *testing.T, fds []int) (goldenPeer, *Grant) {
	t.Helper()
	path := socketPath(t)
	listener := listenUnix(t, path)
	answer := readGolden(t, "lent.json", nil)
	answered := make(chan *net.UnixConn, 1)
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		// If this write fails, requestGrant fails the test, because it receives no grant.
		_, _, _ = conn.WriteMsgUnix(answer, unix.UnixRights(fds[:2]...), nil)
		answered <- conn
	}()
	grant := requestGrant(t, path)
	conn := <-answered
	t.Cleanup(func() { mustClose(t, conn) })
	return goldenPeer{conn}, grant
}

// TestGoldenSuccessor exchanges each message between a successor and a parent of another release.
func TestGoldenSuccessor(t *testing.T) {
	skipOnUpdate(t)
	fds := threeSockets(t)
	peer, grant := goldenLink(t, fds)
	t.Cleanup(func() { grant.Release(func(fd int) bool { return fd == grant.fd }) })
	want := goldenGrant([]int{grant.Sockets["127.0.0.1:3000"], grant.Datagrams})
	want.fd = grant.fd
	want.unread = []byte{}
	want.transferVersion = 1
	if !reflect.DeepEqual(*grant, want) || want.Sockets["127.0.0.1:3000"] <= 0 || want.Datagrams <= 0 {
		t.Errorf("RequestGrant: got %+v, want %+v with descriptors above 0", *grant, want)
	}
	peer.expect(t, "hello.json")
	eventLoop, onLoop := startLoop(t)
	var successor *Coordinator
	handler := goldenHandler{free: 9}
	onLoop(func() {
		successor = NewCoordinator(Options{
			Loop: eventLoop, Path: socketPath(t), Changed: ignoreChange, Grant: grantDescriptors(0),
			TransferHandler: handler.handler(),
		}, grant)
		successor.Ready()
	})
	peer.expect(t, "ready.json", "free.json")
	peer.sendFiles(t, nil, "learned.json")
	mustWrite(t, peer.conn, "learn")
	offer := func() {
		t.Helper()
		onLoop(func() { handler.free = 3 })
		peer.sendFiles(t, fds, "batch.json", "connections.cbor")
		peer.expect(t, "held.json")
		onLoop(func() { handler.free = 9 })
	}
	offer()
	peer.sendFiles(t, nil, "given.json")
	peer.expect(t, "free.json")
	offer()
	peer.sendFiles(t, nil, "back.json", "room.json")
	peer.expect(t, "free.json")
	onLoop(func() {
		handler.free = 0
		if successor.DescriptorQuota() != 150 {
			t.Errorf("DescriptorQuota: got %d, want 150", successor.DescriptorQuota())
		}
	})
	peer.sendFiles(t, fds, "batch.json", "connections.cbor")
	peer.expect(t, "refused.json")
	onLoop(func() {
		if want := "learned learn prepared 3 committed prepared 3 aborted prepared "; handler.calls != want {
			t.Errorf("calls of the handler: got %q, want %q", handler.calls, want)
		}
		want := [][]byte{[]byte("front state"), {0x00, 0xff}, []byte("front state"), {0x00, 0xff}}
		if !reflect.DeepEqual(handler.bodies, want) {
			t.Errorf("bodies of the connections: got %q, want %q", handler.bodies, want)
		}
	})
}
