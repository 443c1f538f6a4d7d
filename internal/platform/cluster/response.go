package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	mostHead = 16 << 10
	mostBody = 4 << 20
)

// response is an HTTP/1.1 answer, read piece by piece.
type response struct {
	status  int
	close   bool
	body    []byte
	part    []byte
	headed  bool
	seen    int
	length  int // of the body; -1: to the end of the connection
	chunked bool
	chunk   int // left of the present chunk, its CRLF included; 0: a size line is next
	trailer bool
}

func (r *response) begun() bool { return r.seen > 0 }

// bodyBegun reports whether something of the body has come.
func (r *response) bodyBegun() bool { return r.headed && (len(r.body) > 0 || len(r.part) > 0) }

// endsAnswer reports whether the end of the connection is the end of the answer.
func (r *response) endsAnswer() bool { return r.headed && !r.chunked && r.length < 0 }

// feed takes a piece and reports whether the answer is complete.
func (r *response) feed(p []byte) (bool, error) {
	r.seen += len(p)
	r.part = append(r.part, p...)
	for !r.headed {
		i := bytes.Index(r.part, []byte("\r\n\r\n"))
		if i < 0 {
			if len(r.part) > mostHead {
				return false, errors.New("answer head too long")
			}
			return false, nil
		}
		if err := r.head(string(r.part[:i])); err != nil {
			return false, err
		}
		r.part = r.part[i+4:]
	}
	switch {
	case r.chunked:
		return r.feedChunks()
	case r.length < 0:
		r.body, r.part = append(r.body, r.part...), r.part[:0]
	default:
		n := min(len(r.part), r.length-len(r.body))
		r.body, r.part = append(r.body, r.part[:n]...), r.part[n:]
	}
	if len(r.body) > mostBody {
		return false, errors.New("answer too long")
	}
	if r.length >= 0 && len(r.body) == r.length {
		if len(r.part) > 0 {
			return false, errors.New("bytes after the answer")
		}
		return true, nil
	}
	return false, nil
}

func (r *response) head(h string) error {
	lines := strings.Split(h, "\r\n")
	proto, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || status > 599 || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return fmt.Errorf("no HTTP answer: %q", lines[0][:min(len(lines[0]), 60)])
	}
	r.length, r.close, r.chunked = -1, proto == "HTTP/1.0", false
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok {
			return fmt.Errorf("bad header line %q", l[:min(len(l), 60)])
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > mostBody {
				return fmt.Errorf("bad Content-Length %q", value)
			}
			r.length = n
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("transfer encoding %q", value)
			}
			r.chunked = true
		case "connection":
			if strings.EqualFold(value, "close") {
				r.close = true
			}
		}
	}
	switch {
	case status < 200: // an interim answer: the real one follows
		return nil
	case status == 204 || status == 304:
		r.length = 0
	}
	r.status, r.headed = status, true
	return nil
}

func (r *response) feedChunks() (bool, error) {
	for {
		if r.chunk > 0 {
			n := min(r.chunk, len(r.part))
			keep := min(n, max(0, r.chunk-2))
			r.body = append(r.body, r.part[:keep]...)
			r.part, r.chunk = r.part[n:], r.chunk-n
			if len(r.body) > mostBody {
				return false, errors.New("answer too long")
			}
			if r.chunk > 0 {
				return false, nil
			}
		}
		i := bytes.Index(r.part, []byte("\r\n"))
		if i < 0 {
			if len(r.part) > mostHead {
				return false, errors.New("chunk size line too long")
			}
			return false, nil
		}
		l := string(r.part[:i])
		r.part = r.part[i+2:]
		if r.trailer {
			if l == "" {
				return true, nil
			}
			continue
		}
		size, _, _ := strings.Cut(l, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || n > mostBody {
			return false, fmt.Errorf("bad chunk size %q", size)
		}
		if n == 0 {
			r.trailer = true
			continue
		}
		r.chunk = int(n) + 2
	}
}
