package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxHeadBytes   = 16 << 10 // of a head, and of a chunk's size line
	maxBodyBytes   = 4 << 20
	maxQuotedBytes = 60 // of a line that an error quotes
	maxStatus      = 599

	headEnd       = "\r\n\r\n"
	lineEnd       = "\r\n"
	unknownLength = -1 // of a body that ends with the connection
)

// What is wrong with a response.
var (
	errNotHTTP          = errors.New("no HTTP answer")
	errHeadTooLong      = errors.New("answer head too long")
	errBodyTooLong      = errors.New("answer too long")
	errTrailingBytes    = errors.New("bytes after the answer")
	errHeaderLine       = errors.New("bad header line")
	errContentLength    = errors.New("bad Content-Length")
	errTransferEncoding = errors.New("transfer encoding")
	errChunkLineTooLong = errors.New("chunk size line too long")
	errChunkSize        = errors.New("bad chunk size")
)

// response is an HTTP/1.1 response that is read incrementally.
type response struct {
	status       int
	close        bool // the connection is not reused
	body         []byte
	unparsed     []byte
	headComplete bool
	received     int // bytes
	length       int // of the body, or unknownLength
	chunked      bool
	chunkLeft    int // bytes left of the present chunk, its CRLF included; 0: a size line is next
	inTrailer    bool
}

// begun reports whether any byte has come.
func (r *response) begun() bool { return r.received > 0 }

// bodyBegun reports whether something of the body has come.
func (r *response) bodyBegun() bool {
	return r.headComplete && (len(r.body) > 0 || len(r.unparsed) > 0)
}

// endsWithConnection reports whether the end of the connection is the end of the response.
func (r *response) endsWithConnection() bool { return r.headComplete && !r.chunked && r.length < 0 }

// feed takes a piece and reports whether the response is complete.
func (r *response) feed(piece []byte) (complete bool, err error) {
	r.received += len(piece)
	r.unparsed = append(r.unparsed, piece...)
	if err := r.feedHead(); err != nil || !r.headComplete {
		return false, err
	}
	if r.chunked {
		return r.feedChunks()
	}
	return r.feedBody()
}

// feedHead parses heads that are complete, up to that of the final response.
func (r *response) feedHead() error {
	for !r.headComplete {
		end := bytes.Index(r.unparsed, []byte(headEnd))
		if end < 0 {
			if len(r.unparsed) > maxHeadBytes {
				return errHeadTooLong
			}
			return nil
		}
		if err := r.parseHead(string(r.unparsed[:end])); err != nil {
			return err
		}
		r.unparsed = r.unparsed[end+len(headEnd):]
	}
	return nil
}

// feedBody takes bytes of a body that is not chunked.
func (r *response) feedBody() (complete bool, err error) {
	count := len(r.unparsed)
	if r.length >= 0 {
		count = min(count, r.length-len(r.body))
	}
	r.body = append(r.body, r.unparsed[:count]...)
	r.unparsed = append(r.unparsed[:0], r.unparsed[count:]...)
	switch {
	case len(r.body) > maxBodyBytes:
		return false, errBodyTooLong
	case len(r.body) != r.length:
		return false, nil
	case len(r.unparsed) > 0:
		return false, errTrailingBytes
	}
	return true, nil
}

// parseHead parses a status line and its headers.
func (r *response) parseHead(head string) error {
	lines := strings.Split(head, lineEnd)
	protocol, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	knownProtocol := protocol == "HTTP/1.1" || protocol == "HTTP/1.0"
	if err != nil || status < http.StatusContinue || status > maxStatus || !knownProtocol {
		return fmt.Errorf("%w: %q", errNotHTTP, quoted(lines[0]))
	}
	r.length = unknownLength
	r.close = protocol == "HTTP/1.0"
	r.chunked = false
	for _, text := range lines[1:] {
		if err := r.parseHeader(text); err != nil {
			return err
		}
	}
	if status < http.StatusOK { // an interim response: the final one follows
		return nil
	}
	if status == http.StatusNoContent || status == http.StatusNotModified {
		r.length = 0
	}
	r.status = status
	r.headComplete = true
	return nil
}

// parseHeader parses a header line.
func (r *response) parseHeader(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok {
		return fmt.Errorf("%w %q", errHeaderLine, quoted(text))
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.Atoi(value)
		if err != nil || length < 0 || length > maxBodyBytes {
			return fmt.Errorf("%w %q", errContentLength, value)
		}
		r.length = length
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w %q", errTransferEncoding, value)
		}
		r.chunked = true
	case "connection":
		if strings.EqualFold(value, "close") {
			r.close = true
		}
	}
	return nil
}

// quoted is the part of a line that an error quotes.
func quoted(text string) string { return text[:min(len(text), maxQuotedBytes)] }

// feedChunks takes bytes of a chunked body.
func (r *response) feedChunks() (complete bool, err error) {
	for {
		if err := r.feedChunk(); err != nil || r.chunkLeft > 0 {
			return false, err
		}
		text, ok, err := r.nextChunkLine()
		if err != nil || !ok {
			return false, err
		}
		if !r.inTrailer {
			if err := r.parseChunkSize(text); err != nil {
				return false, err
			}
		} else if text == "" {
			return true, nil
		}
	}
}

// feedChunk takes bytes of the present chunk. Its CRLF is no part of the body.
func (r *response) feedChunk() error {
	count := min(r.chunkLeft, len(r.unparsed))
	inBody := min(count, max(0, r.chunkLeft-len(lineEnd)))
	r.body = append(r.body, r.unparsed[:inBody]...)
	r.unparsed = r.unparsed[count:]
	r.chunkLeft -= count
	if len(r.body) > maxBodyBytes {
		return errBodyTooLong
	}
	return nil
}

// nextChunkLine returns the next line between chunks, without its CRLF, if it has come.
func (r *response) nextChunkLine() (text string, ok bool, err error) {
	end := bytes.Index(r.unparsed, []byte(lineEnd))
	if end < 0 {
		if len(r.unparsed) > maxHeadBytes {
			return "", false, errChunkLineTooLong
		}
		return "", false, nil
	}
	text = string(r.unparsed[:end])
	r.unparsed = r.unparsed[end+len(lineEnd):]
	return text, true, nil
}

// parseChunkSize begins the next chunk, or the trailer.
func (r *response) parseChunkSize(text string) error {
	digits, _, _ := strings.Cut(text, ";") // extensions follow
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil || size > maxBodyBytes {
		return fmt.Errorf("%w %q", errChunkSize, digits)
	}
	if size == 0 {
		r.inTrailer = true
	} else {
		r.chunkLeft = int(size) + len(lineEnd)
	}
	return nil
}
