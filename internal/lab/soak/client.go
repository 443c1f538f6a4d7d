package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	dialTimeout         = time.Second
	invalidTimeout      = 3*time.Second + time.Second // until the node ends the connection after invalid input
	echoTimeout         = 7*time.Second + 1500*time.Millisecond
	meanConnectionTime  = 1500 * time.Millisecond
	maxConnectionTime   = 6 * time.Second
	idleTime            = 2500 * time.Millisecond
	idleJitter          = 4                      // ms, maximum deviation from idleTime
	settlingTime        = 700 * time.Millisecond // until both client and server have seen a connection end
	answerReadSlack     = 2 * time.Second
	readTimeAfterClose  = time.Second
	meanDisconnectDelay = 150 * time.Millisecond
	minLineInterval     = 50  // ms
	lineJitter          = 400 // ms
	clientReadBuffer    = 8192
	maxLineFragment     = 20 // bytes
	fragmentJitter      = 40 // ms
)

// Fractions of the clients that send invalid input, and of those that idle before their request.
const (
	invalidRate = 0.03
	idleRate    = 0.03
)

// Lines of the protocol between nodes and clients.
const (
	linePing = "PING\r\n"
	linePong = "PONG\r\n"
	lineMove = "MOVE\r\n"
)

// client is one connection of a client to a node.
type client struct {
	harness *harness
	checker *Checker
	node    *node
	rng     *rand.Rand
	conn    *net.TCPConn
	reader  *bufio.Reader
}

// runArrivals starts clients at random intervals until the run is over.
func (h *harness) runArrivals(rng *rand.Rand) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / h.rate() * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-h.done:
			return
		}
		admitted := h.admittedNodes()
		if len(admitted) == 0 {
			h.checker.count("clients without a node")
			continue
		}
		arrived := &client{harness: h, checker: h.checker, node: admitted[rng.IntN(len(admitted))]}
		arrived.rng = rand.New(rand.NewPCG(rng.Uint64(), clientStream))
		h.inBackground(arrived.run)
	}
}

// run opens the connection. The client then sends invalid input, a request after idling, or a request at once.
func (c *client) run() {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp", c.node.addr)
	if err != nil {
		c.checker.count("connections refused")
		return
	}
	defer closeQuietly(conn)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		panic("the dialer must return TCP connections for network tcp")
	}
	c.conn = tcp
	c.reader = bufio.NewReaderSize(conn, clientReadBuffer)
	switch kind := c.rng.Float64(); {
	case kind < invalidRate:
		c.sendInvalid()
	case kind < invalidRate+idleRate:
		c.sendAfterIdling()
	default:
		c.sendRequest()
	}
}

// invalidLines lists inputs that are no valid request, so that a node can't serve them.
var invalidLines = []string{
	"HELLO world\r\n",
	"OPEN\r\n",
	"OPEN 1 2 c=none\r\n",
	"OPEN 0123456789abcdef 01 c=read,d=x\r\n",
	"OPEN 0123456789abcdef 01 c=read\r\nmore\r\n",
	"OPEN 0123456789abcdef 01 c=re",
	"\r\n",
	"\x00\x01\x02",
	"PING\r\nOPEN 0123",
	"OPEN 0123456789abcdef 01 c=read,d=-5\r\n",
}

// write writes to the node. It ignores errors: if the node has ended the connection, the next read fails.
func (c *client) write(text string) { _, _ = io.WriteString(c.conn, text) }

// sendInvalid sends input that the node can't serve. The node may answer an error, and has to end the connection in
// time.
func (c *client) sendInvalid() {
	start := time.Now()
	c.write(invalidLines[c.rng.IntN(len(invalidLines))])
	setReadDeadline(c.conn, start.Add(invalidTimeout))
	if _, err := io.Copy(io.Discard, c.conn); isTimeout(err) && !c.node.killedBetween(start, time.Now()) {
		c.checker.violated(Answer, "%s: the connection is still open %v after invalid input",
			c.node.name, invalidTimeout)
	}
	c.checker.count("clients with nonsense")
}

// sendAfterIdling sends PING first in half of the cases. It then idles about as long as a node allows, and sends a
// request when the node may be ending the connection.
func (c *client) sendAfterIdling() {
	start := time.Now()
	if c.rng.IntN(2) == 0 {
		c.write(linePing)
		setReadDeadline(c.conn, start.Add(invalidTimeout))
		line, err := c.reader.ReadString('\n')
		if line != linePong && !c.node.killedBetween(start, time.Now()) {
			c.checker.count("rests ended before PONG: " + fmt.Sprint(err))
			return
		}
	}
	jitter := time.Duration(c.rng.IntN(2*idleJitter)-idleJitter) * time.Millisecond
	time.Sleep(time.Until(start.Add(idleTime + jitter)))
	line := c.openLine(c.newRequest())
	c.checker.count("requests across the end of a rest")
	c.write(line) // the node may have ended the connection by now, so this request is not checked
	setReadDeadline(c.conn, time.Now().Add(invalidTimeout))
	_, _ = c.reader.ReadString('\n') // both an answer and the end of the connection are valid
}

// newRequest draws a request at random. It does not record the request with the checker.
func (c *client) newRequest() *request {
	drawn := 0
	for point := c.rng.Float64(); drawn < len(classes)-1 && point > classes[drawn].fraction; drawn++ {
		point -= classes[drawn].fraction
	}
	return &request{
		id:          fmt.Sprintf("%016x", c.rng.Uint64()),
		class:       &classes[drawn],
		node:        c.node,
		incarnation: c.node.currentIncarnation(),
	}
}

// openLine returns the line of the protocol that opens a request.
func (c *client) openLine(opened *request) string {
	return fmt.Sprintf("OPEN %s %016x c=%s,t=all,d=%d\r\n",
		opened.id, c.rng.Uint64(), opened.class.name, opened.class.deadline.Milliseconds())
}

// sendRequest sends a request and handles its answer, or disconnects early.
func (c *client) sendRequest() {
	sent := c.newRequest()
	line := c.openLine(sent)
	if c.rng.IntN(6) == 0 {
		rest, err := c.writeInFragments(line)
		if err != nil {
			return
		}
		line = rest
	}
	sent.sentAt = time.Now()
	sent.deadline = sent.sentAt.Add(sent.class.deadline)
	c.checker.requestSent(sent)
	if _, err := io.WriteString(c.conn, line); err != nil {
		c.checker.clientGone(sent)
		return
	}
	if c.rng.IntN(7) == 0 {
		c.disconnectEarly(sent)
		return
	}
	c.awaitAnswer(sent)
}

// writeInFragments writes a line in small pieces except for its last byte, which it returns.
func (c *client) writeInFragments(line string) (lastByte string, err error) {
	for len(line) > 1 {
		size := 1 + c.rng.IntN(min(len(line)-1, maxLineFragment))
		if _, err := io.WriteString(c.conn, line[:size]); err != nil {
			return "", err
		}
		line = line[size:]
		time.Sleep(time.Duration(c.rng.IntN(fragmentJitter)) * time.Millisecond)
	}
	return line, nil
}

// awaitAnswer reads the answer to a request, and uses the connection if the node served the request.
func (c *client) awaitAnswer(sent *request) {
	setReadDeadline(c.conn, sent.deadline.Add(answerSlack+answerReadSlack))
	answer, err := c.reader.ReadString('\n')
	if err != nil {
		c.handleMissingAnswer(sent, answer, err)
		return
	}
	word, rest, _ := strings.Cut(strings.TrimRight(answer, "\r\n"), " ")
	switch word {
	case replyUp:
		c.checker.requestAnswered(sent, word)
		if served := c.checker.checkReceipt(sent, rest); served != nil {
			c.useConnection(sent, served)
		}
	case replyBusy, replyError:
		c.checker.requestAnswered(sent, word)
	default:
		c.checker.violated(Receipt, "%s: unknown answer %q from %s", sent.id, answer, c.node.name)
	}
}

// handleMissingAnswer records a violation for a connection that ended, or timed out, before the answer. If the harness
// killed the node's process meanwhile, it only counts the lost request.
func (c *client) handleMissingAnswer(sent *request, partial string, err error) {
	defer c.checker.clientGone(sent)
	if c.node.killedBetween(sent.sentAt, time.Now()) {
		c.checker.count("requests lost with a killed process")
		return
	}
	waited := time.Since(sent.sentAt).Round(time.Millisecond)
	c.checker.violated(Answer, "%s (%s): no answer from %s after %v: %q, %v",
		sent.id, sent.class.name, c.node.name, waited, partial, err)
}

// disconnectEarly ends the connection after a short random delay, unless the answer arrives first.
func (c *client) disconnectEarly(sent *request) {
	delay := time.Duration(c.rng.ExpFloat64() * float64(meanDisconnectDelay))
	setReadDeadline(c.conn, time.Now().Add(delay))
	answer, err := c.reader.ReadString('\n')
	if !isTimeout(err) {
		if err == nil {
			word, _, _ := strings.Cut(strings.TrimRight(answer, "\r\n"), " ")
			c.checker.requestAnswered(sent, word)
		}
		return
	}
	c.checker.count("clients that left early")
	switch c.rng.IntN(3) {
	case 0:
		closeQuietly(c.conn)
	case 1:
		reset(c.conn)
	default:
		_ = c.conn.CloseWrite() // fails only if the node has ended the connection as well
	}
	c.checker.clientGone(sent)
	setReadDeadline(c.conn, time.Now().Add(readTimeAfterClose))
	_, _ = io.Copy(io.Discard, c.conn) // data that a client gets after it left is not checked
}

// useConnection sends lines on an open connection and checks that each line comes back.
func (c *client) useConnection(served *request, connection *attempt) {
	length := time.Duration(c.rng.ExpFloat64() * float64(meanConnectionTime))
	end := time.Now().Add(min(length, maxConnectionTime))
	for number := 0; time.Now().Before(end) && !c.harness.over(); number++ {
		line := fmt.Sprintf("line %d of %s\r\n", number, served.id)
		sentAt := time.Now()
		if _, err := io.WriteString(c.conn, line); err != nil {
			c.checkEnd(served, connection, err)
			return
		}
		if !c.awaitLine(served, connection, line, sentAt) {
			return
		}
		time.Sleep(time.Duration(minLineInterval+c.rng.IntN(lineJitter)) * time.Millisecond)
	}
	if c.rng.IntN(4) == 0 {
		reset(c.conn)
	}
}

// awaitLine waits until a line comes back, and reports whether the connection is still usable.
func (c *client) awaitLine(served *request, connection *attempt, line string, sentAt time.Time) bool {
	setReadDeadline(c.conn, sentAt.Add(echoTimeout))
	got, err := c.reader.ReadString('\n')
	switch {
	case isTimeout(err):
		c.checker.violated(Line, "%s: no line came back through %s within %v", served.id, c.node.name, echoTimeout)
		return false
	case err != nil:
		c.checkEnd(served, connection, err)
		return false
	case got == line:
		c.checkLineTime(served, connection, time.Since(sentAt))
		return true
	case got == lineMove:
		c.checker.count("clients moved")
		return false
	}
	c.checker.violated(Line, "%s: %q came back through %s for %q", served.id, got, c.node.name, line)
	return false
}

// checkLineTime checks how long a line took to come back, unless the server or its proxy may have delayed the line.
func (c *client) checkLineTime(served *request, connection *attempt, took time.Duration) {
	if took <= lineTimeout {
		return
	}
	behavior, _ := connection.server.current()
	delayed := connection.server.proxy.impairment.Load().maxDelay > 0
	if behavior == healthy && !delayed && !c.checker.endedByServer(connection) {
		c.checker.violated(Line, "%s: a line came back through %s after %v", served.id, c.node.name, took)
	}
}

// checkEnd checks that an open connection that ended without MOVE had a valid reason to end.
func (c *client) checkEnd(served *request, connection *attempt, err error) {
	now := time.Now()
	for end := now.Add(settlingTime); time.Now().Before(end); time.Sleep(pollInterval) {
		if c.checker.endedByServer(connection) {
			c.checker.count("connections ended by their hosts")
			return
		}
	}
	switch {
	case c.node.killedBetween(now.Add(-settlingTime), now):
		c.checker.count("connections lost with a killed process")
	case c.node.connectionsBroken():
		c.checker.count("connections broken under a node")
	default:
		c.checker.violated(ConnectionEnd, "%s: %s ended the connection to %s without MOVE: %v",
			served.id, c.node.name, connection.server.id, err)
	}
}
