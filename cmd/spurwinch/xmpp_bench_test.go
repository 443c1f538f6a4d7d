package main

import (
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

// BenchmarkSessions brings XMPP sessions up on the built program, 32 at a time, leaves them idle, breaks and resumes them: sessions a
// second, memory of an idle one, times of a resumption. SESSIONS=2000 go test -run - -bench Sessions -benchtime 1x ./cmd/spurwinch
func BenchmarkSessions(b *testing.B) {
	n := 500
	fmt.Sscan(os.Getenv("SESSIONS"), &n)
	bin := build(b)
	for _, how := range []string{"clear", "starttls", "direct"} {
		b.Run(how, func(b *testing.B) {
			dir := b.TempDir()
			var text strings.Builder
			addr := transcript.FreeAddr(b)
			fmt.Fprintf(&text, "[limits]\nconnections = %d\n[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n", 4*n+100, addr)
			if how != "clear" {
				cert, key := transcript.Keys(b, dir, time.Now().Add(time.Hour*24*90), "farm.example")
				fmt.Fprintf(&text, "tls = %q\n[[certificate]]\ncert = %q\nkey = %q\n", how, cert, key)
			}
			text.WriteString("[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\nsessions = 100000\n")
			for i := range 4 {
				s, err := xmppserver.Listen(fmt.Sprint("h", i))
				if err != nil {
					b.Fatal(err)
				}
				defer s.Close()
				fmt.Fprintf(&text, "[[cluster.host]]\naddr = %q\n", s.Addr)
			}
			file := filepath.Join(dir, "operator.toml")
			if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
				b.Fatal(err)
			}
			p := launch(b, bin, []string{"TMPDIR=" + dir}, "-operator", file)
			all := func(ids []string) (clients []*xmppserver.Client, took []time.Duration, resumed int) {
				clients, took = make([]*xmppserver.Client, n), make([]time.Duration, n)
				var wait sync.WaitGroup
				var mu sync.Mutex
				gate := make(chan bool, 32)
				for i := range n {
					wait.Add(1)
					gate <- true
					go func() {
						defer func() { <-gate; wait.Done() }()
						id := ""
						if ids != nil {
							id = ids[i]
						}
						began := time.Now()
						by := began.Add(60 * time.Second)
						var c *xmppserver.Client
						var was bool
						var err error
						if how == "clear" {
							c, was, err = xmppserver.Connect(addr, fmt.Sprint("u", i), id, xmppserver.Plain, by)
						} else {
							c, was, err = xmppserver.ConnectTLS(addr, fmt.Sprint("u", i), id, xmppserver.Plain, &tls.Config{InsecureSkipVerify: true}, how == "direct", by)
						}
						if err != nil {
							b.Error(err)
							return
						}
						clients[i], took[i] = c, time.Since(began)
						mu.Lock()
						defer mu.Unlock()
						if was {
							resumed++
						}
					}()
				}
				wait.Wait()
				return clients, took, resumed
			}
			for range b.N {
				_, before := holds(p)
				began := time.Now()
				clients, _, _ := all(nil)
				b.ReportMetric(float64(n)/time.Since(began).Seconds(), "sessions/s")
				if b.Failed() {
					return
				}
				time.Sleep(2 * time.Second) // idle, and the collector has been there
				_, after := holds(p)
				b.ReportMetric(float64(after-before)*1024/float64(n), "KiB/idle")
				var ids []string
				for _, c := range clients {
					ids = append(ids, c.ID)
					if k, ok := c.Conn.(*tls.Conn); ok {
						k.NetConn().Close()
					}
					c.Conn.Close()
				}
				again, took, resumed := all(ids)
				slices.Sort(took)
				b.ReportMetric(float64(resumed)/float64(n), "resumed")
				b.ReportMetric(float64(took[n/2].Microseconds())/1000, "ms-p50")
				b.ReportMetric(float64(took[n*99/100].Microseconds())/1000, "ms-p99")
				for _, c := range again {
					if c != nil {
						c.Conn.Close()
					}
				}
			}
			p.cmd.Process.Kill()
			<-p.done
		})
	}
}
