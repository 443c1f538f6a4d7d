package hotrestart

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
)

// parentStep is what a successor does once a batch is offered to it, and what the parent is to make of that.
type parentStep struct {
	name     string
	sends    string
	ends     bool // the successor ends before it reads the batch
	accepted bool
	then     string // what the successor must read behind the batch
}

// TestParentSide has the successor die, reject, not answer or send nonsense at each step of a transfer: the parent
// learns whether the connection is its own, and never both have it.
func TestParentSide(t *testing.T) {
	for _, step := range []parentStep{
		{"dies with the batch unread", "", true, false, ""},
		{"accepts it", `{"kind":"held","room":3}` + "\n", false, true, `{"kind":"given"}`},
		{"dies once it has accepted it", `{"kind":"held","room":3}` + "\n", true, true, ""},
		{"rejects it", `{"kind":"refused"}` + "\n", false, false, ""},
		{"does not answer", "", false, false, `{"kind":"back"}`},
		// What follows ends the link from the parent's side, and the batch goes with it.
		{"sends what it can't", `{"kind":"given"}` + "\n", false, true, ""},
		{"sends nothing that can be read", "what?\n", false, true, ""},
		{"has less than no descriptor free", `{"kind":"held","room":-1}` + "\n", false, true, ""},
	} {
		t.Run(step.name, step.run)
	}
}

func (step parentStep) run(t *testing.T) {
	eventLoop, onLoop := startLoop(t)
	path := socketPath(t)
	var parent *Coordinator
	onLoop(func() {
		parent = NewCoordinator(Options{Loop: eventLoop, Path: path, Changed: nothingChanged, Grant: grantOnly(9)}, nil)
	})
	grant := requestGrant(t, path)
	if grant.transferVersion != transferVersion {
		t.Fatalf("the form of transfers is %d, want %d", grant.transferVersion, transferVersion)
	}
	successor := os.NewFile(uintptr(grant.fd), "link")
	writeString(t, successor, `{"kind":"ready"}`+"\n"+`{"kind":"free","room":9}`+"\n")
	waitFor(t, onLoop, "free descriptors", func() bool {
		there, descriptors := parent.SuccessorAccepts()
		return there && descriptors == 9
	})
	fd, far := socketPair(t)
	accepted := make(chan bool, 2)
	onLoop(func() { // the batch is on the link before anything of it is read
		parent.Transfer([]TransferItem{{[]int{fd}, []byte("state")}}, func(ok bool) { accepted <- ok })
		if there, descriptors := parent.SuccessorAccepts(); there && descriptors != 0 {
			t.Errorf("a second batch may have %d descriptors, want none", descriptors)
		}
	})
	writeString(t, successor, step.sends)
	if step.ends && step.sends == "" {
		closed(t, successor)
	}
	select {
	case got := <-accepted:
		if got != step.accepted {
			t.Errorf("accepted is %v, want %v", got, step.accepted)
		}
	case <-time.After(testTimeout):
		t.Fatal("the batch has no outcome")
	}
	if step.then != "" {
		step.checkNext(t, successor)
	}
	_ = successor.Close() // a step may have closed it
	waitFor(t, onLoop, "its end", func() bool { there, _ := parent.SuccessorAccepts(); return !there })
	select {
	case <-accepted:
		t.Error("what becomes of the batch is said twice")
	default:
	}
	loop.CloseAll([]int{fd})
	if nearEndOpen(t, far) {
		t.Error("a descriptor is left open")
	}
}

// checkNext wants the message behind the batch.
func (step parentStep) checkNext(t *testing.T, successor io.Reader) {
	t.Helper()
	reader := bufio.NewReader(successor)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	batch := encodeItems(t, encodedItem{Sockets: 1, Body: []byte("state")})
	if _, err := reader.Discard(len(batch)); err != nil {
		t.Fatal(err)
	}
	if got, err := reader.ReadString('\n'); strings.TrimSpace(got) != step.then {
		t.Errorf("the parent sends %q, %v, want %q", got, err, step.then)
	}
}

// successorStep is what a parent sends, and what the successor is to make of that.
type successorStep struct {
	name        string
	sends       string // the descriptors come with the first byte
	body        []byte
	descriptors int
	accepted    bool
	then        string // what the parent sends next
	end         string // "committed", "aborted", or "" for a batch that is never accepted
}

// TestSuccessorSide has the parent die or spoil what it sends at each step of a transfer: what is whole and not
// recalled is taken once, all else has no effect.
func TestSuccessorSide(t *testing.T) {
	good := encodeItems(t, encodedItem{Sockets: 1, Body: []byte("state")})
	none := encodeItems(t, encodedItem{Sockets: 0, Body: []byte("state")})
	negative := encodeItems(t, encodedItem{Sockets: -1, Body: []byte("state")})
	unknown := encodeItems(t, encodedItem{Sockets: 1, Body: []byte("spoil")})
	offer := func(size int) string { return fmt.Sprintf(`{"kind":"batch","size":%d}`+"\n", size) }
	for _, step := range []successorStep{
		{"it is committed", offer(len(good)), good, 1, true, `{"kind":"given"}` + "\n", "committed"},
		{"the parent dies", offer(len(good)), good, 1, true, "", "committed"},
		{"it is recalled", offer(len(good)), good, 1, true, `{"kind":"back"}` + "\n", "aborted"},
		{"nonsense follows", offer(len(good)), good, 1, true, "what?\n", "aborted"},
		{"another batch follows", offer(len(good)), good, 1, true, offer(9), "aborted"},
		{"half of it and the end", offer(len(good) + 9), good, 1, false, "", ""},
		{"no descriptor", offer(len(good)), good, 0, false, "", ""},
		{"one too many", offer(len(good)), good, 2, false, "", ""},
		{"no batch", offer(5), []byte("what?"), 1, false, "", ""},
		{"nobody in it", offer(1), []byte{0x80}, 1, false, "", ""},
		{"a connection of no socket", offer(len(good)), none, 1, false, "", ""},
		{"less than one", offer(len(good)), negative, 1, false, "", ""},
		{"what the node can't read", offer(len(good)), unknown, 1, false, "", ""},
		{"too much", offer(maxBatchBytes + 1), nil, 1, false, "", ""},
		{"learned state, without an end", `{"kind":"learned","size":9}` + "\n", []byte("abc"), 0, false, "", ""},
	} {
		t.Run(step.name, step.run)
	}
}

// grantingParent is the parent's end of a link that has sent a grant.
type grantingParent struct {
	conn   *net.UnixConn
	reader *bufio.Reader
}

// linkToParent has a parent send a grant, and returns it with the grant.
func linkToParent(t *testing.T) (grantingParent, *Grant) {
	t.Helper()
	path := socketPath(t)
	listener := listenUnix(t, path)
	accepted := make(chan *net.UnixConn, 1)
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(`{"kind":"lent","version":1,"room":9,"carry":1}` + "\n")) // else there is no grant
		accepted <- conn
	}()
	grant := requestGrant(t, path)
	conn := <-accepted
	return grantingParent{conn: conn, reader: bufio.NewReader(conn)}, grant
}

// skip reads messages that a test doesn't look at.
func (p grantingParent) skip(t *testing.T, messages int) {
	t.Helper()
	for range messages {
		if _, err := p.reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
}

// send sends text and bytes with descriptors.
func (p grantingParent) send(t *testing.T, text string, body []byte, descriptors []int) {
	t.Helper()
	var control []byte
	if len(descriptors) > 0 {
		control = unix.UnixRights(descriptors...)
	}
	if _, _, err := p.conn.WriteMsgUnix(append([]byte(text), body...), control, nil); err != nil {
		t.Fatal(err)
	}
}

// recordingHandler takes a batch of one connection with the body "state", and notes what becomes of it.
func recordingHandler(calls *string) TransferHandler {
	return TransferHandler{
		FreeDescriptors: func() int { return 5 },
		Learned:         func([]byte) {},
		Prepare: func(items []TransferItem) (PreparedBatch, error) {
			if len(items) != 1 || string(items[0].Body) != "state" {
				return PreparedBatch{}, io.ErrUnexpectedEOF
			}
			end := func(call string) func() {
				return func() {
					*calls += call
					loop.CloseAll(items[0].FDs)
				}
			}
			return PreparedBatch{Commit: end("committed"), Abort: end("aborted")}, nil
		},
	}
}

func (step successorStep) run(t *testing.T) {
	parent, grant := linkToParent(t)
	eventLoop, onLoop := startLoop(t)
	calls := ""
	onLoop(func() {
		successor := NewCoordinator(Options{
			Loop: eventLoop, Path: socketPath(t), Changed: nothingChanged,
			Grant: func() Grant { return Grant{} }, TransferHandler: recordingHandler(&calls),
		}, grant)
		successor.Ready()
	})
	parent.skip(t, 3) // hello, ready, free descriptors
	var near []int
	var far []*os.File
	for range max(step.descriptors, 1) {
		fd, other := socketPair(t)
		near = append(near, fd)
		far = append(far, other)
	}
	before := countDescriptors(t)
	parent.send(t, step.sends, step.body, near[:step.descriptors])
	if err := parent.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if step.accepted {
		if got, err := parent.reader.ReadString('\n'); got != `{"kind":"held","room":5}`+"\n" {
			t.Errorf("the successor sends %q, %v, want that it accepts", got, err)
		}
		onLoop(func() {
			if calls != "" {
				t.Errorf("%s before it was committed", calls)
			}
		})
	}
	// The successor may have ended the link: what is sent then is lost, and so it is meant.
	_, _ = io.WriteString(parent.conn, step.then)
	_ = parent.conn.CloseWrite()
	_, _ = io.Copy(io.Discard, parent.reader)
	_ = parent.conn.Close()
	waitFor(t, onLoop, "the end of the batch", func() bool { return calls == step.end })
	transcript.WaitFor(t, "no descriptor is left", func() bool {
		return countDescriptors(t) <= before-2 // the link's two ends are gone too
	})
	loop.CloseAll(near)
	for _, other := range far {
		if nearEndOpen(t, other) {
			t.Error("a connection is left open")
		}
	}
}

// FuzzDecodeBatch has any bytes for a batch, with any number of descriptors.
func FuzzDecodeBatch(f *testing.F) {
	f.Add(encodeItems(f, encodedItem{Sockets: 2, Body: []byte("state")}, encodedItem{Sockets: 1}), 3)
	f.Add([]byte{0x9f, 0xff}, 1)
	f.Add(bytes.Repeat([]byte{0x81}, 40), 0)
	f.Fuzz(func(t *testing.T, body []byte, descriptors int) {
		fds := make([]int, max(0, min(descriptors, 8)))
		for i := range fds {
			fds[i] = -1 // no descriptor at all: what is read must not depend on any
		}
		if items, err := decodeBatch(body, fds); err == nil {
			t.Errorf("%+v of descriptors that are none", items)
		}
	})
}

// TestLateAnswerToRecalledBatch has a successor answer a batch that was recalled meanwhile, as one does that was busy
// for longer than the parent waits: the answer changes nothing, and the link stays.
func TestLateAnswerToRecalledBatch(t *testing.T) {
	eventLoop, onLoop := startLoop(t)
	path := socketPath(t)
	var parent *Coordinator
	changes := 0
	onLoop(func() {
		changed := func() { changes++ }
		parent = NewCoordinator(Options{Loop: eventLoop, Path: path, Changed: changed, Grant: grantOnly(9)}, nil)
	})
	grant := requestGrant(t, path)
	successor := os.NewFile(uintptr(grant.fd), "link")
	t.Cleanup(func() { closed(t, successor) })
	writeString(t, successor, `{"kind":"ready"}`+"\n"+`{"kind":"free","room":9}`+"\n")
	waitFor(t, onLoop, "free descriptors", func() bool {
		there, descriptors := parent.SuccessorAccepts()
		return there && descriptors == 9
	})
	fd, _ := socketPair(t)
	t.Cleanup(func() { loop.CloseAll([]int{fd}) })
	accepted := make(chan bool, 2)
	onLoop(func() {
		parent.Transfer([]TransferItem{{[]int{fd}, []byte("state")}}, func(ok bool) { accepted <- ok })
	})
	if <-accepted {
		t.Fatal("the batch is accepted, want it recalled")
	}
	before := 0
	onLoop(func() { before = changes })
	writeString(t, successor, `{"kind":"held","room":3}`+"\n"+`{"kind":"free","room":9}`+"\n")
	waitFor(t, onLoop, "the answers", func() bool { return changes > before })
	onLoop(func() {
		if linked, ready := parent.Successor(); !linked || !ready {
			t.Errorf("linked %v, ready %v after a late answer, want both", linked, ready)
		}
		if there, _ := parent.SuccessorAccepts(); there {
			t.Error("a successor that did not answer is offered another batch")
		}
	})
	select {
	case <-accepted:
		t.Error("what becomes of the batch is said twice")
	default:
	}
}
