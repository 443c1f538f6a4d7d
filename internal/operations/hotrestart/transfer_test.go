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

// parentCase is what a successor does with an offered batch, and how the parent must react.
type parentCase struct {
	name     string
	answer   string // what the successor sends
	ends     bool   // the successor ends; without an answer it ends before it reads the batch
	accepted bool   // the outcome that the parent must report
	wantNext string // the message that the successor must read after the batch
}

// TestParentOwnsBatchUntilSuccessorAccepts lets the successor end, reject, not answer or send an invalid message at
// each step of a transfer. The parent must learn exactly once whether it owns the connection. The two processes must
// never both own it.
func TestParentOwnsBatchUntilSuccessorAccepts(t *testing.T) {
	for _, testCase := range []parentCase{
		{"successor ends before it reads the batch", "", true, false, ""},
		{"successor accepts", `{"kind":"held","room":3}` + "\n", false, true, `{"kind":"given"}`},
		{"successor ends after it accepted", `{"kind":"held","room":3}` + "\n", true, true, ""},
		{"successor rejects", `{"kind":"refused"}` + "\n", false, false, ""},
		{"successor does not answer", "", false, false, `{"kind":"back"}`},
		// The parent ends the link in the following cases, and counts the batch as accepted.
		{"successor sends a message of the parent", `{"kind":"given"}` + "\n", false, true, ""},
		{"successor sends invalid JSON", "what?\n", false, true, ""},
		{"successor reports negative free descriptors", `{"kind":"held","room":-1}` + "\n", false, true, ""},
	} {
		t.Run(testCase.name, testCase.run)
	}
}

// startParent starts a parent that grants 9 descriptors. It also returns the function that runs code on the parent's
// loop, and the path at which successors connect.
func startParent(t *testing.T) (parent *Coordinator, onLoop func(func()), path string) {
	t.Helper()
	eventLoop, onLoop := startLoop(t)
	path = socketPath(t)
	onLoop(func() {
		parent = NewCoordinator(
			Options{Loop: eventLoop, Path: path, Changed: ignoreChange, Grant: grantDescriptors(9)}, nil)
	})
	return parent, onLoop, path
}

func (c parentCase) run(t *testing.T) {
	parent, onLoop, path := startParent(t)
	grant := requestGrant(t, path)
	if grant.transferVersion != transferVersion {
		t.Fatalf("transfer version of the grant: got %d, want %d", grant.transferVersion, transferVersion)
	}
	successor := os.NewFile(uintptr(grant.fd), "link")
	mustWrite(t, successor, `{"kind":"ready"}`+"\n"+`{"kind":"free","room":9}`+"\n")
	waitFor(t, onLoop, "free descriptors", func() bool {
		accepts, descriptors := parent.SuccessorAccepts()
		return accepts && descriptors == 9
	})
	fd, far := socketPair(t)
	accepted := make(chan bool, 2)
	// When onLoop returns, the parent has written the whole batch to the link, and the successor has read none of it.
	onLoop(func() {
		parent.Transfer([]TransferItem{{[]int{fd}, []byte("state")}}, func(ok bool) { accepted <- ok })
		if accepts, descriptors := parent.SuccessorAccepts(); accepts && descriptors != 0 {
			t.Errorf("descriptors for a second batch: got %d, want 0", descriptors)
		}
	})
	mustWrite(t, successor, c.answer)
	if c.ends && c.answer == "" {
		mustClose(t, successor)
	}
	select {
	case got := <-accepted:
		if got != c.accepted {
			t.Errorf("outcome of Transfer: got accepted %v, want %v", got, c.accepted)
		}
	case <-time.After(testTimeout):
		t.Fatal("outcome of Transfer: got none before the timeout, want one")
	}
	if c.wantNext != "" {
		c.checkNext(t, successor)
	}
	_ = successor.Close() // the test case may have closed it
	waitFor(t, onLoop, "the end of the link", func() bool { accepts, _ := parent.SuccessorAccepts(); return !accepts })
	select {
	case <-accepted:
		t.Error("outcomes of Transfer: got a second one, want exactly one")
	default:
	}
	loop.CloseDescriptors([]int{fd})
	if nearEndOpen(t, far) {
		t.Error("near end of the connection: got open, want closed")
	}
}

// checkNext checks the message that follows the batch.
func (c parentCase) checkNext(t *testing.T, successor io.Reader) {
	t.Helper()
	reader := bufio.NewReader(successor)
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	batch := encodeItems(t, encodedItem{Sockets: 1, Body: []byte("state")})
	if _, err := reader.Discard(len(batch)); err != nil {
		t.Fatal(err)
	}
	if got, err := reader.ReadString('\n'); strings.TrimSpace(got) != c.wantNext {
		t.Errorf("message after the batch: got %q, error %v, want %q", got, err, c.wantNext)
	}
}

// successorCase is what a parent sends, and how the successor must react.
type successorCase struct {
	name        string
	message     string // the descriptors are sent with its first byte
	payload     []byte // what the parent sends after the message
	descriptors int    // number of descriptors that the parent sends
	accepted    bool   // the successor must accept the batch
	nextMessage string // what the parent sends after the batch
	outcome     string // "committed", "aborted", or "" for a batch that is never accepted
}

// TestSuccessorTakesOverOnlyCompleteBatches lets the parent end, recall a batch or send invalid data at each step of a
// transfer. The successor must take over, exactly once, a batch that is complete and not recalled, unless an invalid
// message made it end the link. Any other batch must have no effect.
func TestSuccessorTakesOverOnlyCompleteBatches(t *testing.T) {
	good := encodeItems(t, encodedItem{Sockets: 1, Body: []byte("state")})
	noSocket := encodeItems(t, encodedItem{Sockets: 0, Body: []byte("state")})
	negative := encodeItems(t, encodedItem{Sockets: -1, Body: []byte("state")})
	rejected := encodeItems(t, encodedItem{Sockets: 1, Body: []byte("spoil")})
	offer := func(size int) string { return fmt.Sprintf(`{"kind":"batch","size":%d}`+"\n", size) }
	for _, testCase := range []successorCase{
		{"parent commits", offer(len(good)), good, 1, true, `{"kind":"given"}` + "\n", "committed"},
		{"parent ends after the batch", offer(len(good)), good, 1, true, "", "committed"},
		{"parent recalls", offer(len(good)), good, 1, true, `{"kind":"back"}` + "\n", "aborted"},
		{"invalid JSON after the batch", offer(len(good)), good, 1, true, "what?\n", "aborted"},
		{"second batch before the commit", offer(len(good)), good, 1, true, offer(9), "aborted"},
		{"parent ends before the batch is complete", offer(len(good) + 9), good, 1, false, "", ""},
		{"no descriptor", offer(len(good)), good, 0, false, "", ""},
		{"one descriptor too many", offer(len(good)), good, 2, false, "", ""},
		{"payload that is not CBOR", offer(5), []byte("what?"), 1, false, "", ""},
		{"batch without connections", offer(1), []byte{0x80}, 1, false, "", ""},
		{"connection without sockets", offer(len(good)), noSocket, 1, false, "", ""},
		{"connection with a negative number of sockets", offer(len(good)), negative, 1, false, "", ""},
		{"batch that the node cannot prepare", offer(len(good)), rejected, 1, false, "", ""},
		{"batch above the maximum size", offer(maxBatchBytes + 1), nil, 1, false, "", ""},
		{"incomplete learned state", `{"kind":"learned","size":9}` + "\n", []byte("abc"), 0, false, "", ""},
	} {
		t.Run(testCase.name, testCase.run)
	}
}

// grantingParent is the parent's end of a link on which it has sent a grant.
type grantingParent struct {
	conn   *net.UnixConn
	reader *bufio.Reader
}

// linkToParent listens as a parent, sends a grant to requestGrant, and returns the parent's end of the link and the
// grant.
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
		// If this write fails, requestGrant fails the test, because it receives no grant.
		_, _ = conn.Write([]byte(`{"kind":"lent","version":1,"room":9,"carry":1}` + "\n"))
		accepted <- conn
	}()
	grant := requestGrant(t, path)
	conn := <-accepted
	return grantingParent{conn: conn, reader: bufio.NewReader(conn)}, grant
}

// skip reads messages that the test does not check.
func (p grantingParent) skip(t *testing.T, messages int) {
	t.Helper()
	for range messages {
		if _, err := p.reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
}

// send sends a text and a payload in one message with descriptors.
func (p grantingParent) send(t *testing.T, text string, payload []byte, descriptors []int) {
	t.Helper()
	var control []byte
	if len(descriptors) > 0 {
		control = unix.UnixRights(descriptors...)
	}
	if _, _, err := p.conn.WriteMsgUnix(append([]byte(text), payload...), control, nil); err != nil {
		t.Fatal(err)
	}
}

// recordingHandler accepts a batch of one connection with the body "state", and records in calls whether the batch was
// committed or aborted.
func recordingHandler(calls *string) TransferHandler {
	return TransferHandler{
		FreeDescriptors: func() int { return 5 },
		Learned:         func(Peer, []byte) {},
		Prepare: func(items []TransferItem) (PreparedBatch, error) {
			if len(items) != 1 || string(items[0].Body) != "state" {
				return PreparedBatch{}, io.ErrUnexpectedEOF
			}
			end := func(call string) func() {
				return func() {
					*calls += call
					loop.CloseDescriptors(items[0].FDs)
				}
			}
			return PreparedBatch{Commit: end("committed"), Abort: end("aborted")}, nil
		},
	}
}

func (c successorCase) run(t *testing.T) {
	parent, grant := linkToParent(t)
	eventLoop, onLoop := startLoop(t)
	calls := ""
	onLoop(func() {
		successor := NewCoordinator(Options{
			Loop: eventLoop, Path: socketPath(t), Changed: ignoreChange,
			Grant: func() Grant { return Grant{} }, TransferHandler: recordingHandler(&calls),
		}, grant)
		successor.Ready()
	})
	parent.skip(t, 3) // hello, ready, free descriptors
	var near []int
	var far []*os.File
	for range max(c.descriptors, 1) {
		fd, farEnd := socketPair(t)
		near = append(near, fd)
		far = append(far, farEnd)
	}
	before := countDescriptors(t)
	parent.send(t, c.message, c.payload, near[:c.descriptors])
	if err := parent.conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if c.accepted {
		if got, err := parent.reader.ReadString('\n'); got != `{"kind":"held","room":5}`+"\n" {
			t.Errorf("answer to the batch: got %q, error %v, want it accepted with 5 free descriptors", got, err)
		}
		onLoop(func() {
			if calls != "" {
				t.Errorf("calls before the commit: got %q, want none", calls)
			}
		})
	}
	// The test ignores the errors of these calls, because the successor may have ended the link.
	_, _ = io.WriteString(parent.conn, c.nextMessage)
	_ = parent.conn.CloseWrite()
	_, _ = io.Copy(io.Discard, parent.reader)
	_ = parent.conn.Close()
	waitFor(t, onLoop, "the end of the batch", func() bool { return calls == c.outcome })
	transcript.WaitFor(t, "all descriptors closed", func() bool {
		return countDescriptors(t) <= before-2 // the two ends of the link are closed too
	})
	loop.CloseDescriptors(near)
	for _, farEnd := range far {
		if nearEndOpen(t, farEnd) {
			t.Error("near end of a connection: got open, want closed")
		}
	}
}

// FuzzDecodeBatch decodes arbitrary bytes as a batch with an arbitrary number of descriptors.
func FuzzDecodeBatch(f *testing.F) {
	f.Add(encodeItems(f, encodedItem{Sockets: 2, Body: []byte("state")}, encodedItem{Sockets: 1}), 3)
	f.Add([]byte{0x9f, 0xff}, 1)
	f.Add(bytes.Repeat([]byte{0x81}, 40), 0)
	f.Fuzz(func(t *testing.T, body []byte, descriptors int) {
		fds := make([]int, max(0, min(descriptors, 8)))
		for i := range fds {
			fds[i] = -1 // an invalid descriptor, since decoding must not depend on a valid one
		}
		if items, err := decodeBatch(body, fds); err == nil {
			t.Errorf("decodeBatch with invalid descriptors: got %+v, want an error", items)
		}
	})
}

// TestLateAnswerToRecalledBatchIsIgnored lets a successor answer a batch after the parent has recalled it. This happens
// when the successor is busy for longer than the parent waits. The answer must have no effect, and the link must stay
// open.
func TestLateAnswerToRecalledBatchIsIgnored(t *testing.T) {
	eventLoop, onLoop := startLoop(t)
	path := socketPath(t)
	var parent *Coordinator
	changes := 0
	onLoop(func() {
		changed := func() { changes++ }
		parent = NewCoordinator(Options{Loop: eventLoop, Path: path, Changed: changed, Grant: grantDescriptors(9)}, nil)
	})
	grant := requestGrant(t, path)
	successor := os.NewFile(uintptr(grant.fd), "link")
	t.Cleanup(func() { mustClose(t, successor) })
	mustWrite(t, successor, `{"kind":"ready"}`+"\n"+`{"kind":"free","room":9}`+"\n")
	waitFor(t, onLoop, "free descriptors", func() bool {
		accepts, descriptors := parent.SuccessorAccepts()
		return accepts && descriptors == 9
	})
	fd, _ := socketPair(t)
	t.Cleanup(func() { loop.CloseDescriptors([]int{fd}) })
	accepted := make(chan bool, 2)
	onLoop(func() {
		parent.Transfer([]TransferItem{{[]int{fd}, []byte("state")}}, func(ok bool) { accepted <- ok })
	})
	if <-accepted {
		t.Fatal("outcome of Transfer: got accepted, want recalled")
	}
	before := 0
	onLoop(func() { before = changes })
	mustWrite(t, successor, `{"kind":"held","room":3}`+"\n"+`{"kind":"free","room":9}`+"\n")
	waitFor(t, onLoop, "the late answers", func() bool { return changes > before })
	onLoop(func() {
		if linked, ready := parent.Successor(); !linked || !ready {
			t.Errorf("Successor after a late answer: got linked %v, ready %v, want true, true", linked, ready)
		}
		if accepts, _ := parent.SuccessorAccepts(); accepts {
			t.Error("SuccessorAccepts after a recall: got true, want false")
		}
	})
	select {
	case <-accepted:
		t.Error("outcomes of Transfer: got a second one, want exactly one")
	default:
	}
}

// TestBatchWaitsForLinkBuffer guards against a batch that can't be sent, so that all clients are migrated: the
// successor reads nothing, and learned state has filled the link's buffer in the kernel.
func TestBatchWaitsForLinkBuffer(t *testing.T) {
	parent, onLoop, path := startParent(t)
	successor := os.NewFile(uintptr(requestGrant(t, path).fd), "link")
	t.Cleanup(func() { mustClose(t, successor) })
	mustWrite(t, successor, `{"kind":"ready"}`+"\n"+`{"kind":"free","room":9}`+"\n")
	descriptorsAccepted := func() int {
		_, descriptors := parent.SuccessorAccepts()
		return descriptors
	}
	waitFor(t, onLoop, "free descriptors", func() bool { return descriptorsAccepted() == 9 })
	fd, _ := socketPair(t)
	defer loop.CloseDescriptors([]int{fd})
	onLoop(func() {
		link := parent.successors[0]
		state := make([]byte, 1000)
		for link.conn.Sent() {
			if descriptorsAccepted() > 0 {
				if err := link.conn.SendDescriptors([]byte("x"), fd); err != nil {
					t.Errorf("SendDescriptors while the successor accepts a batch: got error %v, want none", err)
					return
				}
			}
			parent.SendLearnedState(Successor, state)
		}
		if descriptorsAccepted() != 0 {
			t.Error("descriptors for a batch while data is pending: got some, want 0")
		}
	})
}
