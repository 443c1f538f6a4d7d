package handover

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

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"spurwinch/internal/exchange"
	"spurwinch/internal/loop"
)

// open counts this process's descriptors.
func open(t *testing.T) int {
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// pair is a connection to carry: fd is this end's descriptor, far the other end.
func pair(t *testing.T) (fd int, far *os.File) {
	p, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	return p[0], os.NewFile(uintptr(p[1]), "far")
}

// alive reports whether any process holds the near end.
func alive(t *testing.T, far *os.File) bool {
	far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := far.Read(make([]byte, 1))
	return !(err == io.EOF)
}

func batch(t testing.TB, all ...packed) []byte {
	body, err := cbor.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// TestGiver has the process that takes die, refuse, fall silent or talk nonsense at each step: the giver learns whether the
// connection is its own, and never both have it.
func TestGiver(t *testing.T) {
	ready := `{"kind":"ready"}` + "\n" + `{"kind":"free","room":9}` + "\n"
	for _, step := range []struct {
		name, says string
		ends       bool
		taken      bool
		then       string // what the taker must read behind the batch
	}{
		{"dies with the batch unread", "", true, false, ""},
		{"has it", `{"kind":"held","room":3}` + "\n", false, true, `{"kind":"given"}`},
		{"dies once it has it", `{"kind":"held","room":3}` + "\n", true, true, ""},
		{"refuses", `{"kind":"refused"}` + "\n", false, false, ""},
		{"is silent", "", false, false, `{"kind":"back"}`},
		{"says what it can't", `{"kind":"given"}` + "\n", false, true, ""}, // the link is given up, and with it the batch
		{"says nothing that can be read", "what?\n", false, true, ""},
		{"has less than no room", `{"kind":"held","room":-1}` + "\n", false, true, ""},
	} {
		t.Run(step.name, func(t *testing.T) {
			l, on := run(t)
			path := Path(t.TempDir(), "127.0.0.1:3000")
			var p *Coordinator
			on(func() {
				p = NewCoordinator(Options{Loop: l, Path: path, Changed: func() {}, Grant: func() Grant { return Grant{Datagrams: -1, DescriptorQuota: 9} }}, nil)
			})
			lent, err := RequestGrant(path, time.Now().Add(20*time.Second))
			if err != nil || lent.carry != carryForm {
				t.Fatal(err, lent)
			}
			link := os.NewFile(uintptr(lent.fd), "link")
			io.WriteString(link, ready)
			until(t, on, "room", func() bool { there, n := p.SuccessorAccepts(); return there && n == 9 })
			fd, far := pair(t)
			defer far.Close()
			taken := make(chan bool, 2)
			on(func() { // the batch is on the link before anything of it is read
				p.Transfer([]TransferItem{{[]int{fd}, []byte("state")}}, func(ok bool) { taken <- ok })
				if there, n := p.SuccessorAccepts(); there && n != 0 {
					t.Error("a second batch may go")
				}
			})
			io.WriteString(link, step.says)
			if step.ends && step.says == "" {
				link.Close()
			}
			select {
			case got := <-taken:
				if got != step.taken {
					t.Errorf("taken %v", got)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("nothing is heard of the batch")
			}
			if step.then != "" {
				in := bufio.NewReader(link)
				in.ReadString('\n')
				io.ReadFull(in, make([]byte, len(batch(t, packed{Sockets: 1, Body: []byte("state")}))))
				if got, err := in.ReadString('\n'); strings.TrimSpace(got) != step.then {
					t.Errorf("says %q, %v", got, err)
				}
			}
			link.Close()
			until(t, on, "its end", func() bool { there, _ := p.SuccessorAccepts(); return !there })
			select {
			case <-taken:
				t.Error("told twice")
			default:
			}
			unix.Close(fd)
			if alive(t, far) {
				t.Error("a descriptor is left")
			}
		})
	}
}

// TestTaker has the process that gives die or spoil what it sends at each step: what is whole and not called back is taken
// once, all else leaves nothing behind.
func TestTaker(t *testing.T) {
	good := batch(t, packed{Sockets: 1, Body: []byte("state")})
	head := func(n int) string { return fmt.Sprintf(`{"kind":"batch","size":%d}`+"\n", n) }
	for _, step := range []struct {
		name, says string // the descriptor comes with the first byte
		body       []byte
		rights     int
		held       bool
		then       string
		end        string // "taken", "dropped" or "": never held
	}{
		{"it is given", head(len(good)), good, 1, true, `{"kind":"given"}` + "\n", "taken"},
		{"the giver dies", head(len(good)), good, 1, true, "", "taken"},
		{"it is called back", head(len(good)), good, 1, true, `{"kind":"back"}` + "\n", "dropped"},
		{"nonsense follows", head(len(good)), good, 1, true, "what?\n", "dropped"},
		{"another batch follows", head(len(good)), good, 1, true, head(9), "dropped"},
		{"half of it and the end", head(len(good) + 9), good, 1, false, "", ""},
		{"no descriptor", head(len(good)), good, 0, false, "", ""},
		{"one too many", head(len(good)), good, 2, false, "", ""},
		{"no batch", head(5), []byte("what?"), 1, false, "", ""},
		{"nobody in it", head(1), []byte{0x80}, 1, false, "", ""},
		{"a connection of no socket", head(len(good)), batch(t, packed{Sockets: 0, Body: []byte("state")}), 1, false, "", ""},
		{"less than one", head(len(good)), batch(t, packed{Sockets: -1, Body: []byte("state")}), 1, false, "", ""},
		{"what the node can't read", head(len(good)), batch(t, packed{Sockets: 1, Body: []byte("spoil")}), 1, false, "", ""},
		{"too much", head(mostBatch + 1), nil, 1, false, "", ""},
		{"what was learned, without an end", `{"kind":"learned","size":9}` + "\n", []byte("abc"), 0, false, "", ""},
	} {
		t.Run(step.name, func(t *testing.T) {
			path := Path(t.TempDir(), "127.0.0.1:3000")
			door, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer door.Close()
			giver := make(chan *net.UnixConn, 1)
			go func() {
				c, err := door.Accept()
				if err != nil {
					return
				}
				c.Write([]byte(`{"kind":"lent","version":1,"room":9,"carry":1}` + "\n"))
				giver <- c.(*net.UnixConn)
			}()
			lent, err := RequestGrant(path, time.Now().Add(20*time.Second))
			if err != nil {
				t.Fatal(err)
			}
			l, on := run(t)
			calls := ""
			on(func() {
				p := NewCoordinator(Options{Loop: l, Path: Path(t.TempDir(), "127.0.0.1:3000"), Changed: func() {}, Grant: func() Grant { return Grant{} },
					TransferHandler: TransferHandler{FreeDescriptors: func() int { return 5 }, Learned: func([]byte) {}, Prepare: func(all []TransferItem) (PreparedBatch, error) {
						if len(all) != 1 || string(all[0].Body) != "state" {
							return PreparedBatch{}, io.ErrUnexpectedEOF
						}
						return PreparedBatch{Commit: func() { calls += "taken"; loop.CloseAll(all[0].FDs) },
							Abort: func() { calls += "dropped"; loop.CloseAll(all[0].FDs) }}, nil
					}}}, lent)
				p.Ready()
			})
			c := <-giver
			in := bufio.NewReader(c)
			in.ReadString('\n') // hello
			in.ReadString('\n') // ready
			in.ReadString('\n') // free
			var fds []int
			var fars []*os.File
			for range max(step.rights, 1) {
				fd, far := pair(t)
				fds, fars = append(fds, fd), append(fars, far)
			}
			before := open(t)
			var side []byte
			if step.rights > 0 {
				side = unix.UnixRights(fds[:step.rights]...)
			}
			if _, _, err := c.WriteMsgUnix(append([]byte(step.says), step.body...), side, nil); err != nil {
				t.Fatal(err)
			}
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if step.held {
				if got, err := in.ReadString('\n'); got != `{"kind":"held","room":5}`+"\n" {
					t.Errorf("says %q, %v", got, err)
				}
				on(func() {
					if calls != "" {
						t.Errorf("%s before it was given", calls)
					}
				})
			}
			io.WriteString(c, step.then)
			c.CloseWrite()
			io.Copy(io.Discard, in)
			c.Close()
			until(t, on, "what becomes of it", func() bool { return calls == step.end })
			exchange.Until(t, "no descriptor is left", func() bool { return open(t) <= before-2 }) // the link's two ends are gone too
			loop.CloseAll(fds)
			for _, far := range fars {
				if alive(t, far) {
					t.Error("a connection is left")
				}
				far.Close()
			}
		})
	}
}

// FuzzBatch has any bytes for a batch, with any number of descriptors.
func FuzzBatch(f *testing.F) {
	f.Add(batch(f, packed{Sockets: 2, Body: []byte("state")}, packed{Sockets: 1}), 3)
	f.Add([]byte{0x9f, 0xff}, 1)
	f.Add(bytes.Repeat([]byte{0x81}, 40), 0)
	f.Fuzz(func(t *testing.T, body []byte, rights int) {
		fds := make([]int, max(0, min(rights, 8)))
		for i := range fds {
			fds[i] = -1 // no descriptor at all: what is read must not depend on any
		}
		if all, err := parseBatch(body, fds); err == nil {
			t.Errorf("%+v of descriptors that are none", all)
		}
	})
}
