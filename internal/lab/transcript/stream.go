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
	streamBuffer       = 64 << 10             // size of the read buffer in bytes
	oneByOneInterval   = 5 * time.Millisecond // between the lines of a OneByOne stream
	byteByByteInterval = time.Millisecond     // between the lines of a ByteByByte stream
	bulkLineLength     = 3000                 // bytes
	bulkPauseEvery     = 200                  // mean number of lines between pauses of a bulk reader
	maxBulkPause       = 60                   // milliseconds, exclusive
	maxStreamFaults    = 5                    // number of faults that a test prints
	lastLine           = "last" + lineEnd
	moveLine           = "MOVE" + lineEnd
)

// StreamKind tells how a stream sends its lines.
type StreamKind int

const (
	// OneByOne streams send each line after the echo of the previous one, and measure the round trip of each.
	OneByOne StreamKind = iota
	// ByteByByte streams send each byte of their lines in a write of its own.
	ByteByByte
	// Idle streams send nothing.
	Idle
	// Bulk streams send as much as they can, and their reader pauses at random, so that all buffers on the way fill up.
	Bulk
)

// Streams are long-lived connections that send numbered lines to a server that echoes them, and check each byte of the
// echo. Each stream uses one connection until it ends.
type Streams struct {
	Addr string // of the node
	// Server is the ID of the server where the client's connections are already open, which leaves placement no choice.
	// It is empty if there is no such server.
	Server string
	// CountMigrated makes a stream of kind OneByOne end and count in Migrated when it is asked to migrate. If it is
	// false, a request to migrate is a fault.
	CountMigrated bool

	stop        chan struct{}
	running     sync.WaitGroup
	connections []net.Conn

	mu         sync.Mutex // guards the fields below
	faults     []string
	migrated   int             // streams that were asked to migrate
	roundTrips []time.Duration // of the lines of OneByOne streams
}

// stream is one of a set of streams, with its connection.
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

// Migrated returns the number of streams that were asked to migrate. Call it after Stop.
func (s *Streams) Migrated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.migrated
}

// Start opens streams of the given kind and returns when all are established.
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
	// If the write fails, the read of the answer fails too.
	_ = send(connection, fmt.Sprintf("OPEN %x %x c=chat,t=acme,d=900%s%s", id<<20, id, at, lineEnd))
	reader := bufio.NewReaderSize(connection, streamBuffer)
	_ = connection.SetReadDeadline(time.Now().Add(waitTimeout)) // fails only if the connection is closed
	answer, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(answer, "UP") {
		tb.Fatalf("open a stream: got answer %q, error %v, want UP", answer, err)
	}
	_ = connection.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	return &stream{set: s, id: id, kind: kind, connection: connection, reader: reader}
}

// stopped reports whether Stop has been called.
func (s *Streams) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// run plays the stream until Streams.Stop or a fault ends it. It runs in a goroutine of its own.
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

// exchangeLines repeatedly sends a line and reads its echo.
func (s *stream) exchangeLines() {
	var roundTrips []time.Duration
	for i := 0; !s.set.stopped(); i++ {
		line := fmt.Sprintf("%d %d%s", s.id, i, lineEnd)
		began := time.Now()
		_ = s.connection.SetReadDeadline(began.Add(waitTimeout)) // fails only if the connection is closed
		got, err := s.exchangeLine(line)
		if s.set.CountMigrated && got == moveLine {
			s.set.addMigrated()
			return
		}
		if err != nil || got != line {
			s.set.addFault("stream %d, line %d: got %q, error %v", s.id, i, got, err)
			return
		}
		roundTrips = append(roundTrips, time.Since(began))
		time.Sleep(oneByOneInterval)
	}
	s.set.mu.Lock()
	defer s.set.mu.Unlock()
	s.set.roundTrips = append(s.set.roundTrips, roundTrips...)
}

// exchangeLine sends a line and reads one. If the write fails, the connection has ended, and exchangeLine returns what
// the node sent before the end.
func (s *stream) exchangeLine(line string) (string, error) {
	sendErr := send(s.connection, line)
	got, err := s.reader.ReadString('\n')
	if sendErr != nil {
		return got, sendErr
	}
	return got, err
}

// line returns the line that the stream sends under the given number.
func (s *stream) line(number int) []byte {
	if s.kind == ByteByByte {
		return fmt.Appendf(nil, "%d %d%s", s.id, number, lineEnd)
	}
	filling := bytes.Repeat([]byte{byte('a' + number%26)}, bulkLineLength)
	return fmt.Appendf(nil, "%d %d %s%s", s.id, number, filling, lineEnd)
}

// sendAndCheck sends lines while it reads and checks their echoes, until it has read the last line.
func (s *stream) sendAndCheck() {
	sent := make(chan int, 1)
	go func() { sent <- s.sendLines() }()
	received := s.checkLines()
	if lines := <-sent; lines != received {
		s.set.addFault("stream %d: got %d lines back, want %d", s.id, received, lines)
	}
}

// sendLines sends lines until Stop is called, and then lastLine. It returns the number of lines before lastLine.
func (s *stream) sendLines() int {
	number := 0
	for ; !s.set.stopped(); number++ {
		if err := s.sendLine(s.line(number)); err != nil {
			s.set.addFault("stream %d, line %d: %v", s.id, number, err)
			return number
		}
		if s.kind == ByteByByte {
			time.Sleep(byteByByteInterval)
		}
	}
	_ = send(s.connection, lastLine) // if it fails, the read of its echo fails too
	return number
}

// sendLine sends a line in one write, or byte by byte if the stream is of kind ByteByByte.
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

// checkLines reads and checks all lines up to lastLine. It returns the number of lines before lastLine.
func (s *stream) checkLines() int {
	rng := rand.New(rand.NewPCG(uint64(s.id), 3))
	for number := 0; ; number++ {
		if s.kind == Bulk && rng.IntN(bulkPauseEvery) == 0 {
			time.Sleep(time.Duration(rng.IntN(maxBulkPause)) * time.Millisecond)
		}
		_ = s.connection.SetReadDeadline(time.Now().Add(waitTimeout)) // fails only if the connection is closed
		got, err := s.reader.ReadBytes('\n')
		if err == nil && string(got) == lastLine {
			return number
		}
		wanted := s.line(number)
		if err != nil || !bytes.Equal(got, wanted) {
			s.set.addFault("stream %d, line %d: got %.40q, want %.40q, error %v", s.id, number, got, wanted, err)
			_ = s.connection.Close() // makes the writer end
			return number
		}
	}
}

// Stop ends the streams and returns the round trips of the OneByOne streams in ascending order. It reports a test error
// for each fault: a byte was lost, repeated or out of place, or a client was unexpectedly asked to migrate.
func (s *Streams) Stop(tb testing.TB) []time.Duration {
	tb.Helper()
	close(s.stop)
	s.running.Wait()
	for _, connection := range s.connections {
		_ = connection.Close() // a stream with a fault has closed it
	}
	for i, fault := range s.faults {
		if i == maxStreamFaults {
			tb.Errorf("and %d more faults", len(s.faults)-maxStreamFaults)
			break
		}
		tb.Error(fault)
	}
	slices.Sort(s.roundTrips)
	return s.roundTrips
}
