package faults

import (
	"container/heap"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

const (
	maxListenAttempts  = 20
	maxDatagram        = 64 << 10
	maxWaiting         = 4096 // datagrams that wait on one link; the link drops further ones
	streamBuffer       = 16 << 10
	cutPollInterval    = 20 * time.Millisecond
	descriptorLackWait = 50 * time.Millisecond
)

// link forwards the traffic from one party to another.
type link struct {
	relay    *Relay
	from, to string
	target   atomic.Pointer[string]
	forward  atomic.Pointer[LinkFault]
	backward atomic.Pointer[LinkFault] // opposite direction, which only streams have
	udp      *net.UDPConn              // nil: a link without datagrams
	tcp      *net.TCPListener
}

// listen opens the link's sockets, both on the same port. The kernel picks the port of the first socket. If the second
// can't have the same port, listen tries again with another one.
func (l *link) listen(datagrams bool) error {
	var lastErr error
	for range maxListenAttempts {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		l.tcp = listener
		if !datagrams {
			return nil
		}
		address, err := net.ResolveUDPAddr("udp", listener.Addr().String())
		if err != nil {
			return err
		}
		l.udp, lastErr = net.ListenUDP("udp", address)
		if lastErr == nil {
			return nil
		}
		closeQuietly(listener)
	}
	return lastErr
}

// close closes the link's sockets.
func (l *link) close() {
	closeQuietly(l.tcp)
	if l.udp != nil {
		closeQuietly(l.udp)
	}
}

// applyRules sets the faults of both directions. The caller must hold the relay's mutex.
func (l *link) applyRules(rules []faultRule) {
	var forward, backward LinkFault
	for _, rule := range rules {
		if l.relay.matches(l.from, rule.from) && l.relay.matches(l.to, rule.to) {
			forward.add(rule.fault)
		}
		if l.relay.matches(l.to, rule.from) && l.relay.matches(l.from, rule.to) {
			backward.add(rule.fault)
		}
	}
	l.forward.Store(&forward)
	l.backward.Store(&backward)
}

// delayedDatagram is a datagram that waits until it is due.
type delayedDatagram struct {
	due  time.Time
	data []byte
}

// datagramQueue is a heap of datagrams, ordered by when they are due. It implements heap.Interface.
type datagramQueue []delayedDatagram

func (q datagramQueue) Len() int           { return len(q) }
func (q datagramQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q datagramQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

func (q *datagramQueue) Push(x any) {
	datagram, ok := x.(delayedDatagram)
	if !ok {
		panic("datagramQueue: only delayedDatagram values can be pushed")
	}
	*q = append(*q, datagram)
}

func (q *datagramQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// nextDue returns when the next datagram is due. It returns the zero time if the queue is empty.
func (q datagramQueue) nextDue() time.Time {
	if len(q) == 0 {
		return time.Time{}
	}
	return q[0].due
}

// datagramForwarder forwards the datagrams of one link. Only one goroutine may use it.
type datagramForwarder struct {
	link   *link
	sender *net.UDPConn
	rng    *rand.Rand
	queue  datagramQueue
	idleAt time.Time // when the link will have sent the earlier datagrams at its limited rate
}

// forwardDatagrams forwards datagrams until the link is closed.
func (l *link) forwardDatagrams(sender *net.UDPConn, rng *rand.Rand) {
	forwarder := &datagramForwarder{link: l, sender: sender, rng: rng}
	buffer := make([]byte, maxDatagram)
	for {
		setReadDeadline(l.udp, forwarder.queue.nextDue())
		size, _, err := l.udp.ReadFromUDP(buffer)
		now := time.Now()
		switch {
		case err == nil:
			forwarder.receive(buffer[:size], now)
		case !isTimeout(err):
			return
		}
		forwarder.sendDue(now)
	}
}

// receive drops, delays or duplicates a datagram according to the link's fault.
func (f *datagramForwarder) receive(data []byte, now time.Time) {
	counts := &f.link.relay.Counts
	counts.Datagrams.Add(1)
	fault := *f.link.forward.Load()
	if fault.Cut || f.rng.Float64() < fault.Drop || len(f.queue) >= maxWaiting {
		counts.Dropped.Add(1)
		return
	}
	repeated := f.rng.Float64() < fault.Repeat
	f.enqueue(data, fault, now)
	if repeated {
		counts.Repeated.Add(1)
		f.enqueue(data, fault, now)
	}
}

// enqueue queues a copy of a datagram with the time when it is due.
func (f *datagramForwarder) enqueue(data []byte, fault LinkFault, now time.Time) {
	due := now.Add(fault.Delay + time.Duration(f.rng.Float64()*float64(fault.Spread)))
	if fault.Rate > 0 {
		if f.idleAt.Before(now) {
			f.idleAt = now
		}
		f.idleAt = f.idleAt.Add(transmissionTime(len(data), fault.Rate))
		due = due.Add(f.idleAt.Sub(now))
	}
	heap.Push(&f.queue, delayedDatagram{due, append([]byte(nil), data...)})
}

// transmissionTime returns how long size bytes take at a rate in bytes per second.
func transmissionTime(size, rate int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(rate)
}

// sendDue sends the datagrams that are due.
func (f *datagramForwarder) sendDue(now time.Time) {
	for len(f.queue) > 0 && !f.queue[0].due.After(now) {
		data := f.queue[0].data
		heap.Pop(&f.queue)
		target, err := net.ResolveUDPAddr("udp", *f.link.target.Load())
		if err != nil {
			continue // a target without a valid address receives nothing
		}
		_, _ = f.sender.WriteToUDP(data, target) // an error loses the datagram, as a network may
	}
}

// acceptStreams forwards streams until the link is closed.
func (l *link) acceptStreams() {
	for {
		conn, err := l.tcp.Accept()
		if isOutOfDescriptors(err) {
			l.relay.countDescriptorLack(err)
			if l.relay.pause(descriptorLackWait) {
				continue
			}
		}
		if err != nil {
			return
		}
		l.relay.Counts.Streams.Add(1)
		l.relay.background.Go(func() { l.forwardStream(conn) })
	}
}

// forwardStream forwards one stream. While the link is cut, nothing passes, so the parties can't notice the cut by an
// error.
func (l *link) forwardStream(client net.Conn) {
	defer closeQuietly(client)
	for l.forward.Load().Cut || l.backward.Load().Cut {
		if !l.relay.pause(cutPollInterval) {
			return
		}
	}
	server, err := net.Dial("tcp", *l.target.Load())
	if err != nil {
		l.relay.countDescriptorLack(err)
		reset(client) // the closest to a refusal, since the client is already connected
		return
	}
	defer closeQuietly(server)
	done := make(chan struct{}, 2)
	go func() {
		l.copyStream(server, client, &l.forward)
		done <- struct{}{}
	}()
	go func() {
		l.copyStream(client, server, &l.backward)
		done <- struct{}{}
	}()
	for range 2 {
		select {
		case <-done:
		case <-l.relay.closed:
			return
		}
	}
}

// copyStream copies one direction of a stream, including its end, and applies the direction's fault.
func (l *link) copyStream(target, source net.Conn, fault *atomic.Pointer[LinkFault]) {
	buffer := make([]byte, streamBuffer)
	for {
		size, err := source.Read(buffer)
		if (size > 0 || err != nil) && !l.delayStream(size, fault) {
			return
		}
		if size > 0 {
			l.relay.Counts.Bytes.Add(int64(size))
			if _, err := target.Write(buffer[:size]); err != nil {
				reset(source)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			endWrites(target)
			return
		case err != nil:
			reset(target)
			return
		}
	}
}

// delayStream waits until size bytes may pass. It returns false if the relay is closed meanwhile.
func (l *link) delayStream(size int, fault *atomic.Pointer[LinkFault]) bool {
	current := fault.Load()
	for current.Cut {
		if !l.relay.pause(cutPollInterval) {
			return false
		}
		current = fault.Load()
	}
	if current.Delay > 0 && !l.relay.pause(current.Delay) {
		return false
	}
	return current.Rate <= 0 || l.relay.pause(transmissionTime(size, current.Rate))
}
