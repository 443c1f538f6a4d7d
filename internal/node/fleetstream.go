package node

import (
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"time"

	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
)

const (
	streamTimeout = 5 * time.Second // for transferring one message over a stream
	// maxStreams limits the concurrent streams in each direction. With a complete message in each, they use 4 MB of a
	// node that has 32 MB. Beyond the limit, an outbound message is lost, and of the inbound ones that which has not
	// been complete for the longest time; the agent sends the next message of the same kind anyway.
	maxStreams  = 8
	lengthBytes = 4 // size of the prefix that holds a message's length
)

// frame returns a message with its length as a prefix.
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

// outboundStream sends one message over a stream. It is the handler of its connection.
type outboundStream struct {
	fleet  *fleet
	conn   *loop.Conn
	data   []byte
	cancel func() // cancels its timeout
	isDone bool
}

// OnConnect sends the message.
func (s *outboundStream) OnConnect() {
	s.conn.Write(s.data)
	s.done()
	s.conn.End()
}

// OnData ignores data: the receiver sends no answer.
func (s *outboundStream) OnData([]byte) {}

// OnDrained does nothing because End flushes the connection.
func (s *outboundStream) OnDrained() {}

// OnEnd frees the stream's place. A message that was not sent is lost.
func (s *outboundStream) OnEnd(error) { s.done() }

// done frees the stream's place among maxStreams. Further calls have no effect.
func (s *outboundStream) done() {
	if s.isDone {
		return
	}
	s.isDone = true
	s.data = nil
	s.fleet.outboundStreams--
	s.cancel()
}

// accept accepts a stream with one message from another node or from an operator. If there are too many streams, it
// ends the oldest one, so that peers that never finish their messages don't lock out the others. It returns nil if the
// fleet is closed.
func (f *fleet) accept(conn *loop.Conn) loop.Handler {
	if f.closed {
		return nil
	}
	if len(f.inboundStreams) >= maxStreams {
		oldest := f.inboundStreams[0]
		oldest.done()
		oldest.conn.Abort()
	}
	stream := &inboundStream{fleet: f, conn: conn}
	f.inboundStreams = append(f.inboundStreams, stream)
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
	cancel func() // cancels its timeout
	isDone bool
}

// OnConnect does nothing because it is called for dialed connections only.
func (s *inboundStream) OnConnect() {}

// OnDrained does nothing because a reply is short.
func (s *inboundStream) OnDrained() {}

// OnData appends a piece of the message, and handles the message once it is complete.
func (s *inboundStream) OnData(piece []byte) {
	if s.isDone {
		return
	}
	s.buffer = append(s.buffer, piece...)
	if len(s.buffer) < lengthBytes {
		return
	}
	length := int(binary.BigEndian.Uint32(s.buffer))
	receivedBytes := len(s.buffer) - lengthBytes
	switch {
	case length > agent.MaxMessage || receivedBytes > length:
		s.done()
		s.conn.Abort()
	case receivedBytes == length:
		message := s.buffer[lengthBytes:]
		s.done()
		s.handle(message)
	}
}

// handle answers an operator's call, or passes a message from another node to the agent.
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

// OnEnd drops a stream that ends before its message is complete.
func (s *inboundStream) OnEnd(err error) {
	if s.isDone {
		return
	}
	s.done()
	if errors.Is(err, io.EOF) {
		s.conn.End()
	}
}

// done frees the stream's place among maxStreams. Further calls have no effect.
func (s *inboundStream) done() {
	if s.isDone {
		return
	}
	s.isDone = true
	s.buffer = nil
	s.fleet.inboundStreams = slices.DeleteFunc(s.fleet.inboundStreams, func(other *inboundStream) bool {
		return other == s
	})
	s.cancel()
}
