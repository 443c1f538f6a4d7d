package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
)

// readyWithin is for the PONG of a process, from its start on.
const readyWithin = 6 * time.Second

// poorDiscoveries are ways in which discovery has no list for a process that starts.
var poorDiscoveries = map[string]func(t *testing.T) (addr string){
	"refuses connections": func(t *testing.T) string {
		addr, _ := reserved(t)
		return addr
	},
	"lets no connection come up": func(t *testing.T) string {
		addr, open := reserved(t)
		fillQueue(t, open(), addr)
		return addr
	},
	"says nothing": func(t *testing.T) string {
		return answering(t, func(c net.Conn) { io.Copy(io.Discard, c) })
	},
	"fails each call": func(t *testing.T) string {
		return answering(t, func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") })
	},
	"answers without end": func(t *testing.T) string {
		return answering(t, func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
			for _, err := c.Write([]byte(" ")); err == nil; _, err = c.Write([]byte(" ")) {
				time.Sleep(5 * time.Millisecond)
			}
		})
	},
	"answers after 20 s": func(t *testing.T) string {
		return answering(t, func(c net.Conn) {
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err == io.EOF {
				return // given up
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"+`{"version":70,"full":true,"servers":[]}`)
		})
	},
}

// answering is a discovery that reads each connection's first call and then does as it is told.
func answering(t *testing.T, answer func(c net.Conn)) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// fillQueue has a listener's queue full, so that the system leaves further connections unanswered.
func fillQueue(t *testing.T, l net.Listener, addr string) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) })
	for err == nil {
		var c net.Conn
		if c, err = net.DialTimeout("tcp", addr, 200*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
}

// TestReadyWithoutDiscovery starts the program where discovery is down, slow or silent: it says that it takes clients in time,
// however its lists come, and also if it was given no list to begin with.
func TestReadyWithoutDiscovery(t *testing.T) {
	bin := build(t)
	host := transcript.Host(t)
	for name, discovery := range poorDiscoveries {
		for _, membership := range []string{"on_request", "pushed"} {
			for _, known := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, list known: %v", name, membership, known), func(t *testing.T) {
					t.Parallel()
					list := `{"version":0,"full":true,"servers":[]}`
					if known {
						list = listOf(41, []listEntry{{"s-1", host, "SERVING"}})
					}
					settings := strings.NewReplacer("REPORTS", "off", "on_request", membership).Replace(transcript.Settings)
					path := filepath.Join(t.TempDir(), "config.json")
					config := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"memory_mb":64,"sockets":384},"known":%s,"settings":%s}`,
						discovery(t), list, settings)
					if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
						t.Fatal(err)
					}
					started := time.Now()
					run := launch(t, bin, []string{"GW_CONFIG=" + path})
					if took, err := pong(run.addr, started); err != nil || took > readyWithin {
						t.Errorf("ready after %v, %v", took, err)
					} else {
						t.Logf("ready after %v", took)
					}
					want := "BUSY"
					if known {
						want = "UP 1"
					}
					if answer, c := ask(run.addr, 1); !strings.HasPrefix(answer, want) {
						t.Errorf("a request gets %q, %s is wanted", answer, want)
					} else {
						c.Close()
					}
				})
			}
		}
	}
}

// pong asks a process whether it is ready, as often as it ends the connection without an answer, and returns when it said so.
func pong(addr string, started time.Time) (took time.Duration, err error) {
	for time.Since(started) < 2*readyWithin {
		var c net.Conn
		if c, err = net.Dial("tcp", addr); err != nil {
			return time.Since(started), err
		}
		fmt.Fprint(c, "PING\r\n")
		c.SetReadDeadline(started.Add(2 * readyWithin))
		var line string
		line, err = bufio.NewReader(c).ReadString('\n')
		c.Close()
		if line == "PONG\r\n" {
			break
		}
	}
	return time.Since(started), err
}
