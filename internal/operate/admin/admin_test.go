package admin

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead has any bytes for a head, in two pieces: the end of the head is found in the same place, and what is read of it
// gets one of the door's answers.
func FuzzHead(f *testing.F) {
	for _, s := range []string{"GET /api/ready HTTP/1.1\r\nHost: n\r\n\r\n", "GET /api/telemetry HTTP/1.0\n\n", "\r\n\r\n", "GET  /x\r\n\n",
		"POST /api/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "GET http://[::1%25]/api/ready HTTP/1.1\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\n", "GET /api/ready HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "CONNECT /api/ready HTTP/1.1\r\n\r\n"} {
		f.Add([]byte(s), 3)
	}
	none := func(buf []byte) []byte { return buf }
	d := &Server{answers: Answers{Ready: func() bool { return false }, Telemetry: none, Reasons: none}}
	f.Fuzz(func(t *testing.T, head []byte, cut int) {
		end := endOf(head, 0)
		if cut = max(0, min(cut, len(head))); endOf(head[:cut], 0) < 0 && endOf(head, max(0, cut-3)) != end {
			t.Errorf("cut at %d the end is elsewhere than %d", cut, end)
		}
		if end < 0 {
			if bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n")) {
				t.Error("an end of a head is not found")
			}
			return
		}
		answer := d.serve(head[:end])
		status, allow, body := answer.status, answer.allow, string(answer.body(nil))
		switch status {
		case http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusServiceUnavailable:
		case http.StatusMethodNotAllowed:
			if allow != http.MethodGet {
				t.Errorf("Allow is %q", allow)
			}
		default:
			t.Errorf("status %d", status)
		}
		if (body == "") != (status == http.StatusOK) || strings.Count(body, "\n") > 1 {
			t.Errorf("status %d with %q", status, body)
		}
	})
}
