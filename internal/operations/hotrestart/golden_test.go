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

// The bytes under testdata/golden are what released processes of a node say to each other. A process of another release
// reads them: they change with the version of the exchange only.
// go test ./internal/operations/hotrestart -run TestGolden -update-golden

var updateGolden = flag.Bool("update-golden", false, "write testdata/golden anew")

// golden returns what the file of a name holds; with -update-golden it holds got from now on.
func golden(t *testing.T, name string, got []byte) []byte {
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

// goldenList is a list with each field set.
func goldenList() discovery.List {
	return discovery.NewList(71, []edge.ServerEntry{
		{Addr: "10.1.0.18:3000", Server: choice.Server{
			ID: "s-5be2a07c", Zone: "cluj-1", Kind: "std-2c", Cell: 3, State: choice.Draining, Size: 1.5,
			Started: 1800 * time.Millisecond,
		}},
	})
}

// goldenMessages has a message of each kind, with the fields that it has, and one with every field.
func goldenMessages() map[string]message {
	list := goldenList()
	return map[string]message{
		"hello": {Kind: "hello", Version: 1, TransferVersion: 1},
		"lent": {
			Kind: "lent", Version: 1, Sockets: []string{"127.0.0.1:3000"}, HasDatagrams: true,
			Discovery: "127.0.0.1:4000", List: &list, Descriptors: 100, TransferVersion: 1,
			Learned: []byte("learned\x00\xff"),
		},
		"ready":   {Kind: "ready"},
		"room":    {Kind: "room", Descriptors: 150},
		"free":    {Kind: "free", Descriptors: 9},
		"batch":   {Kind: "batch", Size: 20},
		"learned": {Kind: "learned", Size: 5},
		"held":    {Kind: "held", Descriptors: 3},
		"refused": {Kind: "refused"},
		"given":   {Kind: "given"},
		"back":    {Kind: "back"},
		"every-field": {
			Kind: "every", Version: 2, Sockets: []string{"127.0.0.1:3000", "[::1]:5222"}, HasDatagrams: true,
			Discovery: "d:1", List: &list, Descriptors: 3, TransferVersion: 4,
			Learned: []byte{5}, Size: 6,
		},
	}
}

// TestGoldenMessages writes and reads each message by itself.
func TestGoldenMessages(t *testing.T) {
	for name, sent := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			want := golden(t, name+".json", sent.encode())
			if got := sent.encode(); !bytes.Equal(got, want) {
				t.Errorf("written %s, want %s", got, want)
			}
			var read message
			if err := json.Unmarshal(want, &read); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read, sent) {
				t.Errorf("read %+v, want %+v", read, sent)
			}
		})
	}
	every := reflect.ValueOf(goldenMessages()["every-field"])
	for i := range every.NumField() {
		if every.Field(i).IsZero() {
			t.Errorf("the message with every field has no %s", every.Type().Field(i).Name)
		}
	}
}

// TestGoldenBatch writes and reads the connections of a batch.
func TestGoldenBatch(t *testing.T) {
	items := []encodedItem{{Sockets: 2, Body: []byte("front state")}, {Sockets: 1, Body: []byte{0x00, 0xff}}}
	encoded := encodeItems(t, items...)
	want := golden(t, "connections.cbor", encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("written %x, want %x", encoded, want)
	}
	fds := threeSockets(t)
	read, err := decodeBatch(want, fds)
	if err != nil {
		t.Fatal(err)
	}
	if sent := goldenItems(fds); !reflect.DeepEqual(read, sent) {
		t.Errorf("read %+v, want %+v", read, sent)
	}
}

// threeSockets returns descriptors of stream sockets, closed at the test's end.
func threeSockets(t *testing.T) (fds []int) {
	t.Helper()
	for range 3 {
		fd, _ := socketPair(t)
		fds = append(fds, fd)
	}
	t.Cleanup(func() { loop.CloseAll(fds) })
	return fds
}

// goldenItems are the connections of the golden batch, of three descriptors.
func goldenItems(fds []int) []TransferItem {
	return []TransferItem{
		{FDs: fds[:2:2], Body: []byte("front state")},
		{FDs: fds[2:], Body: []byte{0x00, 0xff}},
	}
}

// conversation is the other end of a link, as a process of another release would be.
type conversation struct {
	conn *net.UnixConn
}

// hears wants the bytes of golden files next, one after the other. It returns the descriptors that came along.
func (c conversation) hears(t *testing.T, names ...string) (fds []int) {
	t.Helper()
	var want []byte
	for _, name := range names {
		want = append(want, golden(t, name, nil)...)
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 0, len(want))
	control := make([]byte, unix.CmsgSpace(4*maxGrantDescriptors))
	for len(got) < len(want) {
		buffer := make([]byte, len(want)-len(got))
		size, controlSize, _, _, err := c.conn.ReadMsgUnix(buffer, control)
		if err != nil {
			t.Fatalf("%v: %v after %q", names, err, got)
		}
		fds = append(fds, loop.ReceivedDescriptors(control[:controlSize])...)
		got = append(got, buffer[:size]...)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("%v: received %q, want %q", names, got, want)
	}
	t.Cleanup(func() { loop.CloseAll(fds) })
	return fds
}

// says sends the bytes of golden files, with descriptors.
func (c conversation) says(t *testing.T, fds []int, names ...string) {
	t.Helper()
	var sent []byte
	for _, name := range names {
		sent = append(sent, golden(t, name, nil)...)
	}
	var control []byte
	if len(fds) > 0 {
		control = unix.UnixRights(fds...)
	}
	if _, _, err := c.conn.WriteMsgUnix(sent, control, nil); err != nil {
		t.Fatal(err)
	}
}

// skipUpdate skips a test that only compares, while the files are written anew.
func skipUpdate(t *testing.T) {
	t.Helper()
	if *updateGolden {
		t.Skip("the files are written anew")
	}
}

// goldenGrant is the grant of lent.json.
func goldenGrant(fds []int) Grant {
	return Grant{
		Sockets: map[string]int{"127.0.0.1:3000": fds[0]}, Datagrams: fds[1], Discovery: "127.0.0.1:4000",
		List: goldenList(), DescriptorQuota: 100, Learned: []byte("learned\x00\xff"),
	}
}

// TestGoldenParent has the running process exchange each message with one of another release.
func TestGoldenParent(t *testing.T) {
	skipUpdate(t)
	path := socketPath(t)
	eventLoop, onLoop := startLoop(t)
	fds := threeSockets(t)
	var parent *Coordinator
	onLoop(func() {
		parent = NewCoordinator(Options{
			Loop: eventLoop, Path: path, Changed: nothingChanged, Grant: func() Grant { return goldenGrant(fds) },
		}, nil)
	})
	other := conversation{dialUnix(t, path)}
	other.says(t, nil, "hello.json")
	if came := other.hears(t, "lent.json"); len(came) != 2 {
		t.Errorf("%d descriptors came, want 2", len(came))
	}
	other.says(t, nil, "ready.json", "free.json")
	waitFor(t, onLoop, "free descriptors", func() bool {
		there, descriptors := parent.SuccessorAccepts()
		return there && descriptors == 9
	})
	onLoop(func() { parent.RaiseQuota(200, 50) })
	other.hears(t, "room.json")
	onLoop(func() { parent.SendLearnedState([]byte("learn")) })
	other.hears(t, "learned.json")
	body := make([]byte, 5)
	if _, err := io.ReadFull(other.conn, body); err != nil || string(body) != "learn" {
		t.Errorf("learned %q, %v, want %q", body, err, "learn")
	}
	accepted := make(chan bool, 1)
	for _, step := range []struct {
		says, hears string
		accepted    bool
	}{
		{"refused.json", "", false},
		{"held.json", "given.json", true},
		{"", "back.json", false},
	} {
		onLoop(func() { parent.Transfer(goldenItems(fds), func(ok bool) { accepted <- ok }) })
		if came := other.hears(t, "batch.json", "connections.cbor"); len(came) != 3 {
			t.Errorf("%d descriptors came with a batch, want 3", len(came))
		}
		if step.says != "" {
			other.says(t, nil, step.says)
		}
		if step.hears != "" {
			other.hears(t, step.hears)
		}
		if got := <-accepted; got != step.accepted {
			t.Errorf("after %q accepted is %v, want %v", step.says, got, step.accepted)
		}
	}
}

// goldenHandler notes what comes, and takes a batch as long as it has descriptors free.
type goldenHandler struct {
	free   int
	calls  string
	bodies [][]byte
}

func (h *goldenHandler) handler() TransferHandler {
	return TransferHandler{
		FreeDescriptors: func() int { return h.free },
		Learned:         func(learned []byte) { h.calls += "learned " + string(learned) + " " },
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
			loop.CloseAll(fds)
		}
	}
	return PreparedBatch{Commit: end("committed "), Abort: end("aborted ")}, nil
}

// goldenLink has a parent of another release answer a hello, and returns its end of the link and the grant.
func goldenLink(t *testing.T, fds []int) (conversation, *Grant) {
	t.Helper()
	path := socketPath(t)
	listener := listenUnix(t, path)
	answer := golden(t, "lent.json", nil)
	answered := make(chan *net.UnixConn, 1)
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		_, _, _ = conn.WriteMsgUnix(answer, unix.UnixRights(fds[:2]...), nil) // else there is no grant
		answered <- conn
	}()
	grant := requestGrant(t, path)
	conn := <-answered
	t.Cleanup(func() { closed(t, conn) })
	return conversation{conn}, grant
}

// TestGoldenSuccessor has the process that starts exchange each message with one of another release.
func TestGoldenSuccessor(t *testing.T) {
	skipUpdate(t)
	fds := threeSockets(t)
	other, grant := goldenLink(t, fds)
	t.Cleanup(func() { grant.Release(func(fd int) bool { return fd == grant.fd }) })
	want := goldenGrant([]int{grant.Sockets["127.0.0.1:3000"], grant.Datagrams})
	want.fd = grant.fd
	want.unread = []byte{}
	want.transferVersion = 1
	if !reflect.DeepEqual(*grant, want) || want.Sockets["127.0.0.1:3000"] <= 0 || want.Datagrams <= 0 {
		t.Errorf("the grant is %+v, want %+v", *grant, want)
	}
	other.hears(t, "hello.json")
	eventLoop, onLoop := startLoop(t)
	var successor *Coordinator
	handler := goldenHandler{free: 9}
	onLoop(func() {
		successor = NewCoordinator(Options{
			Loop: eventLoop, Path: socketPath(t), Changed: nothingChanged, Grant: grantOnly(0),
			TransferHandler: handler.handler(),
		}, grant)
		successor.Ready()
	})
	other.hears(t, "ready.json", "free.json")
	other.says(t, nil, "learned.json")
	writeString(t, other.conn, "learn")
	offer := func() {
		t.Helper()
		onLoop(func() { handler.free = 3 })
		other.says(t, fds, "batch.json", "connections.cbor")
		other.hears(t, "held.json")
		onLoop(func() { handler.free = 9 })
	}
	offer()
	other.says(t, nil, "given.json")
	other.hears(t, "free.json")
	offer()
	other.says(t, nil, "back.json", "room.json")
	other.hears(t, "free.json")
	onLoop(func() {
		handler.free = 0
		if successor.DescriptorQuota() != 150 {
			t.Errorf("the quota is %d, want 150", successor.DescriptorQuota())
		}
	})
	other.says(t, fds, "batch.json", "connections.cbor")
	other.hears(t, "refused.json")
	onLoop(func() {
		if want := "learned learn prepared 3 committed prepared 3 aborted prepared "; handler.calls != want {
			t.Errorf("calls are %q, want %q", handler.calls, want)
		}
		want := [][]byte{[]byte("front state"), {0x00, 0xff}, []byte("front state"), {0x00, 0xff}}
		if !reflect.DeepEqual(handler.bodies, want) {
			t.Errorf("connections came with %q, want %q", handler.bodies, want)
		}
	})
}
