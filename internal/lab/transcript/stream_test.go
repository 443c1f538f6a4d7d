package transcript

import (
	"bufio"
	"net"
	"testing"
)

// startServer starts a server that establishes each connection and then passes each line on to answer; an answer of nil
// ends the connection.
func startServer(t *testing.T, first string, answer func(line []byte) []byte) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // it fails of a closed one only
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }() // the test has ended it, or is told by it
		reader := bufio.NewReader(connection)
		if _, err := reader.ReadString('\n'); err != nil || send(connection, first) != nil {
			return
		}
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				return
			}
			answered := answer(line)
			if answered == nil || send(connection, string(answered)) != nil {
				return
			}
		}
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// TestStreamsFindFaults checks that a stream of each kind finds a changed byte, a lost line and a repeated one, and no
// fault where all come back.
func TestStreamsFindFaults(t *testing.T) {
	change := func(line []byte) []byte { return append([]byte{'x'}, line[1:]...) }
	for name, answer := range map[string]func(count int, line []byte) []byte{
		"none":     func(_ int, line []byte) []byte { return line },
		"changed":  func(_ int, line []byte) []byte { return change(line) },
		"lost":     func(count int, line []byte) []byte { return line[:len(line)*min(1, count-1)] },
		"repeated": func(_ int, line []byte) []byte { return append(line, line...) },
		"ended":    func(int, []byte) []byte { return nil },
	} {
		for _, kind := range []StreamKind{OneByOne, ByteByByte, Bulk} {
			count := 0
			streams := &Streams{Addr: startServer(t, "UP 1\r\n", func(line []byte) []byte {
				count++
				return answer(count, line)
			})}
			if name == "lost" && kind == OneByOne {
				continue // it would wait for the line until its timeout
			}
			streams.Start(t, 1, kind)
			if name != "none" {
				WaitFor(t, "a fault is found", func() bool {
					streams.mu.Lock()
					defer streams.mu.Unlock()
					return len(streams.faults) > 0
				})
			}
			close(streams.stop)
			streams.running.Wait()
			if found := len(streams.faults) > 0; found != (name != "none") {
				t.Errorf("%s, kind %d: faults %q", name, kind, streams.faults)
			}
		}
	}
}

// TestClientCounts checks what clients count of nodes that accept, reject, migrate and lose them.
func TestClientCounts(t *testing.T) {
	echo := func(line []byte) []byte { return line }
	migrate := func([]byte) []byte { return []byte("MOVE\r\n") }
	end := func([]byte) []byte { return nil }
	type counts struct{ established, rejected, migrated, notAccepted, lost bool }
	for name, test := range map[string]struct {
		first  string
		answer func([]byte) []byte
		wanted counts
	}{
		"served":       {"UP 1\r\n", echo, counts{established: true}},
		"rejected":     {"BUSY 1\r\n", echo, counts{rejected: true}},
		"migrated":     {"UP 1\r\n", migrate, counts{established: true, migrated: true}},
		"not answered": {"", end, counts{notAccepted: true}},
		"lost":         {"UP 1\r\n", end, counts{established: true, lost: true}},
	} {
		clients := &Clients{Addr: startServer(t, test.first, test.answer)}
		if test.first == "" {
			clients.Addr = FreeAddr(t)
		}
		for range 3 {
			clients.Connect()
		}
		got := counts{
			established: clients.Established.Load() > 0,
			rejected:    clients.Rejected.Load() > 0,
			migrated:    clients.Migrated.Load() > 0,
			notAccepted: clients.NotAccepted.Load() > 0,
			lost:        clients.Lost.Load() > 0,
		}
		if got != test.wanted {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
