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
	maxHeadBytes   = 16 << 10 // of a response head, a chunk size line or a trailer line
	maxBodyBytes   = 4 << 20
	maxQuotedBytes = 60 // length of the part of an invalid line that an error quotes
	maxStatus      = 599

	headEnd       = "\r\n\r\n"
	lineEnd       = "\r\n"
	unknownLength = -1 // the body ends with the connection
)

// Errors of an invalid response.
var (
	errNotHTTP          = errors.New("response must start with an HTTP/1.0 or 1.1 status line with status 100 to 599")
	errHeadTooLong      = errors.New("response head is longer than 16 KiB")
	errBodyTooLong      = errors.New("response body is longer than 4 MiB")
	errTrailingBytes    = errors.New("more bytes after the response body")
	errHeaderLine       = errors.New("header line must contain a colon")
	errContentLength    = errors.New("Content-Length must be between 0 and 4194304")
	errTransferEncoding = errors.New("Transfer-Encoding must be chunked")
	errChunkLineTooLong = errors.New("chunk size line or trailer line is longer than 16 KiB")
	errChunkSize        = errors.New("chunk size must be a hexadecimal number between 0 and 400000")
)

// response is an incremental parser for one HTTP response.
type response struct {
	status       int
	close        bool // the connection must not be reused
	body         []byte
	unparsed     []byte
	headComplete bool
	received     int // number of bytes fed so far
	length       int // of the body in bytes, or unknownLength
	chunked      bool
	chunkLeft    int // bytes left in the current chunk, including its CRLF; 0: a size line is next
	inTrailer    bool
}

// begun reports whether any byte has arrived.
func (r *response) begun() bool { return r.received > 0 }

// bodyBegun reports whether any byte of the body has arrived.
func (r *response) bodyBegun() bool {
	return r.headComplete && (len(r.body) > 0 || len(r.unparsed) > 0)
}

// endsWithConnection reports whether the response lasts until the connection ends.
func (r *response) endsWithConnection() bool { return r.headComplete && !r.chunked && r.length < 0 }

// feed parses the next piece and reports whether the response is complete.
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

// feedHead parses the complete heads in the unparsed bytes, up to the head of the final response.
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

// feedBody consumes bytes of a body that is not chunked.
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
		return fmt.Errorf("%w, got %q", errNotHTTP, quoted(lines[0]))
	}
	r.length = unknownLength
	r.close = protocol == "HTTP/1.0"
	r.chunked = false
	for _, text := range lines[1:] {
		if err := r.parseHeader(text); err != nil {
			return err
		}
	}
	if status < http.StatusOK { // an interim response, which the final response follows
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
		return fmt.Errorf("%w, got %q", errHeaderLine, quoted(text))
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		length, err := strconv.Atoi(value)
		if err != nil || length < 0 || length > maxBodyBytes {
			return fmt.Errorf("%w, got %q", errContentLength, value)
		}
		r.length = length
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w, got %q", errTransferEncoding, value)
		}
		r.chunked = true
	case "connection":
		if strings.EqualFold(value, "close") {
			r.close = true
		}
	}
	return nil
}

// quoted returns the start of a line for use in an error.
func quoted(text string) string { return text[:min(len(text), maxQuotedBytes)] }

// feedChunks consumes bytes of a chunked body.
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

// feedChunk consumes bytes of the current chunk. The CRLF at its end is not part of the body.
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

// nextChunkLine returns the next size line or trailer line without its CRLF. ok is false if the line is incomplete.
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

// parseChunkSize parses a size line, which begins the next chunk or, if the size is 0, the trailer.
func (r *response) parseChunkSize(text string) error {
	digits, _, _ := strings.Cut(text, ";") // chunk extensions follow the semicolon
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil || size > maxBodyBytes {
		return fmt.Errorf("%w, got %q", errChunkSize, digits)
	}
	if size == 0 {
		r.inTrailer = true
	} else {
		r.chunkLeft = int(size) + len(lineEnd)
	}
	return nil
}
