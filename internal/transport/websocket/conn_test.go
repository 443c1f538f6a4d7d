package websocket

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/gobwas/ws"
)

// fakeTransport records the written bytes and whether the connection was ended.
type fakeTransport struct {
	bytes.Buffer
	ended, full bool
}

func (f *fakeTransport) Write(data []byte) { f.Buffer.Write(data) }
func (f *fakeTransport) End()              { f.ended = true }
func (f *fakeTransport) Abort()            { f.ended = true }
func (f *fakeTransport) Pause()            {}
func (f *fakeTransport) Resume()           {}
func (f *fakeTransport) Full() bool        { return f.full }
func (f *fakeTransport) LeaveIdleQueue()   {}

// recordingHandler is a handler that records the messages and the error of OnEnd.
type recordingHandler struct {
	conn     *Conn
	messages []string
	end      error
}

func (r *recordingHandler) OnConnect()            {}
func (r *recordingHandler) OnData(message []byte) { r.messages = append(r.messages, string(message)) }
func (r *recordingHandler) OnEnd(err error)       { r.end = err }
func (r *recordingHandler) OnDrained()            {}

// request is a client's HTTP request that can be upgraded.
const request = "GET /xmpp HTTP/1.1\r\nHost: farm.example\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
	"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: chat, xmpp\r\n\r\n"

// start returns the handler and the transport of a connection before its handshake.
func start(maxMessage int) (*recordingHandler, *fakeTransport) {
	handler := &recordingHandler{}
	transport := &fakeTransport{}
	handler.conn = Server("xmpp", maxMessage, func(run func()) { run() }, handler)
	handler.conn.SetTransport(transport)
	return handler, transport
}

// maxTestMessage is the maximum length of a message, in bytes, on a connection of startEstablished.
const maxTestMessage = 100

// startEstablished returns the handler and the transport of a connection after its handshake.
func startEstablished() (*recordingHandler, *fakeTransport) {
	handler, transport := start(maxTestMessage)
	handler.conn.OnData([]byte(request))
	return handler, transport
}

// frame returns a frame as a client sends it.
func frame(opCode ws.OpCode, last bool, payload string) []byte {
	var written bytes.Buffer
	mask := [4]byte{1, 2, 3, 4}
	header := ws.Header{Fin: last, OpCode: opCode, Masked: true, Mask: mask, Length: int64(len(payload))}
	_ = ws.WriteHeader(&written, header) // can't fail: a buffer accepts all bytes, and the length is not negative
	masked := []byte(payload)
	ws.Cipher(masked, mask, 0)
	written.Write(masked)
	return written.Bytes()
}

// TestMessagesAreIndependentOfSplit receives whole messages, and fragments with a ping between them, split into pieces
// of several sizes, also byte by byte. The handler must get the same messages for every size.
func TestMessagesAreIndependentOfSplit(t *testing.T) {
	long := strings.Repeat("oats ", 60)
	stream := bytes.Join([][]byte{
		[]byte(request),
		frame(ws.OpText, true, "<open/>"),
		frame(ws.OpText, false, "<mes"),
		frame(ws.OpPing, true, "still there?"),
		frame(ws.OpContinuation, false, "sage"),
		frame(ws.OpContinuation, true, "/>"),
		frame(ws.OpPong, true, ""),
		frame(ws.OpText, true, long),
		frame(ws.OpClose, true, "\x03\xe8"),
	}, nil)
	wantMessages := fmt.Sprint([]string{"<open/>", "<message/>", long})
	for _, size := range []int{1, 2, 3, 7, 50, len(stream)} {
		handler, transport := start(1000)
		for rest := stream; len(rest) > 0; {
			received := min(size, len(rest))
			handler.conn.OnData(bytes.Clone(rest[:received]))
			rest = rest[received:]
		}
		if fmt.Sprint(handler.messages) != wantMessages || !errors.Is(handler.end, io.EOF) || !transport.ended {
			t.Errorf("pieces of %d bytes: got messages %q and end %v, want all messages and EOF",
				size, handler.messages, handler.end)
		}
		written := transport.String()
		if !strings.HasPrefix(written, "HTTP/1.1 101 ") || !strings.HasSuffix(written, "\x88\x02\x03\xe8") {
			t.Errorf("pieces of %d bytes: got written bytes %q, want a response and a close frame", size, written)
		}
		for _, part := range []string{
			"Sec-WebSocket-Protocol: xmpp", "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=", "\x8a\x0cstill there?",
		} {
			if !strings.Contains(written, part) {
				t.Errorf("pieces of %d bytes: got written bytes %q, want them to contain %q", size, written, part)
			}
		}
	}
}

// TestMessagesPrecedeEndAfterPause makes a client send messages and end the connection while the handler has paused.
// After Resume the handler must get the messages first and then the end.
func TestMessagesPrecedeEndAfterPause(t *testing.T) {
	handler, _ := startEstablished()
	handler.conn.Pause()
	handler.conn.OnData(append(frame(ws.OpText, true, "a"), frame(ws.OpText, true, "b")...))
	handler.conn.OnEnd(io.EOF)
	if len(handler.messages) != 0 || handler.end != nil {
		t.Errorf("while paused: got messages %q and end %v, want none", handler.messages, handler.end)
	}
	handler.conn.Resume()
	if fmt.Sprint(handler.messages) != "[a b]" || !errors.Is(handler.end, io.EOF) {
		t.Errorf("after Resume: got messages %q and end %v, want a, b and %v", handler.messages, handler.end, io.EOF)
	}
}

// TestInvalidFrameEndsConnection receives frames that the protocol or this server doesn't allow. The connection must
// end with the status code of the violation.
func TestInvalidFrameEndsConnection(t *testing.T) {
	const (
		protocolError   = "\x03\xea"
		unsupportedData = "\x03\xeb"
		invalidPayload  = "\x03\xef"
		messageTooBig   = "\x03\xf1"
	)
	long := strings.Repeat("x", 60)
	for name, test := range map[string]struct {
		received []byte
		code     string
	}{
		"no mask":                               {[]byte{0x81, 1, 'x'}, protocolError},
		"reserved bits":                         {[]byte{0xf1, 0x80, 0, 0, 0, 0}, protocolError},
		"unknown opcode":                        {[]byte{0x83, 0x80, 0, 0, 0, 0}, protocolError},
		"continuation without a first fragment": {frame(ws.OpContinuation, true, "x"), protocolError},
		"text between fragments": {
			append(frame(ws.OpText, false, "x"), frame(ws.OpText, true, "y")...), protocolError,
		},
		"fragmented ping":     {frame(ws.OpPing, false, "x"), protocolError},
		"ping over 125 bytes": {frame(ws.OpPing, true, strings.Repeat("x", 126)), protocolError},
		"binary":              {frame(ws.OpBinary, true, "x"), unsupportedData},
		"invalid UTF-8":       {frame(ws.OpText, true, "\xff"), invalidPayload},
		"message too long":    {frame(ws.OpText, true, strings.Repeat("x", maxTestMessage+1)), messageTooBig},
		"message too long in fragments": {
			append(frame(ws.OpText, false, long), frame(ws.OpContinuation, true, long)...), messageTooBig,
		},
		"frame of the maximum length": {
			[]byte{0x81, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}, messageTooBig,
		},
	} {
		t.Run(name, func(t *testing.T) {
			handler, transport := startEstablished()
			transport.Reset()
			handler.conn.OnData(test.received)
			handler.conn.OnData(frame(ws.OpText, true, "more"))
			if handler.end == nil || len(handler.messages) > 0 || !transport.ended {
				t.Errorf("got messages %q and end %v, want no message and an error", handler.messages, handler.end)
			}
			if want := "\x88\x02" + test.code; transport.String() != want {
				t.Errorf("OnData: got written bytes %q, want %q", transport.String(), want)
			}
		})
	}
}

// TestInvalidRequestEndsConnection receives requests that can't be upgraded. The connection must end.
func TestInvalidRequestEndsConnection(t *testing.T) {
	for name, received := range map[string]string{
		"no HTTP":             "OPEN 1 1 c=chat\r\n\r\n",
		"no WebSocket":        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"no subprotocol":      strings.Replace(request, "Sec-WebSocket-Protocol: chat, xmpp\r\n", "", 1),
		"another subprotocol": strings.Replace(request, "chat, xmpp", "chat", 1),
		"another method":      strings.Replace(request, "GET", "POST", 1),
		"too long":            "GET /" + strings.Repeat("x", maxRequest),
	} {
		t.Run(name, func(t *testing.T) {
			handler, transport := start(100)
			handler.conn.OnData([]byte(received))
			if handler.end == nil || !transport.ended || strings.Contains(transport.String(), " 101 ") {
				t.Errorf("got end %v and wrote %q, want an error and no upgrade", handler.end, transport.String())
			}
		})
	}
}

// FuzzFrames receives arbitrary bytes after the handshake. The outcome must be the same for every split of the bytes,
// and the buffered bytes must be bounded.
func FuzzFrames(f *testing.F) {
	f.Add(append(frame(ws.OpText, false, "<mes"), frame(ws.OpContinuation, true, "sage/>")...), 3)
	f.Add([]byte{0x81, 0xfe, 0, 200, 0, 0, 0, 0}, 1)
	f.Fuzz(func(t *testing.T, received []byte, splitAt int) {
		whole, wholeTransport := startEstablished()
		whole.conn.OnData(bytes.Clone(received))
		split, splitTransport := startEstablished()
		splitAt = max(0, min(splitAt, len(received)))
		split.conn.OnData(bytes.Clone(received[:splitAt]))
		split.conn.OnData(bytes.Clone(received[splitAt:]))
		if fmt.Sprint(whole.messages, whole.end) != fmt.Sprint(split.messages, split.end) ||
			wholeTransport.String() != splitTransport.String() {
			t.Errorf("received whole: got %q, %v; in two parts: got %q, %v; want the same",
				whole.messages, whole.end, split.messages, split.end)
		}
		if len(whole.conn.message) > maxTestMessage || len(whole.conn.in) > len(received) {
			t.Errorf("buffered %d bytes of messages and %d of frames, want at most the limit and the received bytes",
				len(whole.conn.message), len(whole.conn.in))
		}
	})
}

// TestUnfinishedFrameKeepsNoEarlierOnes guards against a connection that holds the memory of a long message, which it
// has passed on, for as long as the next frame is unfinished.
func TestUnfinishedFrameKeepsNoEarlierOnes(t *testing.T) {
	const longMessage, maxHeld = 60 << 10, 64
	handler, _ := start(2 * longMessage)
	handler.conn.OnData([]byte(request))
	text := frame(ws.OpText, true, strings.Repeat("x", longMessage))
	next := frame(ws.OpText, true, "next")
	handler.conn.OnData(append(text, next[0]))
	if got := handler.conn.Buffered(); len(handler.messages) != 1 || got > maxHeld {
		t.Errorf("after a long message and a byte: got %d messages and %d bytes held, want 1 and at most %d",
			len(handler.messages), got, maxHeld)
	}
	handler.conn.OnData(next[1:])
	if len(handler.messages) != 2 || handler.messages[1] != "next" {
		t.Errorf("after the rest of the frame: got %d messages, want 2, the second of them next", len(handler.messages))
	}
}
