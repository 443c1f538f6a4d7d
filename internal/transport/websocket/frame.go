package websocket

import (
	"bytes"
	"errors"
	"io"
	"unicode/utf8"

	"github.com/gobwas/ws"
)

var (
	errMessageTooLong = errors.New("message is too long")
	errBinaryMessage  = errors.New("binary messages are not supported")
	errNotUTF8        = errors.New("message is not valid UTF-8")
)

// readFrame reads one frame. It reports whether to read on: false if the frame is still incomplete or has ended the
// connection.
func (c *Conn) readFrame() bool {
	reader := bytes.NewReader(c.in)
	header, err := ws.ReadHeader(reader)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	if err == nil {
		err = ws.CheckHeader(header, c.state)
	}
	switch {
	case err != nil:
		c.fail(err, ws.StatusProtocolError)
		return false
	case header.Length > int64(c.maxMessage-len(c.message)):
		c.fail(errMessageTooLong, ws.StatusMessageTooBig)
		return false
	case int64(reader.Len()) < header.Length:
		return false
	}
	start := len(c.in) - reader.Len()
	end := start + int(header.Length)
	payload := c.in[start:end]
	c.in = c.in[end:]
	ws.Cipher(payload, header.Mask, 0)
	return c.handleFrame(header, payload)
}

// handleFrame handles a frame and reports whether to read on.
func (c *Conn) handleFrame(header ws.Header, payload []byte) bool {
	switch header.OpCode {
	case ws.OpPing:
		c.send(ws.OpPong, payload)
		return true
	case ws.OpPong:
		return true
	case ws.OpClose:
		c.sendClose(ws.StatusNormalClosure)
		c.finish(io.EOF)
		return false
	case ws.OpBinary:
		c.fail(errBinaryMessage, ws.StatusUnsupportedData)
		return false
	default: // text or a continuation of it: ws.CheckHeader allows no other
		return c.handleFragment(header.Fin, payload)
	}
}

// handleFragment adds a fragment to the message. If the fragment is the last, it passes the message to the handler. It
// reports whether to read on.
func (c *Conn) handleFragment(last bool, payload []byte) bool {
	if !last {
		c.state = c.state.Set(ws.StateFragmented)
		c.message = append(c.message, payload...)
		return true
	}
	c.state = c.state.Clear(ws.StateFragmented)
	message := payload
	if len(c.message) > 0 {
		message = append(c.message, payload...)
		c.message = nil
	}
	if !utf8.Valid(message) {
		c.fail(errNotUTF8, ws.StatusInvalidFramePayloadData)
		return false
	}
	c.handler.OnData(message)
	return true
}

// send writes one frame.
func (c *Conn) send(opCode ws.OpCode, payload []byte) {
	var frame bytes.Buffer
	frame.Grow(ws.MaxHeaderSize + len(payload))
	header := ws.Header{Fin: true, OpCode: opCode, Length: int64(len(payload))}
	_ = ws.WriteHeader(&frame, header) // can't fail: a buffer accepts all bytes, and the length is not negative
	frame.Write(payload)
	c.transport.Write(frame.Bytes())
}

// sendClose sends a close frame unless one was already sent or the handshake is not done.
func (c *Conn) sendClose(code ws.StatusCode) {
	if c.established && !c.closeSent {
		c.closeSent = true
		c.send(ws.OpClose, ws.NewCloseFrameBody(code, ""))
	}
}
