package discovery

import "testing"

// feedInPieces feeds a response in pieces, up to the first error.
func feedInPieces(parsed *response, input []byte, size int) (complete bool, err error) {
	for len(input) > 0 && err == nil {
		count := min(size, len(input))
		complete, err = parsed.feed(input[:count])
		input = input[count:]
	}
	return complete, err
}

func TestResponse(t *testing.T) {
	for _, test := range []struct {
		name, input, body string
		status            int
		complete, bad     bool
	}{
		{"length", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", "abc", 200, true, false},
		{"empty", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", 503, true, false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", 204, true, false},
		{
			"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n", "abc", 200, true, false,
		},
		{
			"interim", "HTTP/1.1 100 Continue\r\n\r\n" +
				"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", 200, true, false,
		},
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
		for _, size := range []int{len(test.input), 1, 7} {
			t.Run(test.name, func(t *testing.T) {
				var parsed response
				complete, err := feedInPieces(&parsed, []byte(test.input), size)
				if (err != nil) != test.bad {
					t.Fatalf("pieces of %d: error %v", size, err)
				}
				if test.bad {
					return
				}
				if complete != test.complete || string(parsed.body) != test.body || parsed.status != test.status {
					t.Errorf("pieces of %d: complete %v, status %d, body %q",
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
		_, _ = feedInPieces(&parsed, input, size) // any outcome but a panic will do
	})
}
