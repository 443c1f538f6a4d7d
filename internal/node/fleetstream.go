package node

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
)

const (
	streamTimeout = 5 * time.Second // for one message by a stream
	// maxStreams bounds streams each way at once: with a complete message in each, 4 MB of a node that has 32. What
	// finds no place comes again with the next message of its kind.
	maxStreams = 8
	frameBytes = 4 // of the length before a message
)

// frame is a message with its length before it.
func frame(message []byte) []byte {
	framed := make([]byte, 0, len(message)+frameBytes)
	framed = binary.BigEndian.AppendUint32(framed, uint32(len(message)))
	return append(framed, message...)
}

// sendStream sends a message that no datagram holds.
func (f *fleet) sendStream(to string, message []byte) {
	if f.outboundStreams >= maxStreams {
		f.lostMessages++
		return
	}
	f.outboundStreams++
	stream := &outboundStream{fleet: f, data: frame(message)}
	deadline := f.loop.Now().Add(streamTimeout)
	stream.conn = f.loop.Dial(to, deadline, stream)
	stream.stop = f.loop.At(deadline, func() {
		stream.OnEnd(loop.ErrTimeout)
		stream.conn.Abort()
	})
}

// outboundStream is one message on its way by a stream. It is the handler of its connection.
type outboundStream struct {
	fleet *fleet
	conn  *loop.Conn
	data  []byte
	stop  func() // of its timeout
	over  bool
}

// OnConnect sends the message.
func (s *outboundStream) OnConnect() {
	s.conn.Write(s.data)
	s.done()
	s.conn.End()
}

// OnData is of no use: nothing is answered.
func (s *outboundStream) OnData([]byte) {}

// OnDrained is of no use: End flushes.
func (s *outboundStream) OnDrained() {}

// OnEnd counts a message that was not sent.
func (s *outboundStream) OnEnd(error) {
	if !s.over {
		s.fleet.lostMessages++
		s.done()
	}
}

func (s *outboundStream) done() {
	if s.over {
		return
	}
	s.over = true
	s.data = nil
	s.fleet.outboundStreams--
	s.stop()
}

// accept takes a stream with one message of another node, or of an operator. Nil: there are too many.
func (f *fleet) accept(conn *loop.Conn) loop.Handler {
	if f.inboundStreams >= maxStreams || f.closed {
		return nil
	}
	f.inboundStreams++
	stream := &inboundStream{fleet: f, conn: conn}
	stream.stop = f.loop.At(f.loop.Now().Add(streamTimeout), func() {
		stream.done()
		conn.Abort()
	})
	return stream
}

// inboundStream receives one message. It is the handler of its connection.
type inboundStream struct {
	fleet  *fleet
	conn   *loop.Conn
	buffer []byte
	stop   func() // of its timeout
	over   bool
}

// OnConnect is for connections dialled.
func (s *inboundStream) OnConnect() {}

// OnDrained is of no use here.
func (s *inboundStream) OnDrained() {}

// OnData takes a piece of the message.
func (s *inboundStream) OnData(piece []byte) {
	if s.over {
		return
	}
	s.buffer = append(s.buffer, piece...)
	if len(s.buffer) < frameBytes {
		return
	}
	length := int(binary.BigEndian.Uint32(s.buffer))
	received := len(s.buffer) - frameBytes
	switch {
	case length > agent.MaxMessage || received > length:
		s.done()
		s.conn.Abort()
	case received == length:
		s.done()
		s.handle(s.buffer[frameBytes:])
	}
}

// handle answers an operator's call, or passes another node's message on to the agent.
func (s *inboundStream) handle(message []byte) {
	fleet := s.fleet
	if fleet.agent == nil || fleet.closed {
		s.conn.Abort()
		return
	}
	if reply, ok := fleet.agent.Answer(message, fleet.now()); ok {
		s.conn.Write(frame(reply))
	} else {
		fleet.agent.Receive(message, fleet.now())
	}
	s.conn.End()
	fleet.carryOut()
}

// OnEnd forgets a stream that ended before its message was complete.
func (s *inboundStream) OnEnd(err error) {
	if s.over {
		return
	}
	s.done()
	if errors.Is(err, io.EOF) {
		s.conn.End()
	}
}

func (s *inboundStream) done() {
	if s.over {
		return
	}
	s.over = true
	s.fleet.inboundStreams--
	s.stop()
}
