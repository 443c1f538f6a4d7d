package faults

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	maxClients           = 20000           // at the same time; clients beyond that are not started
	initialConnectTime   = 3 * time.Second // the clients that exist at the start connect within this time
	maxLifetimeFactor    = 4               // times the mean lifetime of a connection
	noNodeDelay          = 300 * time.Millisecond
	answerGrace          = 100 * time.Millisecond // for which a client waits beyond its deadline
	minRetryDelay        = 100 * time.Millisecond
	retryJitter          = 300 // ms
	maxRejections        = 3   // requests in a row that are not served, before a client waits for delayAfterRejections
	delayAfterRejections = 4 * time.Second
	minReconnectDelay    = 60              // ms
	reconnectSpread      = 1200            // ms
	messageInterval      = 2 * time.Second // the same as that of the platform's clients
	messageTimeout       = time.Second
	readPollInterval     = 500 * time.Millisecond
	clientReadBuffer     = 512
)

// runArrivals starts clients of a zone as a Poisson process until the run is over. Arrivals don't depend on answers: a
// client that waits for its answer doesn't delay the next client.
func (h *harness) runArrivals(zone string, rng *rand.Rand) {
	fleet := h.scenario.Fleet
	demand := fleet.Utilization * float64(h.zoneCapacity())
	rate := demand / fleet.ConnectionLifetime.Seconds()
	for range int(demand) {
		h.startClient(zone, rng, time.Duration(rng.Float64()*float64(initialConnectTime)))
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !h.pause(time.Until(next)) {
			return
		}
		h.startClient(zone, rng, 0)
	}
}

// client is a simulated client that needs one connection until disconnectAt. It connects again if the connection ends
// earlier.
type client struct {
	harness      *harness
	zone         string
	class        int
	disconnectAt time.Time
	rng          *rand.Rand
}

// startClient draws a client's class and lifetime, and starts the client after a delay. It starts no client if
// maxClients exist already.
func (h *harness) startClient(zone string, rng *rand.Rand, after time.Duration) {
	class := 0
	for point := rng.Float64(); class < len(Classes)-1 && point > Classes[class].Fraction; class++ {
		point -= Classes[class].Fraction
	}
	mean := time.Duration(h.scenario.Fleet.ConnectionLifetime)
	lifetime := min(time.Duration(rng.ExpFloat64()*float64(mean)), maxLifetimeFactor*mean)
	if h.clients.Add(1) > maxClients {
		h.clients.Add(-1)
		return
	}
	started := &client{
		harness:      h,
		zone:         zone,
		class:        class,
		disconnectAt: time.Now().Add(after + lifetime),
		rng:          rand.New(rand.NewPCG(rng.Uint64(), clientStream)),
	}
	h.background.Go(func() {
		defer h.clients.Add(-1)
		if after == 0 || h.pause(after) {
			started.run()
		}
	})
}

// run connects repeatedly until the client no longer needs its connection.
func (c *client) run() {
	rejections := 0
	for time.Now().Before(c.disconnectAt) {
		n := c.harness.nodeFor(c.zone, c.rng)
		if n == nil {
			if !c.harness.pause(noNodeDelay) {
				return
			}
			continue
		}
		served, retryAfter := c.request(n)
		delay := time.Duration(minReconnectDelay+c.rng.IntN(reconnectSpread)) * time.Millisecond
		if served {
			rejections = 0
		} else {
			jitter := time.Duration(c.rng.IntN(retryJitter)) * time.Millisecond
			delay = max(retryAfter, minRetryDelay) + jitter
			rejections++
		}
		if rejections > maxRejections {
			rejections = 0
			delay = max(delay, delayAfterRejections)
		}
		if !c.harness.pause(delay) {
			return
		}
	}
}

// request sends one request to a node, and uses the connection if the request is served.
func (c *client) request(target *node) (served bool, retryAfter time.Duration) {
	class := Classes[c.class]
	deadline := time.Duration(class.Deadline * float64(time.Second))
	start := time.Now()
	answer := Event{
		Kind:  KindAnswer,
		ID:    fmt.Sprintf("%016x", c.rng.Uint64()),
		Node:  target.name,
		Zone:  target.zone,
		Class: class.Name,
	}
	conn, err := net.DialTimeout("tcp", target.clientAddr, deadline)
	if err != nil {
		c.harness.relay.countDescriptorLack(err)
		answer.Result = ResultNone
		c.recordAnswer(answer, target, start)
		return false, 0
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(start.Add(deadline + answerGrace)) // if this fails, the read below fails too
	_, _ = fmt.Fprintf(conn, "OPEN %s %016x c=%s,d=%d\r\n", // if the write fails, the read below fails too
		answer.ID, c.rng.Uint64(), class.Name, deadline.Milliseconds())
	reader := bufio.NewReaderSize(conn, clientReadBuffer)
	line, err := reader.ReadString('\n')
	word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	answer.Result = resultOf(word)
	if err != nil {
		answer.Result = ResultNone
	}
	if answer.Result == ResultServed {
		answer.To = c.harness.zoneOfReply(rest)
	}
	c.recordAnswer(answer, target, start)
	switch answer.Result {
	case ResultServed:
		c.useConnection(conn, reader)
		return true, 0
	case ResultRejected:
		return false, parseRetryAfter(rest)
	default:
		return false, 0
	}
}

// resultOf returns the result that the first word of an answer stands for.
func resultOf(word string) Result {
	switch word {
	case "UP":
		return ResultServed
	case "BUSY":
		return ResultRejected
	}
	return ResultFailed
}

// parseRetryAfter parses the milliseconds that follow BUSY. It returns zero if there are none.
func parseRetryAfter(text string) time.Duration {
	first, _, _ := strings.Cut(text, " ")
	milliseconds, err := strconv.Atoi(first)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// zoneOfReply returns the zone of the server that sent a reply of the form REQUEST@SERVER. It returns "" if the server
// is unknown.
func (h *harness) zoneOfReply(reply string) string {
	_, id, _ := strings.Cut(reply, "@")
	if sender := h.serverByID[id]; sender != nil {
		return sender.zone
	}
	return ""
}

// recordAnswer records the answer to a request, or that the request got none.
func (c *client) recordAnswer(answer Event, n *node, start time.Time) {
	if c.harness.over() {
		return
	}
	answer.Took = time.Since(start).Seconds()
	if answer.Result == ResultNone && !n.hasRunSince(start) {
		answer.Result = ResultNodeGone // the node's process ended or paused, so no answer was due
	}
	c.harness.record(answer)
}

// useConnection sends messages at messageInterval until the client no longer needs the connection, the node sends MOVE
// or the connection ends.
func (c *client) useConnection(conn net.Conn, reader *bufio.Reader) {
	nextMessage := time.Now().Add(time.Duration(c.rng.Float64() * float64(messageInterval)))
	for !c.harness.over() {
		now := time.Now()
		if !now.Before(c.disconnectAt) {
			return
		}
		if !now.Before(nextMessage) {
			if !sendMessage(conn, now) {
				return
			}
			nextMessage = nextMessage.Add(messageInterval)
		}
		setReadDeadline(conn, earliest(nextMessage, c.disconnectAt, now.Add(readPollInterval)))
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "MOVE") {
			return
		}
		if err != nil && !isTimeout(err) {
			return
		}
	}
}

// sendMessage sends a message, and reports whether the write succeeded.
func sendMessage(conn net.Conn, now time.Time) bool {
	if conn.SetWriteDeadline(now.Add(messageTimeout)) != nil {
		return false
	}
	_, err := fmt.Fprint(conn, "SYNC\r\n")
	return err == nil
}

// earliest returns the earliest of the given times.
func earliest(first time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if other.Before(first) {
			first = other
		}
	}
	return first
}
