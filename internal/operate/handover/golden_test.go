package handover

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
	"spurwinch/internal/platform/cluster"
)

// The bytes under testdata/golden are what released processes of a node say to each other. A process of another release
// reads them: they change with the version of the exchange only.
// go test ./internal/operate/handover -run TestGolden -update-golden

var updateGolden = flag.Bool("update-golden", false, "write testdata/golden anew")

// golden is what the file of a name holds; with -update-golden it holds got from now on.
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
func goldenList() cluster.List {
	return cluster.ListOf(71, []edge.ServerEntry{
		{Addr: "10.1.0.18:3000", Server: choice.Server{ID: "s-5be2a07c", Zone: "cluj-1", Kind: "std-2c", Cell: 3, State: choice.Draining, Size: 1.5, Started: 1800 * time.Millisecond}},
	})
}

// goldenLines has a message of each kind, with the fields that it has, and one with every field.
func goldenLines() map[string]line {
	list := goldenList()
	return map[string]line{
		"hello":   {Kind: "hello", Version: 1, Carry: 1},
		"lent":    {Kind: "lent", Version: 1, Sockets: []string{"127.0.0.1:3000"}, Datagrams: true, Discovery: "127.0.0.1:4000", List: &list, Room: 100, Carry: 1, Learned: []byte("learned\x00\xff")},
		"ready":   {Kind: "ready"},
		"room":    {Kind: "room", Room: 150},
		"free":    {Kind: "free", Room: 9},
		"batch":   {Kind: "batch", Size: 20},
		"learned": {Kind: "learned", Size: 5},
		"held":    {Kind: "held", Room: 3},
		"refused": {Kind: "refused"},
		"given":   {Kind: "given"},
		"back":    {Kind: "back"},
		"every-field": {Kind: "every", Version: 2, Sockets: []string{"127.0.0.1:3000", "[::1]:5222"}, Datagrams: true, Discovery: "d:1", List: &list, Room: 3, Carry: 4,
			Learned: []byte{5}, Size: 6},
	}
}

// TestGoldenLines writes and reads each message by itself.
func TestGoldenLines(t *testing.T) {
	for name, message := range goldenLines() {
		t.Run(name, func(t *testing.T) {
			want := golden(t, name+".json", message.bytes())
			if got := message.bytes(); !bytes.Equal(got, want) {
				t.Errorf("written %s, want %s", got, want)
			}
			var read line
			if err := json.Unmarshal(want, &read); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(read, message) {
				t.Errorf("read %+v, want %+v", read, message)
			}
		})
	}
	every := reflect.ValueOf(goldenLines()["every-field"])
	for i := range every.NumField() {
		if every.Field(i).IsZero() {
			t.Errorf("the message with every field has no %s", every.Type().Field(i).Name)
		}
	}
}

// TestGoldenBatch writes and reads the connections of a batch.
func TestGoldenBatch(t *testing.T) {
	all := []packed{{Sockets: 2, Body: []byte("front state")}, {Sockets: 1, Body: []byte{0x00, 0xff}}}
	want := golden(t, "connections.cbor", batch(t, all...))
	if got := batch(t, all...); !bytes.Equal(got, want) {
		t.Errorf("written %x, want %x", got, want)
	}
	var fds []int
	for range 3 {
		fd, far := pair(t)
		defer far.Close()
		fds = append(fds, fd)
	}
	defer loop.CloseAll(fds)
	parcels, err := parseBatch(want, fds)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(parcels, []TransferItem{{FDs: fds[:2], Body: []byte("front state")}, {FDs: fds[2:], Body: []byte{0x00, 0xff}}}) {
		t.Errorf("read %+v of descriptors %v", parcels, fds)
	}
}

// conversation is the other end of a link, as a process of another release would be.
type conversation struct {
	t    *testing.T
	conn *net.UnixConn
}

// hears wants the bytes of golden files next, one after the other. It returns the descriptors that came along.
func (c *conversation) hears(names ...string) (fds []int) {
	c.t.Helper()
	var want []byte
	for _, name := range names {
		want = append(want, golden(c.t, name, nil)...)
	}
	c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	got := make([]byte, 0, len(want))
	side := make([]byte, unix.CmsgSpace(4*mostRights))
	for len(got) < len(want) {
		buf := make([]byte, len(want)-len(got))
		n, sn, _, _, err := c.conn.ReadMsgUnix(buf, side)
		if err != nil {
			c.t.Fatalf("%v: %v after %q", names, err, got)
		}
		fds = append(fds, loop.ReceivedDescriptors(side[:sn])...)
		got = append(got, buf[:n]...)
	}
	if !bytes.Equal(got, want) {
		c.t.Fatalf("%v: heard %q, want %q", names, got, want)
	}
	c.t.Cleanup(func() { loop.CloseAll(fds) })
	return fds
}

// says sends the bytes of golden files, with descriptors.
func (c *conversation) says(fds []int, names ...string) {
	c.t.Helper()
	var all []byte
	for _, name := range names {
		all = append(all, golden(c.t, name, nil)...)
	}
	var side []byte
	if len(fds) > 0 {
		side = unix.UnixRights(fds...)
	}
	if _, _, err := c.conn.WriteMsgUnix(all, side, nil); err != nil {
		c.t.Fatal(err)
	}
}

// updated skips a test that only compares, while the files are written anew.
func updated(t *testing.T) {
	if *updateGolden {
		t.Skip("the files are written anew")
	}
}

// TestGoldenParent has the running process hear and say each message to one of another release.
func TestGoldenParent(t *testing.T) {
	updated(t)
	path := Path(t.TempDir(), "127.0.0.1:3000")
	l, on := run(t)
	listener, listenerFar := pair(t)
	datagrams, datagramsFar := pair(t)
	connection, connectionFar := pair(t)
	defer loop.CloseAll([]int{listener, datagrams, connection})
	for _, far := range []*os.File{listenerFar, datagramsFar, connectionFar} {
		defer far.Close()
	}
	var p *Coordinator
	on(func() {
		p = NewCoordinator(Options{Loop: l, Path: path, Changed: func() {}, Grant: func() Grant {
			return Grant{Sockets: map[string]int{"127.0.0.1:3000": listener}, Datagrams: datagrams, Discovery: "127.0.0.1:4000", List: goldenList(), DescriptorQuota: 100,
				Learned: []byte("learned\x00\xff")}
		}}, nil)
	})
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	other := &conversation{t, conn.(*net.UnixConn)}
	defer conn.Close()
	other.says(nil, "hello.json")
	if fds := other.hears("lent.json"); len(fds) != 2 {
		t.Errorf("%d descriptors came, want 2", len(fds))
	}
	other.says(nil, "ready.json", "free.json")
	until(t, on, "room", func() bool { there, n := p.SuccessorAccepts(); return there && n == 9 })
	on(func() { p.RaiseQuota(200, 50) })
	other.hears("room.json")
	on(func() { p.SendLearnedState([]byte("learn")) })
	other.hears("learned.json")
	body := make([]byte, 5)
	if _, err := io.ReadFull(conn, body); err != nil || string(body) != "learn" {
		t.Errorf("learned %q, %v, want %q", body, err, "learn")
	}
	parcels := []TransferItem{{[]int{connection, listener}, []byte("front state")}, {[]int{datagrams}, []byte{0x00, 0xff}}}
	taken := make(chan bool, 1)
	give := func() { on(func() { p.Transfer(parcels, func(ok bool) { taken <- ok }) }) }
	for _, step := range []struct {
		says, hears string
		taken       bool
	}{
		{"refused.json", "", false},
		{"held.json", "given.json", true},
		{"", "back.json", false},
	} {
		give()
		if fds := other.hears("batch.json", "connections.cbor"); len(fds) != 3 {
			t.Errorf("%d descriptors came with a batch, want 3", len(fds))
		}
		if step.says != "" {
			other.says(nil, step.says)
		}
		if step.hears != "" {
			other.hears(step.hears)
		}
		if got := <-taken; got != step.taken {
			t.Errorf("after %q taken is %v, want %v", step.says, got, step.taken)
		}
	}
}

// TestGoldenSuccessor has the process that starts hear and say each message to one of another release.
func TestGoldenSuccessor(t *testing.T) {
	updated(t)
	path := Path(t.TempDir(), "127.0.0.1:3000")
	door, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close()
	listener, listenerFar := pair(t)
	datagrams, datagramsFar := pair(t)
	connection, connectionFar := pair(t)
	defer loop.CloseAll([]int{listener, datagrams, connection})
	for _, far := range []*os.File{listenerFar, datagramsFar, connectionFar} {
		defer far.Close()
	}
	answered := make(chan *conversation, 1)
	go func() {
		conn, err := door.Accept()
		if err != nil {
			return
		}
		other := &conversation{t, conn.(*net.UnixConn)}
		side := unix.UnixRights(listener, datagrams)
		raw, err := os.ReadFile(filepath.Join("testdata", "golden", "lent.json"))
		if err == nil {
			_, _, err = other.conn.WriteMsgUnix(raw, side, nil)
		}
		if err != nil {
			conn.Close()
		}
		answered <- other
	}()
	lent, err := RequestGrant(path, time.Now().Add(20*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer lent.Release(func(fd int) bool { return fd == lent.fd })
	list := goldenList()
	if lent.Discovery != "127.0.0.1:4000" || lent.DescriptorQuota != 100 || string(lent.Learned) != "learned\x00\xff" || lent.carry != 1 || len(lent.Sockets) != 1 ||
		lent.Sockets["127.0.0.1:3000"] <= 0 || lent.Datagrams <= 0 || !reflect.DeepEqual(lent.List, list) {
		t.Errorf("lent is %+v", lent)
	}
	other := <-answered
	defer other.conn.Close()
	other.hears("hello.json")
	l, on := run(t)
	var p *Coordinator
	free, calls := 9, ""
	var came [][]byte
	on(func() {
		p = NewCoordinator(Options{Loop: l, Path: Path(t.TempDir(), "127.0.0.1:3000"), Changed: func() {}, Grant: func() Grant { return Grant{Datagrams: -1} },
			TransferHandler: TransferHandler{FreeDescriptors: func() int { return free }, Learned: func(b []byte) { calls += "learned " + string(b) + " " },
				Prepare: func(all []TransferItem) (PreparedBatch, error) {
					if calls += "held "; free == 0 {
						return PreparedBatch{}, io.ErrUnexpectedEOF
					}
					var fds []int
					for _, parcel := range all {
						came = append(came, parcel.Body)
						fds = append(fds, parcel.FDs...)
					}
					calls += fmt.Sprint(len(fds), " ")
					return PreparedBatch{Commit: func() { calls += "taken "; loop.CloseAll(fds) }, Abort: func() { calls += "dropped "; loop.CloseAll(fds) }}, nil
				}}}, lent)
		p.Ready()
	})
	other.hears("ready.json", "free.json")
	other.says(nil, "learned.json")
	if _, err := io.WriteString(other.conn, "learn"); err != nil {
		t.Fatal(err)
	}
	send := func() {
		t.Helper()
		on(func() { free = 3 })
		other.says([]int{listener, datagrams, connection}, "batch.json", "connections.cbor")
		other.hears("held.json")
		on(func() { free = 9 })
	}
	send()
	other.says(nil, "given.json")
	other.hears("free.json")
	send()
	other.says(nil, "back.json", "room.json")
	other.hears("free.json")
	on(func() {
		if free = 0; p.DescriptorQuota() != 150 {
			t.Errorf("room is %d, want 150", p.DescriptorQuota())
		}
	})
	other.says([]int{listener, datagrams, connection}, "batch.json", "connections.cbor")
	other.hears("refused.json")
	on(func() {
		if want := "learned learn held 3 taken held 3 dropped held "; calls != want {
			t.Errorf("calls are %q, want %q", calls, want)
		}
		if len(came) != 4 || string(came[0]) != "front state" || !bytes.Equal(came[1], []byte{0x00, 0xff}) {
			t.Errorf("connections came with %q", came)
		}
	})
}
