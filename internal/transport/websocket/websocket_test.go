package websocket

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/gobwas/ws"
)

// wire takes what is written, and the end.
type wire struct {
	bytes.Buffer
	ended, full bool
}

func (w *wire) Write(p []byte)  { w.Buffer.Write(p) }
func (w *wire) End()            { w.ended = true }
func (w *wire) Abort()          { w.ended = true }
func (w *wire) Pause()          {}
func (w *wire) Resume()         {}
func (w *wire) Full() bool      { return w.full }
func (w *wire) LeaveIdleQueue() {}

// taker notes messages and the end.
type taker struct {
	got []string
	end error
	c   *Conn
}

func (h *taker) OnConnect()      {}
func (h *taker) OnData(p []byte) { h.got = append(h.got, string(p)) }
func (h *taker) OnEnd(err error) { h.end = err }
func (h *taker) OnDrained()      {}

const request = "GET /xmpp HTTP/1.1\r\nHost: farm.example\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: chat, xmpp\r\n\r\n"

func start(most int) (*taker, *wire) {
	h, w := &taker{}, &wire{}
	h.c = Server("xmpp", most, func(fn func()) { fn() }, h)
	h.c.On(w)
	return h, w
}

// frame is one of a client.
func frame(op ws.OpCode, fin bool, p string) []byte {
	var b bytes.Buffer
	mask := [4]byte{1, 2, 3, 4}
	ws.WriteHeader(&b, ws.Header{Fin: fin, OpCode: op, Masked: true, Mask: mask, Length: int64(len(p))})
	body := []byte(p)
	ws.Cipher(body, mask, 0)
	b.Write(body)
	return b.Bytes()
}

// TestMessages has messages come whole, in fragments with a ping between, and byte by byte: the same come out for every split.
func TestMessages(t *testing.T) {
	long := strings.Repeat("oats ", 60)
	var all []byte
	all = append(all, request...)
	all = append(all, frame(ws.OpText, true, "<open/>")...)
	all = append(all, frame(ws.OpText, false, "<mes")...)
	all = append(all, frame(ws.OpPing, true, "still there?")...)
	all = append(all, frame(ws.OpContinuation, false, "sage")...)
	all = append(all, frame(ws.OpContinuation, true, "/>")...)
	all = append(all, frame(ws.OpPong, true, "")...)
	all = append(all, frame(ws.OpText, true, long)...)
	all = append(all, frame(ws.OpClose, true, "\x03\xe8")...)
	for _, size := range []int{1, 2, 3, 7, 50, len(all)} {
		h, w := start(1000)
		for p := all; len(p) > 0; {
			n := min(size, len(p))
			h.c.OnData(bytes.Clone(p[:n]))
			p = p[n:]
		}
		if fmt.Sprint(h.got) != fmt.Sprint([]string{"<open/>", "<message/>", long}) || h.end != io.EOF || !w.ended {
			t.Errorf("in pieces of %d: %q, %v", size, h.got, h.end)
		}
		said := w.String()
		if !strings.HasPrefix(said, "HTTP/1.1 101 ") || !strings.Contains(said, "Sec-WebSocket-Protocol: xmpp") || !strings.Contains(said, "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=") ||
			!strings.Contains(said, "\x8a\x0cstill there?") || !strings.HasSuffix(said, "\x88\x02\x03\xe8") {
			t.Errorf("in pieces of %d it says %q", size, said)
		}
	}
}

// TestPausedAtTheEnd has a client send and end while the handler has paused: what was sent comes first, then the end does.
func TestPausedAtTheEnd(t *testing.T) {
	h, _ := start(100)
	h.c.OnData([]byte(request))
	h.c.Pause()
	h.c.OnData(append(frame(ws.OpText, true, "a"), frame(ws.OpText, true, "b")...))
	h.c.OnEnd(io.EOF)
	if len(h.got) != 0 || h.end != nil {
		t.Errorf("while paused came %q, %v", h.got, h.end)
	}
	h.c.Resume()
	if fmt.Sprint(h.got) != "[a b]" || h.end != io.EOF {
		t.Errorf("then came %q, %v", h.got, h.end)
	}
}

// TestSpoilt has what the protocol doesn't allow end the connection with the code that says why.
func TestSpoilt(t *testing.T) {
	for name, c := range map[string]struct {
		says []byte
		code string
	}{
		"no mask":              {[]byte{0x81, 1, 'x'}, "\x03\xea"},
		"reserved bits":        {[]byte{0xf1, 0x80, 0, 0, 0, 0}, "\x03\xea"},
		"unknown kind":         {[]byte{0x83, 0x80, 0, 0, 0, 0}, "\x03\xea"},
		"a lone continuation":  {frame(ws.OpContinuation, true, "x"), "\x03\xea"},
		"text within text":     {append(frame(ws.OpText, false, "x"), frame(ws.OpText, true, "y")...), "\x03\xea"},
		"a ping in parts":      {frame(ws.OpPing, false, "x"), "\x03\xea"},
		"a long ping":          {frame(ws.OpPing, true, strings.Repeat("x", 126)), "\x03\xea"},
		"binary":               {frame(ws.OpBinary, true, "x"), "\x03\xeb"},
		"no UTF-8":             {frame(ws.OpText, true, "\xff"), "\x03\xef"},
		"too long":             {frame(ws.OpText, true, strings.Repeat("x", 101)), "\x03\xf1"},
		"too long in all":      {append(frame(ws.OpText, false, strings.Repeat("x", 60)), frame(ws.OpContinuation, true, strings.Repeat("x", 60))...), "\x03\xf1"},
		"far too long a frame": {[]byte{0x81, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}, "\x03\xf1"},
	} {
		h, w := start(100)
		h.c.OnData([]byte(request))
		w.Reset()
		h.c.OnData(c.says)
		h.c.OnData(frame(ws.OpText, true, "more"))
		if h.end == nil || len(h.got) > 0 || !w.ended || w.String() != "\x88\x02"+c.code {
			t.Errorf("%s: %v, %q, says %q", name, h.end, h.got, w.String())
		}
	}
	for name, says := range map[string]string{
		"no HTTP":        "OPEN 1 1 c=chat\r\n\r\n",
		"no WebSocket":   "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"no protocol":    strings.Replace(request, "Sec-WebSocket-Protocol: chat, xmpp\r\n", "", 1),
		"another one":    strings.Replace(request, "chat, xmpp", "chat", 1),
		"another method": strings.Replace(request, "GET", "POST", 1),
		"too long":       "GET /" + strings.Repeat("x", mostHead),
	} {
		h, w := start(100)
		h.c.OnData([]byte(says))
		if h.end == nil || !w.ended || strings.Contains(w.String(), " 101 ") {
			t.Errorf("%s: %v, says %q", name, h.end, w.String())
		}
	}
}

// FuzzFrames has any bytes follow the handshake: whatever comes out is the same for every split, and memory is bounded.
func FuzzFrames(f *testing.F) {
	f.Add(append(frame(ws.OpText, false, "<mes"), frame(ws.OpContinuation, true, "sage/>")...), 3)
	f.Add([]byte{0x81, 0xfe, 0, 200, 0, 0, 0, 0}, 1)
	f.Fuzz(func(t *testing.T, says []byte, at int) {
		whole, w1 := start(100)
		whole.c.OnData([]byte(request))
		whole.c.OnData(bytes.Clone(says))
		split, w2 := start(100)
		split.c.OnData([]byte(request))
		at = max(0, min(at, len(says)))
		split.c.OnData(bytes.Clone(says[:at]))
		split.c.OnData(bytes.Clone(says[at:]))
		if fmt.Sprint(whole.got, whole.end) != fmt.Sprint(split.got, split.end) || w1.String() != w2.String() {
			t.Errorf("%q %v and %q %v", whole.got, whole.end, split.got, split.end)
		}
		if len(whole.c.message) > 100 || len(whole.c.in) > len(says) {
			t.Error("more is kept than may be")
		}
	})
}
