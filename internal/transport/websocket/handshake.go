package websocket

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/gobwas/ws"
)

const (
	maxRequest = 8 << 10 // bytes of the HTTP request
	requestEnd = "\r\n\r\n"
)

var (
	errRequestTooLong = errors.New("an HTTP request that is too long")
	errSubprotocol    = errors.New("the client does not offer the subprotocol")
)

// handshake answers the HTTP request once it was received whole, and reports whether the connection is up.
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
	c.up = true
	return true
}

// upgrade returns the response to a request. With an error it is a rejection.
func (c *Conn) upgrade(request []byte) (response []byte, err error) {
	offered := false
	upgrader := ws.Upgrader{
		Protocol: func(name []byte) bool {
			isOurs := string(name) == c.subprotocol
			offered = offered || isOurs
			return isOurs
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
		err = errSubprotocol
	}
	return written.Bytes(), err
}
