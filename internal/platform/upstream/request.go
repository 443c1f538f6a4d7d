package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"

	"go.uber.org/zap"
)

const (
	replyCheckInterval = time.Second // until a silent server is first checked; later checks follow after half of it
	loadUnit           = 1e6         // LOAD lines report microseconds of work per second
	maxAddedDigits     = 8           // extra digits that a rewritten field d may have
	maxQuotedBytes     = 60          // length of the part of an unknown reply that an error quotes
)

// Errors of a server's reply.
var (
	errLineTooLong  = errors.New("reply line is longer than 4096 bytes")
	errNoReceipt    = errors.New("UP line must be printable and have a receipt")
	errUnknownReply = errors.New("reply must be UP, BUSY, ERR or BYE")
)

// closingLine is the kind of line with which a server announces why it ends a connection. Its values are part of the
// connection state that one process transfers to another.
type closingLine uint8

const (
	noClosingLine closingLine = iota
	closingBye
	closingMove
)

// Request is one attempt. It has its own connection to the server.
type Request struct {
	cluster            *Cluster
	attempt            *edge.Attempt
	sink               Sink
	conn               *loop.Conn
	openLine           []byte // the client's OPEN line
	serverLines        line.Reader
	forwardedOfLine    int // bytes of the server's unfinished line that another release has forwarded before a transfer
	clientLines        line.Scanner
	established        bool
	closed             bool
	lastClosingLine    closingLine // noClosingLine if the server's last line was another one
	awaitingReplySince time.Time   // when the client line that is being timed was forwarded; zero: none
	pausedAt           time.Time   // when this node stopped reading from the server; zero: it reads
	stopReplyTimer     func()
}

// OnConnect sends the OPEN line, unless the client has disconnected or the core no longer wants the attempt.
func (r *Request) OnConnect() {
	r.attempt.Connected()
	r.sink.CheckClient()
	if !r.attempt.Begin() {
		return
	}
	left := r.attempt.Expires.Sub(r.cluster.loop.Now())
	r.conn.Write(withDeadline(r.openLine, left))
	r.reportWritten()
}

// reportWritten tells the core once the kernel has accepted the whole OPEN line. From then on the attempt counts.
func (r *Request) reportWritten() {
	if r.conn.Sent() {
		r.attempt.Written()
	}
}

// OnData handles the server's bytes.
func (r *Request) OnData(data []byte) {
	if r.established {
		r.relay(data)
		return
	}
	text, rest, err := r.serverLines.Next(data)
	if err != nil {
		r.failUnreadable(errLineTooLong)
		return
	}
	if text != nil {
		r.onReply(text, rest)
	}
}

// onReply handles the server's first line. rest contains the bytes that arrived after it.
func (r *Request) onReply(text, rest []byte) {
	word, info, _ := bytes.Cut(line.Trim(text), []byte(" "))
	switch string(word) {
	case "UP":
		if len(info) == 0 || !line.Printable(line.Trim(text)) {
			r.failUnreadable(errNoReceipt)
			return
		}
		r.establish(text, rest)
	case "BUSY":
		r.fail(choice.Full, r.cluster.parseReport(info))
	case "ERR":
		r.fail(choice.Failed, r.cluster.parseReport(info))
	case "BYE":
		r.closed = true
		r.conn.End()
		r.attempt.Ended(choice.Served, r.cluster.parseReport(info))
		r.sink.Served(text)
	default:
		start := string(text[:min(len(text), maxQuotedBytes)])
		r.failUnreadable(fmt.Errorf("%w, got %s", errUnknownReply, strconv.QuoteToASCII(start)))
	}
}

// establish starts to relay bytes between the client and the server.
func (r *Request) establish(upLine, rest []byte) {
	r.established = true
	r.attempt.Established()
	if r.closed {
		return
	}
	r.sink.Established(upLine)
	if len(rest) > 0 && !r.closed {
		r.relay(rest)
	}
}

// failUnreadable fails an attempt whose reply violates the protocol.
func (r *Request) failUnreadable(cause error) {
	if r.closed {
		return
	}
	zap.L().Warn("host_answer_unreadable",
		zap.String("host", string(r.attempt.Server.ID)), zap.String("sent", cause.Error()))
	r.fail(choice.Failed, nil)
}

// fail ends an attempt whose connection was not established.
func (r *Request) fail(outcome choice.Outcome, report []float64) {
	if r.closed {
		return
	}
	r.closed = true
	r.conn.Cancel()
	r.attempt.Ended(outcome, report)
}

// End closes the server's connection in the way in which the client's connection ended: by a reset or by FIN.
func (r *Request) End(reset bool) {
	if r.closed {
		return
	}
	r.markClosed()
	if reset {
		r.conn.Abort()
	} else {
		r.conn.End()
	}
}

// GiveUp closes the connection. The rest of a partly written request line is never sent, because the core assumes that
// such a request has not run.
func (r *Request) GiveUp() {
	if r.closed || r.established {
		r.End(false)
		return
	}
	r.markClosed()
	r.conn.Cancel()
}

func (r *Request) markClosed() {
	r.closed = true
	r.cancelReplyTimer()
}

// OnEnd reports the outcome of a connection that failed or ended, as the protocol defines it.
func (r *Request) OnEnd(err error) {
	if r.closed {
		return
	}
	r.markClosed()
	sent := r.conn.Sent()
	ended := errors.Is(err, io.EOF)
	if ended {
		if r.established {
			r.conn.End()
		} else {
			r.conn.Cancel()
		}
	}
	switch {
	case r.established:
		r.forwardUnfinishedLine()
		r.attempt.Ended(r.lastClosingLine.outcome(), nil)
		r.sink.ServerEnded(!ended)
	case loop.IsLocal(err):
		r.attempt.Ended(choice.NeverSent, nil)
	case !sent:
		r.attempt.Ended(choice.ConnectFailed, nil)
	default:
		r.attempt.Ended(choice.Reset, nil)
	}
}

// outcome returns the outcome of an established connection whose last line from the server was l.
func (l closingLine) outcome() choice.Outcome {
	switch l {
	case closingBye:
		return choice.Served
	case closingMove:
		return choice.Cancelled
	case noClosingLine:
	}
	return choice.Reset
}

// OnDrained reports that the OPEN line has been written. On an established connection, it notifies the client's side
// that it may resume reading.
func (r *Request) OnDrained() {
	r.reportWritten()
	if r.established && !r.closed {
		r.sink.ServerDrained()
	}
}
