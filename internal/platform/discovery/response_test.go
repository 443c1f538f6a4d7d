package discovery

import "testing"

// feedInPieces feeds a response in pieces of the given size until the first error.
func feedInPieces(parsed *response, input []byte, size int) (complete bool, err error) {
	for len(input) > 0 && err == nil {
		count := min(size, len(input))
		complete, err = parsed.feed(input[:count])
		input = input[count:]
	}
	return complete, err
}

func TestParseResponseInPieces(t *testing.T) {
	for _, test := range []struct {
		name, input, body string
		status            int
		complete, bad     bool
	}{
		{"content length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", "abc", 200, true, false},
		{"empty body", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", 503, true, false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", 204, true, false},
		{
			"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n", "abc", 200, true, false,
		},
		{
			"interim response", "HTTP/1.1 100 Continue\r\n\r\n" +
				"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", 200, true, false,
		},
		{"body until connection end", "HTTP/1.1 200 OK\r\n\r\nabc", "abc", 200, false, false},
		{"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", "abc", 200, false, false},
		{"bytes after body", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab", "", 0, false, true},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", "", 0, false, true},
		{"negative content length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "", 0, false, true},
		{"huge content length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "", 0, false, true},
		{"header without colon", "HTTP/1.1 200 OK\r\nnothing\r\n\r\n", "", 0, false, true},
		{"invalid chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "", 0, false, true},
		{"unsupported transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "", 0, false, true},
	} {
		for _, size := range []int{len(test.input), 1, 7} {
			t.Run(test.name, func(t *testing.T) {
				var parsed response
				complete, err := feedInPieces(&parsed, []byte(test.input), size)
				if (err != nil) != test.bad {
					t.Fatalf("feed in pieces of %d bytes: got error %v, want one only for invalid responses",
						size, err)
				}
				if test.bad {
					return
				}
				if complete != test.complete || string(parsed.body) != test.body || parsed.status != test.status {
					t.Errorf("feed in pieces of %d bytes: got complete %v, status %d, body %q, want the test's values",
						size, complete, parsed.status, parsed.body)
				}
			})
		}
	}
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), 3)
	f.Fuzz(func(_ *testing.T, input []byte, size int) {
		size = max(1, min(size, 1<<16))
		var parsed response
		_, _ = feedInPieces(&parsed, input, size) // the test checks only that feed doesn't panic
	})
}
