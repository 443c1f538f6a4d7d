package admin

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzRequestHead receives arbitrary bytes as a request head in two pieces. It checks that headEnd finds the end of the
// head at the same position as in one piece, and that serve returns one of the server's responses.
func FuzzRequestHead(f *testing.F) {
	for _, seed := range []string{
		"GET /api/ready HTTP/1.1\r\nHost: n\r\n\r\n",
		"GET /api/telemetry HTTP/1.0\n\n",
		"\r\n\r\n",
		"GET  /x\r\n\n",
		"POST /api/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"GET http://[::1%25]/api/ready HTTP/1.1\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\n",
		"GET /api/ready HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"CONNECT /api/ready HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	empty := func(buf []byte) []byte { return buf }
	server := &Server{answers: Answers{Ready: func() bool { return false }, Telemetry: empty, Reasons: empty}}
	f.Fuzz(func(t *testing.T, head []byte, cut int) {
		end := headEnd(head, 0)
		cut = max(0, min(cut, len(head)))
		if headEnd(head[:cut], 0) < 0 {
			if got := headEnd(head, max(0, cut-3)); got != end {
				t.Errorf("headEnd of a head cut at %d: got %d, want %d", cut, got, end)
			}
		}
		if end < 0 {
			if bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n")) {
				t.Errorf("headEnd(%q): got no end, want the one at its empty line", head)
			}
			return
		}
		answer := server.serve(head[:end])
		checkResponse(t, answer.status, answer.allow, string(answer.body(nil)))
	})
}

// checkResponse checks that a response is one that a server sends if it is not ready and has no metrics.
func checkResponse(t *testing.T, status int, allow, body string) {
	t.Helper()
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable:
	case http.StatusMethodNotAllowed:
		if allow != http.MethodGet {
			t.Errorf("serve: got Allow %q, want %q", allow, http.MethodGet)
		}
	default:
		t.Errorf("serve: got status %d, want one of 200, 400, 404, 405, 503", status)
	}
	if (body == "") != (status == http.StatusOK) || strings.Count(body, "\n") > 1 {
		t.Errorf("serve with status %d: got body %q, want none for status 200 and one line for others", status, body)
	}
}
