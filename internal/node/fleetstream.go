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
	// maxStreams bounds streams in each direction at once: with a complete message in each, 4 MB of a node that has 32.
	// A message beyond it is lost; the agent sends the next of its kind anyway.
	maxStreams  = 8
	lengthBytes = 4 // of the prefix that has a message's length
)

// frame returns a message behind its length.
func frame(message []byte) []byte {
	framed := make([]byte, 0, len(message)+lengthBytes)
	framed = binary.BigEndian.AppendUint32(framed, uint32(len(message)))
	return append(framed, message...)
}

// sendStream sends a message that is too long for a datagram.
func (f *fleet) sendStream(to string, message []byte) {
	if f.outboundStreams >= maxStreams {
		return
	}
	f.outboundStreams++
	stream := &outboundStream{fleet: f, data: frame(message)}
	deadline := f.loop.Now().Add(streamTimeout)
	stream.conn = f.loop.Dial(to, deadline, stream)
	stream.cancel = f.loop.At(deadline, func() {
		stream.OnEnd(loop.ErrTimeout)
		stream.conn.Abort()
	})
}

// outboundStream is one message on its way by a stream. It is the handler of its connection.
type outboundStream struct {
	fleet  *fleet
	conn   *loop.Conn
	data   []byte
	cancel func() // of its timeout
	isDone bool
}

// OnConnect sends the message.
func (s *outboundStream) OnConnect() {
	s.conn.Write(s.data)
	s.done()
	s.conn.End()
}

// OnData ignores data: the other side answers nothing.
func (s *outboundStream) OnData([]byte) {}

// OnDrained does nothing: End flushes.
func (s *outboundStream) OnDrained() {}

// OnEnd frees the stream; a message that was not sent is lost.
func (s *outboundStream) OnEnd(error) { s.done() }

// done frees the stream's place, once.
func (s *outboundStream) done() {
	if s.isDone {
		return
	}
	s.isDone = true
	s.data = nil
	s.fleet.outboundStreams--
	s.cancel()
}

// accept accepts a stream with one message of another node, or of an operator. Nil: there are too many.
func (f *fleet) accept(conn *loop.Conn) loop.Handler {
	if f.inboundStreams >= maxStreams || f.closed {
		return nil
	}
	f.inboundStreams++
	stream := &inboundStream{fleet: f, conn: conn}
	stream.cancel = f.loop.At(f.loop.Now().Add(streamTimeout), func() {
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
	cancel func() // of its timeout
	isDone bool
}

// OnConnect does nothing: it is for dialled connections.
func (s *inboundStream) OnConnect() {}

// OnDrained does nothing: a reply is short.
func (s *inboundStream) OnDrained() {}

// OnData receives a piece of the message.
func (s *inboundStream) OnData(piece []byte) {
	if s.isDone {
		return
	}
	s.buffer = append(s.buffer, piece...)
	if len(s.buffer) < lengthBytes {
		return
	}
	length := int(binary.BigEndian.Uint32(s.buffer))
	received := len(s.buffer) - lengthBytes
	switch {
	case length > agent.MaxMessage || received > length:
		s.done()
		s.conn.Abort()
	case received == length:
		s.done()
		s.handle(s.buffer[lengthBytes:])
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
	fleet.applyDecisions()
}

// OnEnd drops a stream that ended before its message was complete.
func (s *inboundStream) OnEnd(err error) {
	if s.isDone {
		return
	}
	s.done()
	if errors.Is(err, io.EOF) {
		s.conn.End()
	}
}

// done frees the stream's place, once.
func (s *inboundStream) done() {
	if s.isDone {
		return
	}
	s.isDone = true
	s.fleet.inboundStreams--
	s.cancel()
}
