package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 4 << 20
)

// response is an HTTP/1.1 answer, read piece by piece.
type response struct {
	status       int
	close        bool
	body         []byte
	unparsed     []byte
	headComplete bool
	received     int
	length       int // of the body; -1: to the end of the connection
	chunked      bool
	chunkLeft    int // left of the present chunk, its CRLF included; 0: a size line is next
	inTrailer    bool
}

func (r *response) begun() bool { return r.received > 0 }

// bodyBegun reports whether something of the body has come.
func (r *response) bodyBegun() bool {
	return r.headComplete && (len(r.body) > 0 || len(r.unparsed) > 0)
}

// endsAnswer reports whether the end of the connection is the end of the answer.
func (r *response) endsAnswer() bool { return r.headComplete && !r.chunked && r.length < 0 }

// feed takes a piece and reports whether the answer is complete.
func (r *response) feed(p []byte) (bool, error) {
	r.received += len(p)
	r.unparsed = append(r.unparsed, p...)
	for !r.headComplete {
		i := bytes.Index(r.unparsed, []byte("\r\n\r\n"))
		if i < 0 {
			if len(r.unparsed) > maxHeadBytes {
				return false, errors.New("answer head too long")
			}
			return false, nil
		}
		if err := r.parseHead(string(r.unparsed[:i])); err != nil {
			return false, err
		}
		r.unparsed = r.unparsed[i+4:]
	}
	switch {
	case r.chunked:
		return r.feedChunks()
	case r.length < 0:
		r.body, r.unparsed = append(r.body, r.unparsed...), r.unparsed[:0]
	default:
		n := min(len(r.unparsed), r.length-len(r.body))
		r.body, r.unparsed = append(r.body, r.unparsed[:n]...), r.unparsed[n:]
	}
	if len(r.body) > maxBodyBytes {
		return false, errors.New("answer too long")
	}
	if r.length >= 0 && len(r.body) == r.length {
		if len(r.unparsed) > 0 {
			return false, errors.New("bytes after the answer")
		}
		return true, nil
	}
	return false, nil
}

func (r *response) parseHead(h string) error {
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
			if err != nil || n < 0 || n > maxBodyBytes {
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
	r.status, r.headComplete = status, true
	return nil
}

func (r *response) feedChunks() (bool, error) {
	for {
		if r.chunkLeft > 0 {
			n := min(r.chunkLeft, len(r.unparsed))
			keep := min(n, max(0, r.chunkLeft-2))
			r.body = append(r.body, r.unparsed[:keep]...)
			r.unparsed, r.chunkLeft = r.unparsed[n:], r.chunkLeft-n
			if len(r.body) > maxBodyBytes {
				return false, errors.New("answer too long")
			}
			if r.chunkLeft > 0 {
				return false, nil
			}
		}
		i := bytes.Index(r.unparsed, []byte("\r\n"))
		if i < 0 {
			if len(r.unparsed) > maxHeadBytes {
				return false, errors.New("chunk size line too long")
			}
			return false, nil
		}
		l := string(r.unparsed[:i])
		r.unparsed = r.unparsed[i+2:]
		if r.inTrailer {
			if l == "" {
				return true, nil
			}
			continue
		}
		size, _, _ := strings.Cut(l, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || n > maxBodyBytes {
			return false, fmt.Errorf("bad chunk size %q", size)
		}
		if n == 0 {
			r.inTrailer = true
			continue
		}
		r.chunkLeft = int(n) + 2
	}
}
