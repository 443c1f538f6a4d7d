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
	blockBytes = 64 << 10    // size from which a block is written
	blockTime  = time.Second // interval at which smaller blocks are written; a kill loses at most this time's records
)

// Options determine where and how much a Writer writes.
type Options struct {
	Path     string  // files are named Path-START-N.spwcap
	FileSize int64   // size in bytes from which the next file is started
	Files    int     // files that are kept; a new file replaces the oldest
	Share    float64 // fraction of clients (or groups, where requests have one) that is written
	Key      []byte  // for the pseudonyms of clients and groups
	Queue    int     // number of records that may wait for the writer
	Header   Header
	Start    time.Time // time of offset 0; if zero, the current time
	// OnError is called on the writer's goroutine with the error of each failed write. Capturing continues with the
	// next block.
	OnError func(error)
}

// Writer writes records on its own goroutine. Put never waits.
type Writer struct {
	queue    chan Record
	dropped  atomic.Uint64
	newNames atomic.Pointer[names] // set by SetNames and not in a header yet
	done     chan struct{}
	stop     sync.Once
	start    time.Time
	onError  func(error) // may be nil

	// Owned by the writer's goroutine.
	header  Header
	sampler sampler
	hosts   map[string]Host // servers on the current endpoint list, by id
	files   rotatingFile
	buffer  bytes.Buffer // content of the next block
	encoder *cbor.Encoder
}

// names are the names of classes and tenants. Records refer to them by index.
type names struct{ classes, tenants []string }

// NewWriter creates the first file and starts the goroutine that writes records until Close.
func NewWriter(options Options) (*Writer, error) {
	w := newWriter(options)
	if err := w.openFile(); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// newWriter returns a writer without a file or a goroutine.
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

// Offset converts a time to the offset of a record. It uses the monotonic clock, so that changes of the wall clock have
// no effect.
func (w *Writer) Offset(t time.Time) int64 { return Micros(t.Sub(w.start)) }

// Put queues a record. If the queue is full, Put drops and counts the record, because the event loop must never wait.
func (w *Writer) Put(record Record) {
	select {
	case w.queue <- record:
	default:
		w.dropped.Add(1)
	}
}

// PutWait queues a record and waits if the queue is full. Only tools may use it, because a node must not wait.
func (w *Writer) PutWait(record Record) { w.queue <- record }

// SetNames sets the names of classes and tenants after new ones were added. Records that are put afterwards may have
// the new indices. The writer closes the open file, because its header has the old names.
func (w *Writer) SetNames(classes, tenants []string) { w.newNames.Store(&names{classes, tenants}) }

// Files returns the names of the kept files, oldest first. It may be called only after Close, when the files are
// complete.
func (w *Writer) Files() []string { return w.files.names }

// Dropped returns the number of dropped records that no file counts yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued records and stops the writer. It returns by the given time at the latest, so that a disk that
// hangs does not delay the end of the program. No record may be put after Close.
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
			w.addRecord(record)
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

// addRecord encodes a record if it is in the share. It truncates the record's texts and lists to their limits.
func (w *Writer) addRecord(record Record) {
	switch record := record.(type) {
	case Placed:
		w.applyNames()
		if w.sampler.sampleRequest(&record) {
			record.Attempts = truncateAttempts(record.Attempts)
			w.encode(record)
		}
	case Ended:
		if w.sampler.sampleEnd(record.Seq) {
			w.encode(record)
		}
	case Report:
		record.Host = truncate(record.Host)
		w.encode(record)
	case Host:
		w.addHost(record)
	default:
		w.encode(record)
	}
}

// addHost encodes a record of a server and updates the servers of the endpoint list.
func (w *Writer) addHost(host Host) {
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

// applyNames closes the open file and puts the names that SetNames set into the header of the next one, before the
// first record that may need them.
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

// flush writes the current block. If the write fails, the records of the block are lost.
func (w *Writer) flush() {
	if w.buffer.Len() == 0 {
		return
	}
	defer w.buffer.Reset()
	// The last file was full or had old names, or a write failed, for example on a full disk, and may succeed now.
	if !w.files.isOpen() {
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

// openFile creates a file and writes the header and the servers of the endpoint list to it.
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

// writeHosts writes the servers of the endpoint list as records with the current time. It uses blocks of the usual
// size, because a reader rejects blocks over maxRawBytes.
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
