package capture

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	blockBytes = 64 << 10    // a block is written from this size on,
	blockTime  = time.Second // or after this time: what a kill loses at most
)

// Options say where and how much is written.
type Options struct {
	Path     string  // files are called Path-START-N.spwcap
	FileSize int64   // bytes from which on the next file is begun
	Files    int     // files kept; the oldest is removed for a new one
	Share    float64 // of clients (or groups, where there are) that are written
	Key      []byte  // for the pseudonyms of clients and groups
	Queue    int     // records that may wait for the writer
	Header   Header
	Start    time.Time // of offset 0; zero: now
	// OnError is called with what could not be written, on the writer's goroutine. Capturing goes on with the next
	// block.
	OnError func(error)
}

// Writer writes records on a goroutine of its own. Put never waits.
type Writer struct {
	queue    chan Record
	dropped  atomic.Uint64
	newNames atomic.Pointer[names] // set and not in a header yet
	done     chan struct{}
	stop     sync.Once
	start    time.Time
	onError  func(error) // may be nil

	// Owned by the writer's goroutine.
	header  Header
	sampler sampler
	hosts   map[string]Host // on the endpoint list now
	files   rotatingFile
	buffer  bytes.Buffer // content of the next block
	encoder *cbor.Encoder
}

// names are the names of classes and tenants, by their indices in records.
type names struct{ classes, tenants []string }

// NewWriter creates the first file and starts the one goroutine that writes, which lives until Close.
func NewWriter(options Options) (*Writer, error) {
	w := newWriter(options)
	if err := w.openFile(); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// newWriter makes a writer without a file or a goroutine.
func newWriter(options Options) *Writer {
	start := options.Start
	if start.IsZero() {
		start = time.Now()
	}
	writer := &Writer{
		queue:   make(chan Record, options.Queue),
		done:    make(chan struct{}),
		start:   start,
		onError: options.OnError,
		header:  options.Header,
		sampler: newSampler(options.Key, options.Share),
		hosts:   map[string]Host{},
		files: rotatingFile{
			path: options.Path, start: start, maxBytes: options.FileSize, maxFiles: options.Files,
			encoder: newBlockEncoder(),
		},
	}
	writer.header.Version = Version
	writer.header.Start = start.UnixNano()
	writer.header.Share = options.Share
	writer.encoder = cbor.NewEncoder(&writer.buffer)
	return writer
}

// Offset is a time as records count it, from the monotonic clock: a step of the wall clock doesn't show.
func (w *Writer) Offset(t time.Time) int64 { return Micros(t.Sub(w.start)) }

// Put queues a record. Where the queue is full it is dropped and counted: the event loop must never wait.
func (w *Writer) Put(record Record) {
	select {
	case w.queue <- record:
	default:
		w.dropped.Add(1)
	}
}

// PutWait queues a record and waits for room. It is for tools; a node must not wait.
func (w *Writer) PutWait(record Record) { w.queue <- record }

// SetNames sets the names of classes and tenants, of which there are more now: records put from now on may have indices
// of the new ones. The open file ends, since its header has the old ones.
func (w *Writer) SetNames(classes, tenants []string) { w.newNames.Store(&names{classes, tenants}) }

// Files are the files that are kept, oldest first. It may be called after Close, when they are complete.
func (w *Writer) Files() []string { return w.files.names }

// Dropped is the number of records that were dropped and not counted in a file yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer, by the given time at the latest: a disk that hangs must not hold up
// the program's end. Nothing may be put after it.
func (w *Writer) Close(by time.Time) {
	w.stop.Do(func() { close(w.queue) })
	select {
	case <-w.done:
	case <-time.After(time.Until(by)):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(blockTime)
	defer ticker.Stop()
	for {
		select {
		case record, ok := <-w.queue:
			if !ok {
				w.flush()
				w.files.close()
				return
			}
			w.take(record)
		case <-ticker.C:
			if count := w.dropped.Swap(0); count > 0 {
				w.encode(Dropped{At: w.Offset(time.Now()), Count: count})
			}
			w.flush()
		}
		if w.buffer.Len() >= blockBytes {
			w.flush()
		}
	}
}

// take encodes a record, if it is in the share, with its texts and lists cut to their limits.
func (w *Writer) take(record Record) {
	switch record := record.(type) {
	case Placed:
		w.applyNames()
		if w.sampler.takeRequest(&record) {
			record.Attempts = truncateAttempts(record.Attempts)
			w.encode(record)
		}
	case Ended:
		if w.sampler.takeEnd(record.Seq) {
			w.encode(record)
		}
	case Report:
		record.Host = truncate(record.Host)
		w.encode(record)
	case Host:
		w.takeHost(record)
	default:
		w.encode(record)
	}
}

func (w *Writer) takeHost(host Host) {
	host.ID = truncate(host.ID)
	host.Zone = truncate(host.Zone)
	host.Kind = truncate(host.Kind)
	if host.State == stateGone {
		delete(w.hosts, host.ID)
	} else {
		w.hosts[host.ID] = host
	}
	w.encode(host)
}

// applyNames takes over names that were set, before the first record that may need them.
func (w *Writer) applyNames() {
	next := w.newNames.Swap(nil)
	if next == nil {
		return
	}
	w.flush()
	w.files.close()
	w.header.Classes = next.classes
	w.header.Tenants = next.tenants
}

// encode appends a record to the next block.
func (w *Writer) encode(record Record) {
	length := w.buffer.Len()
	if err := encodeRecord(w.encoder, record); err != nil {
		w.buffer.Truncate(length)
		w.reportError(fmt.Errorf("capture: %w", err))
	}
}

func (w *Writer) reportError(err error) {
	if w.onError != nil {
		w.onError(err)
	}
}

// flush writes the block that is being filled. Its records are lost where that fails.
func (w *Writer) flush() {
	if w.buffer.Len() == 0 {
		return
	}
	defer w.buffer.Reset()
	if !w.files.isOpen() { // it was full, or there was no room; there may be again
		if err := w.openFile(); err != nil {
			w.reportError(err)
			return
		}
	}
	err := w.files.writeBlock(w.buffer.Bytes())
	if err != nil || w.files.isFull() {
		w.files.close()
	}
	if err != nil {
		w.reportError(err)
	}
}

// openFile begins a file with the header and the hosts of the endpoint list.
func (w *Writer) openFile() error {
	w.header.File = w.files.number
	err := w.files.create()
	if err == nil {
		err = w.writeHeader()
	}
	if err != nil {
		w.files.close()
	}
	return err
}

func (w *Writer) writeHeader() error {
	header, err := cbor.Marshal(w.header)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	if err := w.files.writeBlock(header); err != nil {
		return err
	}
	return w.writeHosts()
}

// writeHosts writes the hosts of the endpoint list as records of now, in blocks of the usual size: a reader takes none
// of over maxRawBytes.
func (w *Writer) writeHosts() error {
	var buffer bytes.Buffer
	encoder := cbor.NewEncoder(&buffer)
	for _, host := range w.hosts {
		host.At = w.Offset(time.Now())
		if err := encodeRecord(encoder, host); err != nil {
			return fmt.Errorf("capture: %w", err)
		}
		if buffer.Len() >= blockBytes {
			if err := w.files.writeBlock(buffer.Bytes()); err != nil {
				return err
			}
			buffer.Reset()
		}
	}
	if buffer.Len() == 0 {
		return nil
	}
	return w.files.writeBlock(buffer.Bytes())
}

// encodeRecord encodes the kind of a record and the record.
func encodeRecord(encoder *cbor.Encoder, record Record) error {
	if err := encoder.Encode(record.kind()); err != nil {
		return err
	}
	return encoder.Encode(record)
}
