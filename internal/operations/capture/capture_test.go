package capture

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// write makes a capture of n requests, each with its end, and returns its one file.
func write(t testing.TB, n int, change func(*Options)) string {
	t.Helper()
	o := Options{Path: filepath.Join(t.TempDir(), "load"), FileSize: 1 << 30, Files: 100, Share: 1, Key: []byte("0123456789abcdef"), Queue: 4 * n,
		Header: Header{Node: "n1", Classes: []string{"a", "b"}, Tenants: []string{"t"}, Fields: []string{"x0"}},
		Fault:  func(err error) { t.Error(err) }}
	if change != nil {
		change(&o)
	}
	w, err := NewWriter(o)
	if err != nil {
		t.Fatal(err)
	}
	w.Put(Host{ID: "h1", Zone: "z", Kind: "k"})
	for i := range n {
		w.Put(Placed{At: int64(i) * 1000, Seq: uint64(i), Class: i % 2, Client: uint64(i + 1), Group: uint64(i%7 + 1), Load: 0.25,
			Took: 3000, Tries: []Try{{Host: "h1", Took: 2900}}})
		w.Put(Ended{At: int64(i)*1000 + 500, Seq: uint64(i), Life: 500})
	}
	w.Close(time.Now().Add(time.Hour))
	if w.Dropped() > 0 {
		t.Fatal("records were dropped from a queue that held them all")
	}
	files, _ := filepath.Glob(o.Path + "*.spwcap")
	if len(files) == 0 {
		t.Fatal("no file")
	}
	return files[0]
}

type sums struct{ placed, ended, hosts int }

func read(t testing.TB, path string) (s sums, faults []Fault) {
	t.Helper()
	_, faults, err := ReadFile(path, func(_ Header, r Record) {
		switch r := r.(type) {
		case Placed:
			if s.placed++; r.Load != 0.25 || len(r.Tries) != 1 || r.Tries[0].Host != "h1" || r.Client == 0 || r.Client < 5000 {
				t.Fatalf("came back as %+v", r)
			}
		case Ended:
			s.ended++
		case Host:
			s.hosts++
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return s, faults
}

func TestRoundTrip(t *testing.T) {
	path := write(t, 70000, nil)
	if i, _ := os.Stat(path); i.Size() < maxPacked+2*headSize {
		t.Fatalf("%d bytes: a file longer than the reader's buffer is wanted", i.Size())
	}
	s, faults := read(t, path)
	if s != (sums{70000, 70000, 1}) || len(faults) > 0 {
		t.Errorf("%+v, faults %v", s, faults)
	}
}

// TestDamage cuts a file off in a block and flips a bit in another: all other blocks must come back, and the damage be told.
func TestDamage(t *testing.T) {
	path := write(t, 20000, nil)
	whole, _ := read(t, path)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		spoil func([]byte) []byte
		want  string
	}{
		"cut off":     {func(b []byte) []byte { return b[:len(b)-9] }, "cut off"},
		"flipped bit": {func(b []byte) []byte { b[len(b)/2] ^= 4; return b }, "checksum"},
		"wild length": {func(b []byte) []byte {
			i := bytes.Index(b[len(b)/2:], []byte("Sblk")) + len(b)/2
			b[i+5] ^= 0x0f
			return b
		}, "damaged"},
		"strange tail": {func(b []byte) []byte { return append(b, strings.Repeat("x", 5000)...) }, "no block begins"},
	} {
		bad := filepath.Join(t.TempDir(), "bad.spwcap")
		if err := os.WriteFile(bad, c.spoil(bytes.Clone(raw)), 0o600); err != nil {
			t.Fatal(err)
		}
		s, faults := read(t, bad)
		if len(faults) == 0 || !strings.Contains(fmt.Sprint(faults), c.want) {
			t.Errorf("%s: faults %v, want %q", name, faults, c.want)
		}
		if s.placed < whole.placed*2/3 || s.placed == whole.placed && name != "strange tail" {
			t.Errorf("%s: %d of %d requests came back", name, s.placed, whole.placed)
		}
	}
}

// TestStrangers checks what is said of files that are none, or of a later version.
func TestStrangers(t *testing.T) {
	newer := write(t, 1, nil)
	raw, _ := os.ReadFile(newer)
	for name, c := range map[string]struct{ text, want string }{
		"text":  {"[limits]\n", "not a capture"},
		"empty": {"", "not a capture"},
		"head":  {magic, "cut off"},
		"half":  {string(raw[:len(magic)+30]), "cut off"},
	} {
		if _, err := NewReader("f", strings.NewReader(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	w := &Writer{o: Options{Path: filepath.Join(t.TempDir(), "l"), Files: 1, Header: Header{Version: Version + 1}}, began: time.Now()}
	w.zip = zipper()
	if err := w.next(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := ReadFile(w.files[0], func(Header, Record) {}); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Error("of a later version: ", err)
	}
}

// TestRotation checks that files are bounded in size and number, and that each stands alone.
func TestRotation(t *testing.T) {
	path := write(t, 20000, func(o *Options) { o.FileSize, o.Files = 100<<10, 3 })
	files, _ := filepath.Glob(filepath.Join(filepath.Dir(path), "*"))
	if len(files) != 3 {
		t.Fatalf("%d files are kept", len(files))
	}
	for _, f := range files[:2] {
		if i, _ := os.Stat(f); i.Size() > 200<<10 {
			t.Errorf("%s has %d bytes", f, i.Size())
		}
		if s, faults := read(t, f); s.hosts != 1 || len(faults) > 0 {
			t.Errorf("%s: %+v, %v", f, s, faults)
		}
	}
}

// TestShare checks that whole groups are in or out, with the ends of their connections.
func TestShare(t *testing.T) {
	s, _ := read(t, write(t, 7000, func(o *Options) { o.Share = 0.5 }))
	if s.placed%1000 != 0 || s.placed == 0 || s.placed == 7000 || s.ended != s.placed {
		t.Errorf("half the groups: %+v", s)
	}
}

// TestStalledDisk checks that a writer that can't keep up costs records, which are counted, and never time.
func TestStalledDisk(t *testing.T) {
	w := &Writer{queue: make(chan Record, 16)} // nobody reads
	for range 1000 {
		w.Put(Ended{})
	}
	if w.Dropped() != 1000-16 {
		t.Errorf("%d counted", w.Dropped())
	}
}

// TestClockStep checks that records far in the past of those before them count as of then, and that this is told.
func TestClockStep(t *testing.T) {
	path := filepath.Join(t.TempDir(), "load")
	w, err := NewWriter(Options{Path: path, FileSize: 1 << 20, Files: 1, Share: 1, Queue: 64, Header: Header{Classes: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, at := range []int64{1e9, 2e9, 1e8, 2e9 + 5} {
		w.Put(Placed{At: at, Tenant: -1})
	}
	w.Close(time.Now().Add(time.Hour))
	var got []int64
	_, faults, err := ReadFile(w.files[0], func(_ Header, r Record) { got = append(got, r.(Placed).At) })
	if err != nil || fmt.Sprint(got) != "[1000000000 2000000000 2000000000 2000000005]" || !strings.Contains(fmt.Sprint(faults), "steps back 1 times, by 1900.000 s") {
		t.Error(got, faults, err)
	}
}

func FuzzReader(f *testing.F) {
	raw, _ := os.ReadFile(write(f, 20, nil))
	f.Add(raw)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := NewReader("f", bytes.NewReader(b))
		for err == nil {
			_, err = r.Next()
		}
		if r != nil && len(r.Faults) > mostFaults {
			t.Error("faults without a bound")
		}
	})
}

// BenchmarkPut is the cost on the loop of a connection's two records; bytes/conn is what they take on disk.
func BenchmarkPut(b *testing.B) {
	path := filepath.Join(b.TempDir(), "load")
	w, err := NewWriter(Options{Path: path, FileSize: 1 << 40, Files: 1, Share: 1, Key: []byte("0123456789abcdef"), Queue: 1 << 16,
		Header: Header{Classes: []string{"a"}, Tenants: []string{"t"}}})
	if err != nil {
		b.Fatal(err)
	}
	hosts := []string{"s-5be2a07c", "s-19ac04e1", "s-77f0b2d9", "s-c0ffee00"}
	b.ResetTimer()
	for i := range b.N {
		r := uint64(i) * 0x9e3779b97f4a7c15
		w.Put(Placed{At: int64(i)*700000 + int64(r>>50), Seq: uint64(i), Client: r | 1, Group: r>>40 | 1, Took: int64(r >> 52),
			Tries: []Try{{Host: hosts[r>>62], Took: int64(r >> 52)}}})
		w.Put(Ended{At: int64(i)*700000 + 30e6, Seq: uint64(i), Life: int64(r >> 38)})
	}
	b.StopTimer()
	lost := w.Dropped()
	w.Close(time.Now().Add(time.Hour))
	i, _ := os.Stat(w.files[0])
	b.ReportMetric(float64(i.Size())/max(1, float64(b.N)-float64(lost)/2), "bytes/conn")
}

// TestNewNames has a class come in while the node runs: its records stand in a file whose header names it.
func TestNewNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "load")
	w, err := NewWriter(Options{Path: path, FileSize: 1 << 20, Files: 9, Share: 1, Key: []byte("0123456789abcdef"), Queue: 64,
		Header: Header{Node: "n1", Classes: []string{"a"}}, Fault: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	w.Put(Placed{Seq: 1, Class: 0, Client: 1, Tenant: -1})
	w.Named([]string{"a", "b"}, []string{"t"})
	w.Put(Placed{Seq: 2, Class: 1, Client: 2, Tenant: 0})
	w.Close(time.Now().Add(time.Hour))
	got := map[string]int{}
	for _, name := range w.Files() {
		_, faults, err := ReadFile(name, func(h Header, r Record) {
			if p, ok := r.(Placed); ok {
				got[h.Classes[p.Class]]++
			}
		})
		if err != nil || len(faults) > 0 {
			t.Error(err, faults)
		}
	}
	if got["a"] != 1 || got["b"] != 1 {
		t.Errorf("records by class: %v", got)
	}
}
