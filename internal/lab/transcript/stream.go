package transcript

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	streamBuffer    = 64 << 10             // bytes read at a time
	steadyInterval  = 5 * time.Millisecond // between the lines of a steady stream
	pieceLineDelay  = time.Millisecond     // between the lines that are sent byte by byte
	bulkLineLength  = 3000                 // bytes
	bulkPauseEach   = 200                  // lines, in the mean, between pauses of a bulk reader
	maxBulkPause    = 60                   // milliseconds
	maxStreamFaults = 5                    // that a test prints
	lastLine        = "last" + lineEnd
	moveLine        = "MOVE" + lineEnd
)

// StreamKind is how a stream sends its lines.
type StreamKind int

const (
	// OneByOne streams send one line after the other, and time each.
	OneByOne StreamKind = iota
	// ByteByByte streams send byte by byte.
	ByteByByte
	// Idle streams send nothing.
	Idle
	// Bulk streams send as much as they can, to a reader that pauses at random: all buffers on the way fill up.
	Bulk
)

// Streams are connections that stay open and send numbered lines to a server that returns them: each byte that comes
// back is checked. Each stays on one connection to the end.
type Streams struct {
	Addr   string // of the node
	Server string // ID of the server where connections are already open, which leaves the module no choice; empty: none
	// CountMigrated has a stream of kind OneByOne that is asked to migrate end and count in Migrated; else that is a
	// fault.
	CountMigrated bool

	stop        chan struct{}
	running     sync.WaitGroup
	connections []net.Conn

	mu         sync.Mutex // guards the fields below
	faults     []string
	migrated   int             // streams that were asked to migrate
	roundTrips []time.Duration // of the lines of steady streams
}

// stream is one connection of a set of streams.
type stream struct {
	set        *Streams
	id         int
	kind       StreamKind
	connection net.Conn
	reader     *bufio.Reader
}

func (s *Streams) addFault(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, values...))
}

func (s *Streams) addMigrated() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.migrated++
}

// Migrated counts the streams that were asked to migrate. It is to be called after Stop.
func (s *Streams) Migrated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.migrated
}

// Start opens a number of streams of a kind, and returns when all are established.
func (s *Streams) Start(tb testing.TB, count int, kind StreamKind) {
	tb.Helper()
	if s.stop == nil {
		s.stop = make(chan struct{})
	}
	for range count {
		opened := s.open(tb, kind)
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			opened.run()
		}()
	}
}

// open establishes one stream.
func (s *Streams) open(tb testing.TB, kind StreamKind) *stream {
	tb.Helper()
	connection, err := net.DialTimeout("tcp", s.Addr, waitTimeout)
	if err != nil {
		tb.Fatal(err)
	}
	s.connections = append(s.connections, connection)
	id := len(s.connections)
	at := ""
	if s.Server != "" {
		at = ",at=" + s.Server
	}
	// Where the write fails, so does the read of the answer.
	_ = send(connection, fmt.Sprintf("OPEN %x %x c=chat,t=acme,d=900%s%s", id<<20, id, at, lineEnd))
	reader := bufio.NewReaderSize(connection, streamBuffer)
	_ = connection.SetReadDeadline(time.Now().Add(waitTimeout)) // it fails of a closed connection only
	answer, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "UP") {
		tb.Fatalf("a stream got %q, %v", answer, err)
	}
	_ = connection.SetReadDeadline(time.Time{}) // likewise
	return &stream{set: s, id: id, kind: kind, connection: connection, reader: reader}
}

// stopped reports whether the streams are to end.
func (s *Streams) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// run plays the stream in a goroutine of its own, until Streams.Stop ends it or a fault does.
func (s *stream) run() {
	switch s.kind {
	case Idle:
		<-s.set.stop
	case OneByOne:
		s.exchangeLines()
	default:
		s.sendAndCheck()
	}
}

// exchangeLines sends a line and reads it back, again and again.
func (s *stream) exchangeLines() {
	var roundTrips []time.Duration
	for i := 0; !s.set.stopped(); i++ {
		line := fmt.Sprintf("%d %d%s", s.id, i, lineEnd)
		began := time.Now()
		_ = s.connection.SetReadDeadline(began.Add(waitTimeout)) // it fails of a closed connection only
		got, err := s.exchangeLine(line)
		if s.set.CountMigrated && got == moveLine {
			s.set.addMigrated()
			return
		}
		if err != nil || got != line {
			s.set.addFault("stream %d, line %d: %q, %v", s.id, i, got, err)
			return
		}
		roundTrips = append(roundTrips, time.Since(began))
		time.Sleep(steadyInterval)
	}
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	s.set.roundTrips = append(s.set.roundTrips, roundTrips...)
}

// exchangeLine sends a line and reads one. Where the write fails the connection has ended, and what is read is what the
// node sent before that.
func (s *stream) exchangeLine(line string) (string, error) {
	sendErr := send(s.connection, line)
	got, err := s.reader.ReadString('\n')
	if sendErr != nil {
		return got, sendErr
	}
	return got, err
}

// line returns the line of a number.
func (s *stream) line(number int) []byte {
	if s.kind == ByteByByte {
		return fmt.Appendf(nil, "%d %d%s", s.id, number, lineEnd)
	}
	filling := bytes.Repeat([]byte{byte('a' + number%26)}, bulkLineLength)
	return fmt.Appendf(nil, "%d %d %s%s", s.id, number, filling, lineEnd)
}

// sendAndCheck sends lines while it reads and checks those that come back, up to the last one.
func (s *stream) sendAndCheck() {
	sent := make(chan int, 1)
	go func() { sent <- s.sendLines() }()
	received := s.checkLines()
	if lines := <-sent; lines != received {
		s.set.addFault("stream %d: %d lines came back of %d", s.id, received, lines)
	}
}

// sendLines sends lines until the streams end, and then the last one. It returns how many came before that.
func (s *stream) sendLines() int {
	number := 0
	for ; !s.set.stopped(); number++ {
		if err := s.sendLine(s.line(number)); err != nil {
			s.set.addFault("stream %d, line %d: %v", s.id, number, err)
			return number
		}
		if s.kind == ByteByByte {
			time.Sleep(pieceLineDelay)
		}
	}
	_ = send(s.connection, lastLine) // where it fails, so does the read of it
	return number
}

// sendLine sends a line as a whole, or byte by byte.
func (s *stream) sendLine(line []byte) error {
	if s.kind != ByteByByte {
		_, err := s.connection.Write(line)
		return err
	}
	for i := range line {
		if _, err := s.connection.Write(line[i : i+1]); err != nil {
			return err
		}
	}
	return nil
}

// checkLines reads and checks all lines up to the last one. It returns how many came before that.
func (s *stream) checkLines() int {
	rng := rand.New(rand.NewPCG(uint64(s.id), 3))
	for number := 0; ; number++ {
		if s.kind == Bulk && rng.IntN(bulkPauseEach) == 0 {
			time.Sleep(time.Duration(rng.IntN(maxBulkPause)) * time.Millisecond)
		}
		_ = s.connection.SetReadDeadline(time.Now().Add(waitTimeout)) // it fails of a closed connection only
		got, err := s.reader.ReadBytes('\n')
		if err == nil && string(got) == lastLine {
			return number
		}
		wanted := s.line(number)
		if err != nil || !bytes.Equal(got, wanted) {
			s.set.addFault("stream %d, line %d: %.40q for %.40q, %v", s.id, number, got, wanted, err)
			_ = s.connection.Close() // it ends the writer
			return number
		}
	}
}

// Stop ends the streams. It fails the test where a byte was lost, repeated or out of place, or a client was asked to
// migrate, and returns the round trips of the steady streams in ascending order.
func (s *Streams) Stop(tb testing.TB) []time.Duration {
	tb.Helper()
	close(s.stop)
	s.running.Wait()
	for _, connection := range s.connections {
		_ = connection.Close() // a stream with a fault has closed it
	}
	for i, fault := range s.faults {
		if i == maxStreamFaults {
			tb.Errorf("and %d more", len(s.faults)-maxStreamFaults)
			break
		}
		tb.Error(fault)
	}
	slices.Sort(s.roundTrips)
	return s.roundTrips
}
