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
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/downstream"
	"spurwinch/internal/platform/upstream"
	resumable "spurwinch/internal/session"
)

// replaced is a node whose processes are all in this program, each on a loop of its own.
type replaced struct {
	t      testing.TB
	env    map[string]string
	file   string // the operator's
	config string
	now    *process
	next   *process
}

// newReplaced sets a node up with both fronts, over one host of each.
func newReplaced(t testing.TB, host string, sockets int) *replaced {
	dir := t.TempDir()
	r := &replaced{t: t, config: filepath.Join(dir, "config.json"), file: filepath.Join(dir, "operator.toml")}
	r.env = map[string]string{"GW_CONFIG": r.config, "TMPDIR": dir, "GW_LISTEN": transcript.FreeAddr(t), "XMPP": transcript.FreeAddr(t)}
	r.write(`{"name":"n1","listen":"` + r.env["GW_LISTEN"] + `","discovery":"` + (&transcript.Player{}).Listen(t, "d") + `","seed":"1","limits":{"cores":1,"sockets":` + fmt.Sprint(sockets) +
		`},"known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":"` + host + `","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}]},"settings":` +
		strings.NewReplacer("REPORTS", "off", `"messageAimS":[0.06]`, `"messageAimS":[600]`).Replace(settings) + `}`)
	text := "[limits]\nheader_time = \"20s\"\n[[listener]]\naddr = \"" + r.env["XMPP"] + "\"\nprotocol = \"xmpp\"\n[[class]]\nname = \"c\"\n" +
		"[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\nleave = \"1s\"\n[[cluster.host]]\naddr = \"" + host + "\"\n"
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r.now = r.start()
	return r
}

func (r *replaced) write(text string) {
	if err := os.WriteFile(r.config, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func (r *replaced) start() *process {
	l, err := loop.New()
	if err != nil {
		r.t.Fatal(err)
	}
	program, err := New(l, func(k string) string { return r.env[k] }, r.file, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	p := &process{Program: program, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		l.Run()
		l.Close()
	}()
	r.t.Cleanup(func() {
		p.loop.Post(p.loop.Stop)
		<-p.done
	})
	transcript.Until(r.t, "the process is ready", func() (ready bool) {
		p.on(func() { ready = p.ready() })
		return ready
	})
	return p
}

// begin starts the next process and has the present one leave once after has returned; nothing happens there meanwhile.
func (r *replaced) begin(after func()) {
	r.next = r.start()
	transcript.Until(r.t, "and the present one knows", func() (ready bool) {
		r.now.on(func() { _, ready = r.now.restart.coordinator.Successor() })
		return ready
	})
	old := r.now
	old.loop.Post(func() {
		after()
		old.Shutdown()
	})
}

// reload has the next process read its files again, which are sound.
func (r *replaced) reload() {
	r.next.on(func() {
		if r.next.Reload(); r.next.telemetry.figures.ReloadsFailed > 0 {
			r.t.Error("the files were turned down")
		}
	})
}

// end waits until the process that leaves has ended by itself.
func (r *replaced) end() {
	r.t.Helper()
	select {
	case <-r.now.done:
	case <-time.After(20 * time.Second):
		r.t.Fatal("the process that leaves does not end")
	}
	r.now = r.next
}

// TestCarried plays exchanges through changes of the process.
func TestCarried(t *testing.T) {
	each(t, "carry", func(t *testing.T, text string) {
		p := &transcript.Player{Values: map[string]string{"ns": "xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'"}}
		r := newReplaced(t, p.Listen(t, "h1"), 512)
		p.Addr, p.Values["xmpp"] = r.env["GW_LISTEN"], r.env["XMPP"]
		thaw := make(chan struct{})
		p.Do = map[string]func(){
			"wait":       func() { time.Sleep(1200 * time.Millisecond) },
			"long":       func() { time.Sleep(3 * time.Second) },
			"upgrade":    func() { r.begin(func() {}); r.end() },
			"upgrade-on": func() { r.begin(func() {}) },
			"upgraded":   func() { r.end() },
			"freeze":     func() { r.begin(func() { <-thaw }) },
			"thaw":       func() { close(thaw); r.end() },
			"sigterm":    func() { r.now.loop.Post(r.now.Shutdown) },
			"trade": func() {
				raw, err := os.ReadFile(r.config)
				if err != nil {
					t.Fatal(err)
				}
				r.write(strings.Replace(string(raw), `"name":"chat"`, `"name":"trade"`, 1))
			},
			"drain": func() {
				raw, err := os.ReadFile(r.file)
				if err == nil {
					err = os.WriteFile(r.file, append(raw, "state = \"draining\"\n"...), 0o600)
				}
				if err != nil {
					t.Fatal(err)
				}
				r.reload()
			},
			"hup": func() {
				r.now.loop.Post(r.now.Reload)
				r.reload()
			},
		}
		p.Play(t, text)
	})
}

// TestCarriedInBatches has a node with little room to spare pass on many connections, more at a time as room comes, and
// through a chain of processes.
func TestCarriedInBatches(t *testing.T) {
	const connections = 400
	r := newReplaced(t, transcript.Host(t), 2*connections+reservedDescriptors+256)
	s := &transcript.Streams{Addr: r.env["GW_LISTEN"], At: "s-1"}
	s.Run(t, connections, transcript.Steady)
	for i := range 3 {
		old := r.now
		r.begin(func() {})
		r.end()
		if old.restart.transfer.sent != connections {
			t.Errorf("process %d gave %d connections of %d", i, old.restart.transfer.sent, connections)
		}
		// The giver may go once its last word is written, and a look into the taker may come before that word is read.
		held, got := 0, 0
		transcript.Until(t, "the taker holds them all", func() bool {
			r.now.on(func() { held, got = r.now.platform.core.InFlight(), r.now.restart.received })
			return got >= connections
		})
		if held != connections || got != connections {
			t.Errorf("process %d holds %d of %d that it took", i+1, held, got)
		}
	}
	pauses := s.Stop(t)
	t.Logf("%d lines, the slowest after %v", len(pauses), pauses[len(pauses)-1])
}

// TestSessionsGoAlong has a process take over from one that knows where sessions live whose streams are gone.
func TestSessionsGoAlong(t *testing.T) {
	r := newReplaced(t, transcript.Host(t), 200)
	r.now.on(func() {
		r.now.xmpp.Inherit([]resumable.Session{{Key: resumable.Key{Domain: "farm.example", ID: "1"}, User: "ana", Host: "h", Started: 5, Max: time.Minute,
			Until: time.Now().Add(time.Minute)}})
	})
	r.begin(func() {})
	r.end()
	r.now.on(func() {
		if all := r.now.xmpp.Broken(9); len(all) != 1 || all[0].Host != "h" || all[0].Started != 5 || time.Until(all[0].Until) < 50*time.Second {
			t.Errorf("the new process knows of %+v", all)
		}
	})
}

// TestNoRoomForAll has the taker hold all but none of the descriptors: what can't go is told to move, and nobody is cut off.
func TestNoRoomForAll(t *testing.T) {
	r := newReplaced(t, transcript.Host(t), 120)
	c := &transcript.Crowd{Addr: r.env["GW_LISTEN"]}
	c.Run(20)
	for range 3 {
		r.begin(func() {})
		r.end()
	}
	c.Stop()
	c.Check(t, "a node without room")
}

// BenchmarkCarry passes 400 connections on that say nothing, in batches of several sizes: bytes and time for one, and for how
// long the loop is away at the most. go test -run - -bench Carry -benchtime 5x ./internal/node
func BenchmarkCarry(b *testing.B) {
	const connections = 400
	for _, most := range []int{1, 8, 64} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			defer func(was int) { maxBatchConnections = was }(maxBatchConnections)
			maxBatchConnections = most
			r := newReplaced(b, transcript.Host(b), 8*connections)
			s := &transcript.Streams{Addr: r.env["GW_LISTEN"], At: "s-1"}
			s.Run(b, connections, transcript.Still)
			size, took, away := 0, time.Duration(0), time.Duration(0)
			b.ResetTimer()
			for range b.N {
				old := r.now
				r.begin(func() {})
				r.end()
				size, took, away = size+old.restart.transfer.sentBytes, took+old.restart.transfer.duration, max(away, old.restart.transfer.longestBatch)
			}
			b.StopTimer()
			s.Stop(b)
			n := float64(b.N * connections)
			b.ReportMetric(float64(size)/n, "B/conn")
			b.ReportMetric(float64(took.Nanoseconds())/1000/n, "µs/conn")
			b.ReportMetric(float64(away.Microseconds())/1000, "ms-away")
		})
	}
}

// BenchmarkTold writes and reads what is told of one connection.
func BenchmarkTold(b *testing.B) {
	c := connectionState{Front: frontPlatform, Open: &edge.ConnectionState{ID: "9b1f03aa5c7e2d41", Tenant: "ferma-ro", Key: 1 << 60, Group: 1 << 61, UsualLoad: 0.012, CurrentLoad: 0.013,
		Class: choice.Class{Name: "field-sync", SetupObjective: 8e8, Deadline: 48e8, MessageObjective: 15e7, Priority: 1}, Server: choice.Server{ID: "s-5be2a07c", Zone: "cluj-1", Kind: "std-2c", Size: 1}, Addr: "10.1.0.18:3000"}}
	c.State, _ = cbor.Marshal(downstream.ConnectionState{Server: &upstream.ConnectionState{}})
	for name, code := range map[string]struct {
		write func(any) ([]byte, error)
		read  func([]byte, any) error
	}{"cbor": {cbor.Marshal, cbor.Unmarshal}, "json": {json.Marshal, json.Unmarshal}} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for range b.N {
				told, err := code.write(c)
				if err == nil {
					err = code.read(told, &connectionState{})
				}
				if err != nil {
					b.Fatal(err)
				}
				size = len(told)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
