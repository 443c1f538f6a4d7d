package faults

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fault is what happens to one direction of a link.
type Fault struct {
	Drop   float64       // part of the datagrams that are lost
	Delay  time.Duration // more on the way
	Spread time.Duration // and up to this much more, drawn; datagrams overtake one another
	Repeat float64       // part of the datagrams that come twice
	Rate   int           // bytes a second; 0: as many as come
	Cut    bool          // nothing passes
}

// Relay carries every link between two parties, each direction by itself.
type Relay struct {
	mu     sync.Mutex
	rules  []rule
	links  []*link
	zoneOf map[string]string
	closed chan struct{}
	wait   sync.WaitGroup
	out    *net.UDPConn // what goes on leaves here: who sent it is in the message
	Counts struct{ Datagrams, Dropped, Repeated, Streams, Bytes, Short atomic.Int64 }
	seed   uint64
}

type rule struct {
	from, to string // a party, zone:Z, hosts:Z, or * for all
	fault    Fault
}

type link struct {
	relay    *Relay
	from, to string
	dest     atomic.Pointer[string]
	there    atomic.Pointer[Fault]
	back     atomic.Pointer[Fault]
	udp      *net.UDPConn
	tcp      *net.TCPListener
	out      *net.UDPConn
}

// NewRelay makes a relay without links.
func NewRelay(seed uint64) *Relay {
	return &Relay{zoneOf: map[string]string{}, closed: make(chan struct{}), seed: seed}
}

// Place says in which zone a party stands: zone:Z for nodes, hosts:Z for hosts, clients:Z for clients.
func (r *Relay) Place(party, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneOf[party] = zone
}

// Link makes the link from one party to another and gives the address that stands for the second at the first. Datagrams are
// carried from the first to the second only, streams both ways.
func (r *Relay) Link(from, to, dest string, datagrams bool) (string, error) {
	l := &link{relay: r, from: from, to: to}
	l.dest.Store(&dest)
	var err error
	// One number for both kinds of socket; the kernel picks it, and another go is made where the second is taken.
	for range 20 {
		if l.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return "", err
		}
		if !datagrams {
			break
		}
		at := l.tcp.Addr().(*net.TCPAddr)
		if l.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			break
		}
		l.tcp.Close()
	}
	if err != nil {
		return "", err
	}
	if datagrams {
		if r.out == nil {
			if r.out, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
				return "", err
			}
		}
		l.out = r.out
		r.wait.Add(1)
		go l.datagrams(rand.New(rand.NewPCG(r.seed, uint64(len(r.links)))))
	}
	r.wait.Add(1)
	go l.streams()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = append(r.links, l)
	l.settle(r.rules)
	return l.tcp.Addr().String(), nil
}

// Move has a party stand at another address.
func (r *Relay) Move(to, dest string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		if l.to == to {
			l.dest.Store(&dest)
		}
	}
}

// Set puts a fault on all links from one party, or zone, to another; a fault without any effect takes it off.
func (r *Relay) Set(from, to string, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := r.rules[:0]
	for _, x := range r.rules {
		if x.from != from || x.to != to {
			keep = append(keep, x)
		}
	}
	r.rules = keep
	if f != (Fault{}) {
		r.rules = append(r.rules, rule{from, to, f})
	}
	for _, l := range r.links {
		l.settle(r.rules)
	}
}

// Heal takes all faults off.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = nil
	for _, l := range r.links {
		l.settle(nil)
	}
}

func (l *link) settle(rules []rule) {
	is := func(party, what string) bool {
		return what == "*" || what == party || l.relay.zoneOf[party] == what
	}
	var there, back Fault
	for _, x := range rules {
		if is(l.from, x.from) && is(l.to, x.to) {
			there.add(x.fault)
		}
		if is(l.to, x.from) && is(l.from, x.to) {
			back.add(x.fault)
		}
	}
	l.there.Store(&there)
	l.back.Store(&back)
}

func (f *Fault) add(o Fault) {
	f.Drop, f.Repeat = max(f.Drop, o.Drop), max(f.Repeat, o.Repeat)
	f.Delay, f.Spread = f.Delay+o.Delay, f.Spread+o.Spread
	if f.Rate == 0 || o.Rate > 0 && o.Rate < f.Rate {
		f.Rate = max(f.Rate, o.Rate)
	}
	f.Cut = f.Cut || o.Cut
}

// Close ends all links.
func (r *Relay) Close() {
	close(r.closed)
	r.mu.Lock()
	for _, l := range r.links {
		l.tcp.Close()
		if l.udp != nil {
			l.udp.Close()
		}
	}
	if r.out != nil {
		r.out.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

type late struct {
	at time.Time
	p  []byte
}

type lateQueue []late

func (q lateQueue) Len() int           { return len(q) }
func (q lateQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q lateQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *lateQueue) Push(x any)        { *q = append(*q, x.(late)) }
func (q *lateQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const mostWaiting = 4096 // datagrams on one link; what comes on top is lost

func (l *link) datagrams(rng *rand.Rand) {
	defer l.relay.wait.Done()
	buf := make([]byte, 64<<10)
	var q lateQueue
	var free time.Time // when the link has sent what went before, at its rate
	c := &l.relay.Counts
	for {
		if len(q) > 0 {
			l.udp.SetReadDeadline(q[0].at)
		} else {
			l.udp.SetReadDeadline(time.Time{})
		}
		n, _, err := l.udp.ReadFromUDP(buf)
		now := time.Now()
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			return
		}
		if err == nil {
			c.Datagrams.Add(1)
			f := *l.there.Load()
			if f.Cut || rng.Float64() < f.Drop || len(q) >= mostWaiting {
				c.Dropped.Add(1)
			} else {
				times := 1
				if rng.Float64() < f.Repeat {
					times = 2
					c.Repeated.Add(1)
				}
				for range times {
					at := now.Add(f.Delay + time.Duration(rng.Float64()*float64(f.Spread)))
					if f.Rate > 0 {
						if free.Before(now) {
							free = now
						}
						free = free.Add(time.Duration(n) * time.Second / time.Duration(f.Rate))
						at = at.Add(free.Sub(now))
					}
					heap.Push(&q, late{at, append([]byte(nil), buf[:n]...)})
				}
			}
		}
		for len(q) > 0 && !q[0].at.After(now) {
			x := heap.Pop(&q).(late)
			if to, err := net.ResolveUDPAddr("udp", *l.dest.Load()); err == nil {
				l.out.WriteToUDP(x.p, to)
			}
		}
	}
}

func (l *link) streams() {
	defer l.relay.wait.Done()
	for {
		c, err := l.tcp.AcceptTCP()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.relay.short(err)
			if l.pause(50 * time.Millisecond) {
				continue
			}
		}
		if err != nil {
			return
		}
		l.relay.Counts.Streams.Add(1)
		l.relay.wait.Add(1)
		go func() {
			defer l.relay.wait.Done()
			l.stream(c)
		}()
	}
}

// stream carries one stream. A cut link says nothing: not that it is cut either.
func (l *link) stream(c *net.TCPConn) {
	defer c.Close()
	for l.there.Load().Cut || l.back.Load().Cut {
		if !l.pause(20 * time.Millisecond) {
			return
		}
	}
	d, err := net.Dial("tcp", *l.dest.Load())
	if err != nil {
		l.relay.short(err)
		c.SetLinger(0) // as refused as can be: the first side has a connection already
		return
	}
	o := d.(*net.TCPConn)
	defer o.Close()
	done := make(chan struct{}, 2)
	go func() { l.carry(o, c, &l.there); done <- struct{}{} }()
	go func() { l.carry(c, o, &l.back); done <- struct{}{} }()
	for range 2 {
		select {
		case <-done:
		case <-l.relay.closed:
			return
		}
	}
}

// short notes that the laboratory itself has no descriptor left: what fails then is not the fleet's doing.
func (r *Relay) short(err error) {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		r.Counts.Short.Add(1)
	}
}

func (l *link) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-l.relay.closed:
		return false
	}
}

func (l *link) carry(to, from *net.TCPConn, fault *atomic.Pointer[Fault]) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for n > 0 || err != nil { // an end is held back as bytes are
			f := fault.Load()
			if !f.Cut {
				if wait := f.Delay; wait > 0 && !l.pause(wait) {
					return
				}
				if f.Rate > 0 && !l.pause(time.Duration(n)*time.Second/time.Duration(f.Rate)) {
					return
				}
				break
			}
			if !l.pause(20 * time.Millisecond) {
				return
			}
		}
		if n > 0 {
			l.relay.Counts.Bytes.Add(int64(n))
			if _, e := to.Write(buf[:n]); e != nil {
				from.SetLinger(0)
				from.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				to.CloseWrite()
			} else {
				to.SetLinger(0)
				to.Close()
			}
			return
		}
	}
}

func (f Fault) String() string {
	return fmt.Sprintf("drop %.2f delay %v spread %v repeat %.2f rate %d cut %v", f.Drop, f.Delay, f.Spread, f.Repeat, f.Rate, f.Cut)
}
