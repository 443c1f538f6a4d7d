package websocket

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/gobwas/ws"
)

const (
	maxRequest = 8 << 10 // maximum length of the HTTP request in bytes
	requestEnd = "\r\n\r\n"
)

var (
	errRequestTooLong        = errors.New("HTTP request is too long")
	errSubprotocolNotOffered = errors.New("the client does not offer the subprotocol")
)

// handshake replies to the HTTP request once it is complete, and reports whether the handshake has succeeded.
func (c *Conn) handshake() bool {
	end := bytes.Index(c.in, []byte(requestEnd))
	if end < 0 {
		if len(c.in) > maxRequest {
			c.finish(errRequestTooLong)
		}
		return false
	}
	end += len(requestEnd)
	response, err := c.upgrade(c.in[:end])
	c.transport.Write(response)
	if err != nil {
		c.finish(err)
		return false
	}
	c.in = c.in[end:]
	c.established = true
	return true
}

// upgrade returns the response to a request. If it returns an error, the response is a rejection.
func (c *Conn) upgrade(request []byte) (response []byte, err error) {
	offered := false
	upgrader := ws.Upgrader{
		Protocol: func(name []byte) bool {
			matches := string(name) == c.subprotocol
			offered = offered || matches
			return matches
		},
		OnBeforeUpgrade: func() (ws.HandshakeHeader, error) {
			if offered {
				return nil, nil
			}
			return nil, ws.RejectConnectionError(
				ws.RejectionStatus(http.StatusBadRequest),
				ws.RejectionReason("the sub-protocol "+c.subprotocol+" is wanted\n"))
		},
	}
	var written bytes.Buffer
	_, err = upgrader.Upgrade(struct {
		io.Reader
		io.Writer
	}{bytes.NewReader(request), &written})
	if err != nil && !offered {
		err = errSubprotocolNotOffered
	}
	return written.Bytes(), err
}
