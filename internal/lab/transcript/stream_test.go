package transcript

import (
	"bufio"
	"net"
	"testing"
)

// startServer starts a server that answers the first line of each connection with first, and each further line with the
// result of answer. If answer returns nil, the server closes the connection.
func startServer(t *testing.T, first string, answer func(line []byte) []byte) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails only if the listener is already closed
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }() // the client may have closed it already
		reader := bufio.NewReader(connection)
		if _, err := reader.ReadString('\n'); err != nil || send(connection, first) != nil {
			return
		}
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				return
			}
			reply := answer(line)
			if reply == nil || send(connection, string(reply)) != nil {
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

// TestStreamsDetectFaults checks that a stream of each kind detects a changed byte, a lost line, a repeated line and
// the end of the connection, and reports no fault if all lines come back.
func TestStreamsDetectFaults(t *testing.T) {
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
				continue // the stream would wait for the lost line until its timeout
			}
			streams.Start(t, 1, kind)
			if name != "none" {
				WaitFor(t, "a stream has detected a fault", func() bool {
					streams.mu.Lock()
					defer streams.mu.Unlock()
					return len(streams.faults) > 0
				})
			}
			close(streams.stop)
			streams.running.Wait()
			if found := len(streams.faults) > 0; found != (name != "none") {
				t.Errorf("case %s, stream kind %d: got faults %q, want none in case none and at least one otherwise",
					name, kind, streams.faults)
			}
		}
	}
}

// TestClientsCountOutcomes checks what clients count if the node serves, rejects, migrates, does not accept or loses
// them.
func TestClientsCountOutcomes(t *testing.T) {
	echo := func(line []byte) []byte { return line }
	migrate := func([]byte) []byte { return []byte("MOVE\r\n") }
	end := func([]byte) []byte { return nil }
	type counts struct{ established, rejected, migrated, notAccepted, lost bool }
	for name, test := range map[string]struct {
		first  string
		answer func([]byte) []byte
		want   counts
	}{
		"served":       {"UP 1\r\n", echo, counts{established: true}},
		"rejected":     {"BUSY 1\r\n", echo, counts{rejected: true}},
		"migrated":     {"UP 1\r\n", migrate, counts{established: true, migrated: true}},
		"not accepted": {"", end, counts{notAccepted: true}},
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
		if got != test.want {
			t.Errorf("case %s: got counts %+v, want the outcome in the case's name, and established after UP",
				name, got)
		}
	}
}
