package main

import (
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

const (
	defaultSessions  = 500
	loginsAtOnce     = 32
	loginTimeout     = 60 * time.Second
	xmppServers      = 4
	idleTime         = 2 * time.Second // long enough for the garbage collector to run
	certificateValid = 90 * 24 * time.Hour
)

// connectionSecurity is how clients protect their connections, as the value of tls in the operator's file.
type connectionSecurity string

const (
	securityNone     connectionSecurity = "clear"
	securityStartTLS connectionSecurity = "starttls"
	securityDirect   connectionSecurity = "direct"
)

// BenchmarkSessions establishes XMPP sessions through the built program, 32 at a time, leaves them idle, breaks their
// connections and resumes them. It reports sessions per second, memory per idle session and the times of resumptions.
//
//	SESSIONS=2000 go test -run - -bench Sessions -benchtime 1x ./cmd/spurwinch
func BenchmarkSessions(b *testing.B) {
	sessions := defaultSessions
	if text := os.Getenv("SESSIONS"); text != "" {
		var err error
		if sessions, err = strconv.Atoi(text); err != nil {
			b.Fatal("SESSIONS: ", err)
		}
	}
	program := build(b)
	for _, security := range []connectionSecurity{securityNone, securityStartTLS, securityDirect} {
		b.Run(string(security), func(b *testing.B) {
			bench := sessionBenchmark{security: security, sessions: sessions, addr: transcript.FreeAddr(b)}
			dir := b.TempDir()
			operatorFile := filepath.Join(dir, "operator.toml")
			writeFile(b, operatorFile, bench.operatorFile(b, dir))
			proc := start(b, program, []string{"TMPDIR=" + dir}, "-operator", operatorFile)
			for range b.N {
				bench.run(b, proc)
			}
			proc.signal(syscall.SIGKILL)
			_ = proc.wait() // fails because the process was killed
		})
	}
}

// sessionBenchmark establishes sessions and resumes them.
type sessionBenchmark struct {
	security connectionSecurity
	sessions int
	addr     string
}

// operatorFile starts XMPP servers and returns the content of the operator's file of a node that uses them.
func (s *sessionBenchmark) operatorFile(b *testing.B, dir string) string {
	b.Helper()
	var text strings.Builder
	add := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format, args...) } // a Builder never fails
	add("[limits]\nconnections = %d\n", 4*s.sessions+100)
	add("[[listener]]\naddr = %q\nprotocol = \"xmpp\"\n", s.addr)
	if s.security != securityNone {
		cert, key := transcript.WriteCertificate(b, dir, time.Now().Add(certificateValid), "farm.example")
		add("tls = %q\n[[certificate]]\ncert = %q\nkey = %q\n", s.security, cert, key)
	}
	add("[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n[[cluster]]\nname = \"k\"\nsessions = 100000\n")
	for i := range xmppServers {
		server, err := xmppserver.Listen(fmt.Sprint("h", i))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(server.Close)
		add("[[cluster.host]]\naddr = %q\n", server.Addr)
	}
	return text.String()
}

func (s *sessionBenchmark) run(b *testing.B, proc *process) {
	b.Helper()
	_, memoryBefore := usage(proc)
	began := time.Now()
	logins := s.logInAll(b, make([]string, s.sessions))
	b.ReportMetric(float64(s.sessions)/time.Since(began).Seconds(), "sessions/s")
	if b.Failed() {
		return
	}
	time.Sleep(idleTime)
	_, memoryIdle := usage(proc)
	b.ReportMetric(float64(memoryIdle-memoryBefore)*1024/float64(s.sessions), "KiB/idle")
	var ids []string
	for i := range logins {
		ids = append(ids, logins[i].client.ID)
		logins[i].breakOff()
	}
	resumptions := s.logInAll(b, ids)
	s.reportResumptions(b, resumptions)
}

// reportResumptions reports the share of resumed sessions and the times of the resumptions, and closes the connections.
func (s *sessionBenchmark) reportResumptions(b *testing.B, resumptions []login) {
	b.Helper()
	var times []time.Duration
	resumed := 0
	for i := range resumptions {
		resumption := &resumptions[i]
		times = append(times, resumption.took)
		if resumption.resumed {
			resumed++
		}
		if resumption.client != nil {
			_ = resumption.client.Conn.Close() // an error doesn't change the measurements
		}
	}
	slices.Sort(times)
	b.ReportMetric(float64(resumed)/float64(s.sessions), "resumed")
	b.ReportMetric(milliseconds(times[s.sessions/2]), "ms-p50")
	b.ReportMetric(milliseconds(times[s.sessions*99/100]), "ms-p99")
}

// login is an established session. Its client is nil if the login failed.
type login struct {
	client  *xmppserver.Client
	took    time.Duration
	resumed bool
}

// breakOff closes the connection without the closing alert of TLS.
func (l *login) breakOff() {
	if secure, ok := l.client.Conn.(*tls.Conn); ok {
		_ = secure.NetConn().Close() // the connection is meant to break
	}
	_ = l.client.Conn.Close() // a TLS connection is already broken
}

// logInAll establishes a session for each empty id and resumes the session of each other id.
func (s *sessionBenchmark) logInAll(b *testing.B, ids []string) []login {
	b.Helper()
	logins := make([]login, len(ids))
	slots := make(chan struct{}, loginsAtOnce)
	var running sync.WaitGroup
	for i, id := range ids {
		running.Add(1)
		slots <- struct{}{}
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			result, err := s.logIn(fmt.Sprint("u", i), id)
			if err != nil {
				b.Error(err)
				return
			}
			logins[i] = result
		}()
	}
	running.Wait()
	return logins
}

func (s *sessionBenchmark) logIn(user, id string) (result login, err error) {
	began := time.Now()
	deadline := began.Add(loginTimeout)
	if s.security == securityNone {
		result.client, result.resumed, err = xmppserver.Connect(s.addr, user, id, xmppserver.LoginPlain, deadline)
	} else {
		config := &tls.Config{InsecureSkipVerify: true}
		direct := s.security == securityDirect
		result.client, result.resumed, err = xmppserver.ConnectTLS(
			s.addr, user, id, xmppserver.LoginPlain, config, direct, deadline)
	}
	result.took = time.Since(began)
	return result, err
}
