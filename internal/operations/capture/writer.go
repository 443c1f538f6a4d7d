package capture

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	magic       = "spurwinch capture\r\n\x1a\n" // a transfer that changes line ends shows at once
	blockMark   = 0x6b6c6253                    // "Sblk"
	headSize    = 4 + 4 + 4 + 8                 // mark, compressed and raw length, XXH64
	blockRaw    = 64 << 10                      // a block is written from this size on
	blockTime   = time.Second                   // or after this time: what a kill loses at most
	maxRaw      = 1 << 20                       // largest block that is read
	maxPacked   = 1 << 20
	maxTries    = 16
	maxText     = 256 // bytes of a host's id, zone or kind
	mostSkipped = 1 << 17
)

// Options say where and how much is written.
type Options struct {
	Path     string  // files are called Path-START-N.spwcap
	FileSize int64   // bytes from which on the next file is begun
	Files    int     // files kept; the oldest goes for a new one
	Share    float64 // of clients (or groups, where there are) that are written
	Key      []byte  // for the hashes of clients and groups
	Queue    int     // records that may wait for the writer
	Header   Header
	Began    time.Time // of offset 0; zero: now
	// Fault hears, on the writer's goroutine, what could not be written; capturing goes on with the next block.
	Fault func(error)
}

// Writer writes records off the caller's goroutine. Put never waits.
type Writer struct {
	o       Options
	queue   chan Record
	dropped atomic.Uint64
	names   atomic.Pointer[names] // told and not taken in yet
	done    chan struct{}
	once    sync.Once
	began   time.Time
	limit   uint64

	// Owned by the writer's goroutine.
	mac     []byte
	file    *os.File
	size    int64
	files   []string
	number  int
	raw     bytes.Buffer
	packed  []byte
	enc     *cbor.Encoder
	zip     *zstd.Encoder
	hosts   map[string]Host
	skipped map[uint64]bool // requests that are not in the share
}

// NewWriter creates the first file and starts the one goroutine that writes, which lives until Close.
func NewWriter(o Options) (*Writer, error) {
	zip := zipper()
	w := &Writer{o: o, queue: make(chan Record, o.Queue), done: make(chan struct{}), zip: zip, began: o.Began,
		hosts: map[string]Host{}, skipped: map[uint64]bool{}, limit: math.MaxUint64}
	if w.began.IsZero() {
		w.began = time.Now()
	}
	if o.Share < 1 {
		w.limit = uint64(o.Share * math.MaxUint64)
	}
	w.o.Header.Version, w.o.Header.Start, w.o.Header.Share = Version, w.began.UnixNano(), o.Share
	w.enc = cbor.NewEncoder(&w.raw)
	if err := w.next(); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// zipper is an encoder that takes no goroutine and about 1 MB.
func zipper() *zstd.Encoder {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(128<<10))
	if err != nil {
		panic(err) // the options are constants
	}
	return z
}

// Offset is a time as records count it. It comes from the monotonic clock, so that a step of the system's doesn't show.
func (w *Writer) Offset(t time.Time) int64 { return t.Sub(w.began).Microseconds() }

// Put hands a record over. Where the writer can't keep up it is dropped and counted: a placement must never wait.
func (w *Writer) Put(r Record) {
	select {
	case w.queue <- r:
	default:
		w.dropped.Add(1)
	}
}

// Named has the names of classes and tenants grow: records put from now on may have indices of the new ones. The file in
// hand ends, since its header has the old ones.
func (w *Writer) Named(classes, tenants []string) { w.names.Store(&names{classes, tenants}) }

type names struct{ classes, tenants []string }

// rename takes in names that were told, before the first record that may need them.
func (w *Writer) rename() {
	n := w.names.Swap(nil)
	if n == nil {
		return
	}
	w.flush()
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	w.o.Header.Classes, w.o.Header.Tenants = n.classes, n.tenants
}

// PutWait hands a record over and waits for room. It is for tools; a node must not wait.
func (w *Writer) PutWait(r Record) { w.queue <- r }

// Files are the files that are kept, oldest first. They are whole after Close.
func (w *Writer) Files() []string { return w.files }

// Dropped is how many records were dropped so far and not told in a file yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what waits and ends the writer, by the given time at the latest: a disk that hangs must not hold the
// program's end. Nothing may be put after it.
func (w *Writer) Close(by time.Time) {
	w.once.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-time.After(time.Until(by)):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(blockTime)
	defer tick.Stop()
	for {
		select {
		case r, ok := <-w.queue:
			if !ok {
				w.flush()
				if w.file != nil {
					w.file.Close()
				}
				return
			}
			w.take(r)
		case <-tick.C:
			if n := w.dropped.Swap(0); n > 0 {
				w.add(Dropped{At: w.Offset(time.Now()), Count: n})
			}
			w.flush()
		}
		if w.raw.Len() >= blockRaw {
			w.flush()
		}
	}
}

// take leaves out what is not in the share, and hides who is who.
func (w *Writer) take(r Record) {
	switch r := r.(type) {
	case Placed:
		w.rename()
		r.Client, r.Group = w.hide('c', r.Client), w.hide('g', r.Group)
		who := r.Group // whole groups are in or out, since their members share work
		if who == 0 {
			who = r.Client
		}
		if who > w.limit {
			if r.Answer == Up {
				if len(w.skipped) >= mostSkipped { // ends that were dropped would fill it in time
					clear(w.skipped)
				}
				w.skipped[r.Seq] = true
			}
			return
		}
		r.Tries = r.Tries[:min(len(r.Tries), maxTries)]
		w.add(r)
	case Ended:
		if w.skipped[r.Seq] {
			delete(w.skipped, r.Seq)
			return
		}
		w.add(r)
	case Host:
		r.ID = truncate(r.ID)
		r.Zone = truncate(r.Zone)
		r.Kind = truncate(r.Kind)
		if r.State == 2 {
			delete(w.hosts, r.ID)
		} else {
			w.hosts[r.ID] = r
		}
		w.add(r)
	default:
		w.add(r)
	}
}

// truncate is the beginning of a text, maxText bytes at most, without half a character at its end: a CBOR text with
// one can't be read, and costs the rest of its block.
func truncate(text string) string {
	if len(text) <= maxText {
		return text
	}
	end := maxText
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}

func (w *Writer) hide(domain byte, v uint64) uint64 {
	if v == 0 {
		return 0
	}
	m := hmac.New(sha256.New, w.o.Key)
	var b [9]byte
	b[0] = domain
	binary.BigEndian.PutUint64(b[1:], v)
	m.Write(b[:])
	w.mac = m.Sum(w.mac[:0])
	return max(1, binary.BigEndian.Uint64(w.mac))
}

func (w *Writer) add(r Record) {
	n := w.raw.Len()
	err := w.enc.Encode(r.kind())
	if err == nil {
		err = w.enc.Encode(r)
	}
	if err != nil {
		w.raw.Truncate(n)
		w.fault(fmt.Errorf("capture: %w", err))
	}
}

func (w *Writer) fault(err error) {
	if w.o.Fault != nil {
		w.o.Fault(err)
	}
}

// flush writes the block in hand.
func (w *Writer) flush() {
	if w.raw.Len() == 0 {
		return
	}
	if w.file == nil { // the last one could not be created or written; there may be room again
		if err := w.next(); err != nil {
			w.raw.Reset()
			w.fault(err)
			return
		}
	}
	err := w.pack(w.raw.Bytes())
	w.raw.Reset()
	if err != nil || w.size >= w.o.FileSize {
		w.file.Close()
		w.file = nil
	}
	if err != nil {
		w.fault(err)
	}
}

// pack writes one block.
func (w *Writer) pack(raw []byte) error {
	w.packed = append(w.packed[:0], make([]byte, headSize)...)
	w.packed = w.zip.EncodeAll(raw, w.packed)
	body := w.packed[headSize:]
	binary.LittleEndian.PutUint32(w.packed, blockMark)
	binary.LittleEndian.PutUint32(w.packed[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(w.packed[8:], uint32(len(raw)))
	binary.LittleEndian.PutUint64(w.packed[12:], xxhash.Sum64(body))
	n, err := w.file.Write(w.packed)
	w.size += int64(n)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	return nil
}

// next begins a file: the header, then the hosts as they are known.
func (w *Writer) next() error {
	name := fmt.Sprintf("%s-%s-%04d.spwcap", w.o.Path, w.began.UTC().Format("20060102T150405.000"), w.number)
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o640)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	w.file, w.size = f, int64(len(magic))
	w.o.Header.File = w.number
	w.number++
	if w.files = append(w.files, name); len(w.files) > w.o.Files {
		os.Remove(w.files[0])
		w.files = w.files[1:]
	}
	var hosts []byte
	for _, h := range w.hosts {
		h.At = w.Offset(time.Now()) // as known now
		kind, _ := cbor.Marshal(h.kind())
		body, _ := cbor.Marshal(h)
		hosts = append(append(hosts, kind...), body...)
	}
	head, err := cbor.Marshal(w.o.Header)
	if err == nil {
		_, err = f.WriteString(magic)
	}
	if err == nil {
		err = w.pack(head)
	}
	if err == nil && len(hosts) > 0 {
		err = w.pack(hosts)
	}
	if err != nil {
		f.Close()
		w.file = nil
	}
	return err
}
