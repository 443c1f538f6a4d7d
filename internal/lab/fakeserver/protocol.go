package fakeserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	maxLine    = 4096 // bytes
	maxAnswers = 256  // lines of one connection that wait for an answer
)

// Keywords of the platform's protocol.
const (
	wordOpen        = "OPEN"
	wordPing        = "PING"
	wordStats       = "STATS"
	wordPong        = "PONG"
	wordEstablished = "UP"
	wordBusy        = "BUSY"
	wordError       = "ERR"
	wordSyntax      = "SYNTAX"
)

// writeLine writes a line. If the write fails, the next read fails too and ends the connection.
func writeLine(socket net.Conn, line string) {
	_, _ = io.WriteString(socket, line+"\r\n")
}

// readLine reads a line and returns it without the line ending.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadSlice('\n')
	return strings.TrimRight(string(line), "\r\n"), err
}

// openRequest is a node's request to open a connection for a client.
type openRequest struct {
	key   uint64 // of the client
	class int    // index in the fleet's classes; -1: unknown
	group uint64
}

// parseOpen parses the line OPEN ID KEY FIELDS.
func (f *Fleet) parseOpen(line string) (request openRequest, ok bool) {
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] != wordOpen {
		return request, false
	}
	fields := map[string]string{}
	for _, field := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	request.key, _ = strconv.ParseUint(words[2], 16, 64)      // an invalid number counts as 0
	request.group, _ = strconv.ParseUint(fields["g"], 16, 64) // 0 means no group
	request.class = slices.IndexFunc(f.Description.Classes, func(class fleet.Class) bool {
		return class.Name == fields["c"]
	})
	return request, true
}

// serve serves one connection of a node.
func (s *Server) serve(socket net.Conn, latency time.Duration) {
	defer func() {
		s.mu.Lock()
		delete(s.sockets, socket)
		s.mu.Unlock()
		_ = socket.Close() // the node may have closed it already
	}()
	reader := bufio.NewReaderSize(socket, maxLine)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	if line == wordPing || line == wordStats {
		s.serveHealthChecks(socket, reader, line, latency)
		return
	}
	request, ok := s.fleet.parseOpen(line)
	if !ok {
		writeLine(socket, wordSyntax)
		return
	}
	if request.class < 0 {
		writeLine(socket, wordError)
		return
	}
	time.Sleep(3 * latency) // the TCP handshake takes two one-way latencies, the line one
	opened := &connection{socket: socket, group: request.group}
	if !s.setUp(opened, request, latency) {
		return
	}
	defer func() {
		s.mu.Lock()
		s.removeConnection(opened)
		s.mu.Unlock()
	}()
	s.echo(socket, reader, latency)
}

// reserveSetup counts a pending set-up. It returns false if the server has no capacity for it.
func (s *Server) reserveSetup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed || len(s.connections)+s.setups >= s.Kind.Connections || s.setups >= s.Kind.SetupQueue {
		return false
	}
	s.setups++
	return true
}

// setUp does the set-up work of a new connection and answers UP or BUSY. It reports whether the connection is open.
func (s *Server) setUp(opened *connection, request openRequest, latency time.Duration) bool {
	if !s.reserveSetup() {
		time.Sleep(latency)
		writeLine(opened.socket, wordBusy)
		return false
	}
	class := &s.fleet.Description.Classes[request.class]
	time.Sleep(s.fleet.store.call(time.Now()))
	time.Sleep(time.Until(s.queueWork(class.SetupWork.Seconds())))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setups--
	if s.killed {
		return false
	}
	now := time.Now()
	opened.process = workload.NewLoadProcess(s.fleet.seed^request.key*3, class, 0)
	s.addConnection(opened, now)
	if s.overloads(class, now) {
		go s.Kill() // a server that fails in slow start is not restarted
		return false
	}
	go func() {
		time.Sleep(latency)
		writeLine(opened.socket, fmt.Sprintf("%s %x", wordEstablished, request.key))
	}()
	return true
}

// queueWork queues work, in core seconds, in addition to the work of the connections. It returns the time when the
// work will be done.
func (s *Server) queueWork(work float64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.drawJobs(now)
	s.work += work
	return s.runJob(work, now)
}

// delayedLine is a line that the server returns at a given time.
type delayedLine struct {
	at   time.Time
	line string
}

// echo returns each line when the work queued before it is done. The number of waiting lines is limited by how many
// lines a client sends before it reads.
func (s *Server) echo(socket net.Conn, reader *bufio.Reader, latency time.Duration) {
	lines := make(chan delayedLine, maxAnswers)
	written := make(chan struct{})
	go func() {
		defer close(written)
		writeDelayed(socket, lines)
	}()
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			break
		}
		s.mu.Lock()
		at := s.answerTime(time.Now()).Add(2 * latency)
		s.mu.Unlock()
		lines <- delayedLine{at, string(line)}
	}
	close(lines)
	_ = socket.Close() // the client may have closed it already
	<-written
}

// writeDelayed writes each line at its time until the channel is closed. After a failed write it drops all further
// lines.
func writeDelayed(socket net.Conn, lines <-chan delayedLine) {
	broken := false
	for line := range lines {
		if broken {
			continue
		}
		time.Sleep(time.Until(line.at))
		if _, err := io.WriteString(socket, line.line); err != nil {
			_ = socket.Close() // ends the reader
			broken = true
		}
	}
}

// serveHealthChecks answers PING and STATS requests, each of which costs the work of a health check. line is the first
// request.
func (s *Server) serveHealthChecks(socket net.Conn, reader *bufio.Reader, line string, latency time.Duration) {
	for {
		time.Sleep(2 * latency)
		s.queueWork(s.fleet.Description.LoadReports.HealthCheckWork.Seconds())
		answer := wordPong
		if line == wordStats {
			answer += " " + s.currentReport()
		}
		if _, err := io.WriteString(socket, answer+"\r\n"); err != nil {
			return
		}
		var err error
		line, err = readLine(reader)
		if err != nil {
			return
		}
	}
}

func (s *Server) currentReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}
