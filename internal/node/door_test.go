package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/simwire"
)

// small is a node of few descriptors with its door, on a loop that runs.
func small(t testing.TB, sockets int) (p *Program, at string) {
	n := config.Node{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:9", Seed: 1, Sockets: sockets}
	var err error
	if n.Settings, err = simwire.DecodeSettings([]byte(strings.Replace(settings, "REPORTS", "off", 1))); err != nil {
		t.Fatal(err)
	}
	if n.Known, err = cluster.Parse([]byte(fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":%q,"state":"SERVING"}]}`, transcript.Host(t)))); err != nil {
		t.Fatal(err)
	}
	made := startProcess(t, n, "")
	made.on(func() { err = made.listenAdmin("127.0.0.1:0") })
	if err != nil {
		t.Fatal(err)
	}
	return made.Program, made.at
}

// TestDoorInACrowd has a node of few descriptors full of clients that say nothing or half a line, and its door full of
// callers that finish no call, don't read, or come in single bytes: who asks gets an answer, and usual clients are served.
func TestDoorInACrowd(t *testing.T) {
	p, at := small(t, reservedDescriptors+80)
	var all []net.Conn
	defer func() {
		for _, c := range all {
			c.Close()
		}
	}()
	dial := func(addr, say string) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		fmt.Fprint(c, say)
		return c
	}
	player := &transcript.Player{Addr: at, Values: map[string]string{}}
	for i := range 400 {
		dial(at, [3]string{"", "OPEN 01", "PING\r\n"}[i%3])
		if i%20 == 0 {
			dial(p.adminAddr.String(), [2]string{"", "GET /api/re"}[i/20%2])
			dial(p.adminAddr.String(), "GET /api/telemetry HTTP/1.1\r\n\r\n") // reads nothing
		}
		if i%100 == 99 {
			if status, body := transcript.Call(p.adminAddr.String(), "/api/ready"); status != http.StatusOK {
				t.Errorf("after %d: %d %s", i, status, body)
			}
			if status, body := transcript.Call(p.adminAddr.String(), "/api/telemetry"); status != http.StatusOK || !strings.Contains(body, "gw.in_flight:") {
				t.Errorf("after %d: %d %s", i, status, body)
			}
			player.Play(t, fmt.Sprintf("c open\nc > OPEN %d 01 c=chat,d=4000\nc < UP 1\n", i))
		}
	}
	slow := dial(p.adminAddr.String(), "")
	for _, b := range []byte("GET /api/ready HTTP/1.1\r\n\r\n") {
		if _, err := slow.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(slow)
	if err != nil || !strings.HasSuffix(string(got), "\r\n\r\nready\n") {
		t.Errorf("a call in single bytes got %q, %v", got, err)
	}
}

// BenchmarkFigures is one fetch of the figures over a socket, with standing connections.
func BenchmarkFigures(b *testing.B) {
	for _, standing := range []int{0, 1000} {
		b.Run(fmt.Sprint(standing), func(b *testing.B) {
			p, at := small(b, 4096)
			for i := range standing {
				c, err := net.Dial("tcp", at)
				if err != nil {
					b.Fatal(err)
				}
				defer c.Close()
				fmt.Fprintf(c, "OPEN %d 01 c=chat,d=4000,at=s\r\n", i)
				var up [6]byte
				if _, err := io.ReadFull(c, up[:]); err != nil || string(up[:]) != "UP 1\r\n" {
					b.Fatal(string(up[:]), err)
				}
			}
			for b.Loop() {
				if status, body := transcript.Call(p.adminAddr.String(), "/api/telemetry"); status != http.StatusOK {
					b.Fatal(body)
				}
			}
			done := make(chan int, 1)
			p.loop.Post(func() {
				start := time.Now()
				var buf []byte
				for range 1000 {
					buf = p.appendFigures(buf[:0])
				}
				b.ReportMetric(float64(time.Since(start).Nanoseconds())/1000, "ns/rendering")
				done <- len(buf)
			})
			<-done
		})
	}
}
