package transcript

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Streams are connections that stand and pass numbered lines to a host that returns them: each byte that comes back is
// checked. They stay on one connection to the end.
type Streams struct {
	Addr string
	At   string // the host, as for connections that were open before; no module has a say then

	mu     sync.Mutex
	wrong  []string
	up     int
	pauses []time.Duration // of lines sent one by one: until each came back
	conns  []net.Conn
	stop   chan struct{}
	wait   sync.WaitGroup
}

// Kind is how a stream passes its lines.
type StreamKind int

const (
	Steady StreamKind = iota // one by one, each timed
	Pieces                   // byte by byte
	Still                    // none
	Bulk                     // as much as goes, to a client that reads in fits: all buffers on the way fill up
)

func (s *Streams) fault(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, a...))
}

// Run opens streams of a kind, and returns when all stand.
func (s *Streams) Run(t testing.TB, n int, kind StreamKind) {
	t.Helper()
	if s.stop == nil {
		s.stop = make(chan struct{})
	}
	for range n {
		c, err := net.DialTimeout("tcp", s.Addr, patience)
		if err != nil {
			t.Fatal(err)
		}
		s.up++
		id := s.up
		at := ""
		if s.At != "" {
			at = ",at=" + s.At
		}
		fmt.Fprintf(c, "OPEN %x %x c=chat,t=acme,d=900%s\r\n", id<<20, id, at)
		in := bufio.NewReaderSize(c, 64<<10)
		c.SetReadDeadline(time.Now().Add(patience))
		if first, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(first, "UP") {
			t.Fatalf("a stream got %q, %v", first, err)
		}
		c.SetReadDeadline(time.Time{})
		s.conns = append(s.conns, c)
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			switch kind {
			case Still:
				<-s.stop
			case Steady:
				s.steady(c, in, id)
			default:
				s.flow(c, in, id, kind)
			}
		}()
	}
}

func (s *Streams) over() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

func (s *Streams) steady(c net.Conn, in *bufio.Reader, id int) {
	var pauses []time.Duration
	for i := 0; !s.over(); i++ {
		line := fmt.Sprintf("%d %d\r\n", id, i)
		began := time.Now()
		c.SetReadDeadline(began.Add(patience))
		_, err := io.WriteString(c, line)
		got := ""
		if err == nil {
			got, err = in.ReadString('\n')
		}
		if err != nil || got != line {
			s.fault("stream %d, line %d: %q, %v", id, i, got, err)
			return
		}
		pauses = append(pauses, time.Since(began))
		time.Sleep(5 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses = append(s.pauses, pauses...)
}

// flow writes on and on; who reads checks every byte, up to the line that says that it was the last.
func (s *Streams) flow(c net.Conn, in *bufio.Reader, id int, kind StreamKind) {
	line := func(i int) []byte {
		if kind == Pieces {
			return fmt.Appendf(nil, "%d %d\r\n", id, i)
		}
		return fmt.Appendf(nil, "%d %d %s\r\n", id, i, bytes.Repeat([]byte{byte('a' + i%26)}, 3000))
	}
	written := make(chan int, 1)
	go func() {
		i := 0
		for ; !s.over(); i++ {
			l := line(i)
			for len(l) > 0 {
				n := len(l)
				if kind == Pieces {
					n = 1
				}
				if _, err := c.Write(l[:n]); err != nil {
					s.fault("stream %d, line %d: %v", id, i, err)
					written <- i
					return
				}
				l = l[n:]
			}
			if kind == Pieces {
				time.Sleep(time.Millisecond)
			}
		}
		io.WriteString(c, "last\r\n")
		written <- i
	}()
	rng := rand.New(rand.NewPCG(uint64(id), 3))
	i := 0
	for ; ; i++ {
		if kind == Bulk && rng.IntN(200) == 0 {
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		c.SetReadDeadline(time.Now().Add(patience))
		got, err := in.ReadBytes('\n')
		if err == nil && string(got) == "last\r\n" {
			break
		}
		if want := line(i); err != nil || !bytes.Equal(got, want) {
			s.fault("stream %d, line %d: %.40q for %.40q, %v", id, i, got, want, err)
			c.Close()
			break
		}
	}
	if n := <-written; n != i {
		s.fault("stream %d: %d lines came back of %d", id, i, n)
	}
}

// Stop ends the streams, fails a test in which a byte was lost, repeated or out of place or a client told to move, and
// returns the pauses of the steady ones, least first.
func (s *Streams) Stop(t testing.TB) []time.Duration {
	t.Helper()
	close(s.stop)
	s.wait.Wait()
	for _, c := range s.conns {
		c.Close()
	}
	for i, w := range s.wrong {
		if i == 5 {
			t.Errorf("and %d more", len(s.wrong)-5)
			break
		}
		t.Error(w)
	}
	slices.Sort(s.pauses)
	return s.pauses
}
