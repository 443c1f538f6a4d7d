package websocket

import (
	"bytes"
	"errors"
	"io"
	"unicode/utf8"

	"github.com/gobwas/ws"
)

var (
	errTooLong = errors.New("a message that is too long")
	errBinary  = errors.New("a binary message")
	errNotUTF8 = errors.New("a message that is no UTF-8")
)

// readFrame reads one frame. It reports whether another may follow: not if the frame was not received whole, or ended
// the connection.
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
		c.fail(errTooLong, ws.StatusMessageTooBig)
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

// handleFrame takes a frame, and reports whether another may follow.
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
		c.fail(errBinary, ws.StatusUnsupportedData)
		return false
	default: // text, or its continuation: ws.CheckHeader allows no other
		return c.handleFragment(header.Fin, payload)
	}
}

// handleFragment takes a part of a message, and the message to the handler if the part is its last.
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
	_ = ws.WriteHeader(&frame, header) // a buffer takes all, and the length is not negative
	frame.Write(payload)
	c.transport.Write(frame.Bytes())
}

// sendClose sends a close frame, once.
func (c *Conn) sendClose(code ws.StatusCode) {
	if c.up && !c.closeSent {
		c.closeSent = true
		c.send(ws.OpClose, ws.NewCloseFrameBody(code, ""))
	}
}
