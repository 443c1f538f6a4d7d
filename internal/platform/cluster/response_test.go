package cluster

import "testing"

func TestResponse(t *testing.T) {
	for _, c := range []struct {
		name, in, body string
		status         int
		done, bad      bool
	}{
		{"length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", "abc", 200, true, false},
		{"empty", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", 503, true, false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", 204, true, false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n", "abc", 200, true, false},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", 200, true, false},
		{"to the end", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", 200, false, false},
		{"short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", "abc", 200, false, false},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab", "", 0, false, true},
		{"no HTTP", "SSH-2.0-x\r\n\r\n", "", 0, false, true},
		{"bad length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "", 0, false, true},
		{"huge length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "", 0, false, true},
		{"bad header", "HTTP/1.1 200 OK\r\nnothing\r\n\r\n", "", 0, false, true},
		{"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "", 0, false, true},
		{"gzip", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "", 0, false, true},
	} {
		for _, size := range []int{len(c.in), 1, 7} {
			t.Run(c.name, func(t *testing.T) {
				var r response
				var done bool
				var err error
				for p := []byte(c.in); len(p) > 0 && err == nil; {
					n := min(size, len(p))
					done, err = r.feed(p[:n])
					p = p[n:]
				}
				if (err != nil) != c.bad {
					t.Fatalf("pieces of %d: error %v", size, err)
				}
				if !c.bad && (done != c.done || string(r.body) != c.body || r.status != c.status) {
					t.Errorf("pieces of %d: done %v, status %d, body %q", size, done, r.status, r.body)
				}
			})
		}
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		var r response
		for size = max(1, min(size, 1<<16)); len(in) > 0; {
			n := min(size, len(in))
			if _, err := r.feed(in[:n]); err != nil {
				return
			}
			in = in[n:]
		}
	})
}
