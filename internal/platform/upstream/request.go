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
	replyCheckInterval = time.Second
	loadUnit           = 1e6 // a LOAD line counts microseconds of work a second
	maxAddedDigits     = 8   // by which a rewritten d may be longer
	maxQuotedBytes     = 60  // of a line that an error quotes
)

// What is wrong with a server's reply.
var (
	errLineTooLong  = errors.New("a line that is too long")
	errNoReceipt    = errors.New("UP without a receipt")
	errUnknownReply = errors.New("an unknown reply")
)

// closingLine is the last line of a server that says why it ends a connection. Its values are transferred.
type closingLine uint8

const (
	noClosingLine closingLine = iota
	closingBye
	closingMove
)

// Request is one attempt on its own connection.
type Request struct {
	cluster            *Cluster
	attempt            *edge.Attempt
	sink               Sink
	conn               *loop.Conn
	openLine           []byte // the client's, until it is sent
	serverLines        line.Reader
	clientLines        line.Scanner
	established        bool
	closed             bool
	lastClosingLine    closingLine
	awaitingReplySince time.Time // when the line was forwarded whose reply is timed; zero: none is
	stopReplyTimer     func()
}

// OnConnect sends the OPEN line, unless nobody waits for its reply any more.
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

// reportWritten counts the attempt once its line is written whole.
func (r *Request) reportWritten() {
	if r.conn.Sent() {
		r.attempt.Written()
	}
}

// OnData takes the server's bytes.
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

// onReply takes the server's first line, and what came behind it.
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
		r.failUnreadable(fmt.Errorf("%w: %s", errUnknownReply, strconv.QuoteToASCII(start)))
	}
}

// establish begins to relay.
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

// failUnreadable fails an attempt whose reply is none of the protocol.
func (r *Request) failUnreadable(cause error) {
	if r.closed {
		return
	}
	zap.L().Warn("host_answer_unreadable",
		zap.String("host", string(r.attempt.Server.ID)), zap.String("sent", cause.Error()))
	r.fail(choice.Failed, nil)
}

// fail ends an attempt without a connection.
func (r *Request) fail(outcome choice.Outcome, report []float64) {
	if r.closed {
		return
	}
	r.closed = true
	r.conn.Cancel()
	r.attempt.Ended(outcome, report)
}

// End ends the connection as its client did.
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

// GiveUp closes the connection. A request line that is half written stays half: the core takes it for one that has not
// run.
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

// OnEnd gives the outcome of a connection that failed or ended, by the protocol's table.
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

// outcome is that of an established connection whose last line this was.
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

// OnDrained tells the client's side that it may go on.
func (r *Request) OnDrained() {
	r.reportWritten()
	if r.established && !r.closed {
		r.sink.ServerDrained()
	}
}
