package replay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

// answerSlack is how long a client still waits for an answer after its deadline.
const answerSlack = 100 * time.Millisecond

// Answers of the platform's protocol to OPEN.
const (
	answerEstablished = "UP"
	answerRejected    = "BUSY"
)

// connectionEnd tells how a connection, or the attempt to open one, ended.
type connectionEnd int

const (
	sessionOver  connectionEnd = iota // the client does not connect again
	failed                            // rejected or failed; the client retries after a backoff
	disconnected                      // reset or migrated; the client reconnects soon
)

// client simulates the client of one session.
type client struct {
	player   *player
	session  *workload.Session
	class    *fleet.Class
	priority float64 // of one second of the session
	rng      *rand.Rand
	failures int // failed attempts since its last established connection
}

func (p *player) newClient(session *workload.Session, priority float64) *client {
	return &client{
		player:   p,
		session:  session,
		class:    &p.fleet.Classes[session.Class],
		priority: priority,
		rng:      rand.New(rand.NewPCG(p.options.Seed, session.Client)),
	}
}

// run simulates the client until its session ends.
func (c *client) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, c.player.begin.Add(c.session.End()))
	defer cancel()
	for ctx.Err() == nil {
		end := failed
		retryAfter := time.Duration(0)
		if node := c.player.pickNode(c.session.Zone); node != nil {
			end, retryAfter = c.connect(ctx, node)
		}
		switch end {
		case sessionOver:
			return
		case failed:
			sleepUntil(ctx, time.Now().Add(c.retryDelay(retryAfter)))
		case disconnected:
			sleepUntil(ctx, time.Now().Add(c.reconnectDelay()))
		}
	}
}

// retryDelay returns how long the client waits after a failure, which is at least retryAfter, the wait that the node
// asked for.
func (c *client) retryDelay(retryAfter time.Duration) time.Duration {
	clients := &c.player.fleet.Clients
	wait := max(time.Duration(clients.Backoff), retryAfter, time.Millisecond)
	c.failures++
	if c.failures > clients.Retries {
		c.failures = 0
		wait = max(wait, time.Duration(clients.Pause))
	}
	return wait
}

// reconnectDelay draws how long the client waits after a reset or a migration.
func (c *client) reconnectDelay() time.Duration {
	clients := &c.player.fleet.Clients
	minimum := time.Duration(clients.ReconnectMin)
	span := time.Duration(clients.ReconnectMax) - minimum
	return minimum + time.Duration(c.rng.Float64()*float64(span))
}

// pickNode draws a running node of the given zone, or of any zone if that zone has none. It returns nil if no node is
// running.
func (p *player) pickNode(zone int) *node {
	var nearby, running []*node
	for _, node := range p.nodes {
		if node.isStopped() {
			continue
		}
		running = append(running, node)
		if zone < 0 || node.zone == zone {
			nearby = append(nearby, node)
		}
	}
	if len(nearby) == 0 {
		nearby = running
	}
	if len(nearby) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return nearby[p.rng.IntN(len(nearby))]
}

// connect opens one connection and exchanges messages on it until it ends. retryAfter is the wait that a rejection asks
// for.
func (c *client) connect(ctx context.Context, node *node) (end connectionEnd, retryAfter time.Duration) {
	c.player.updateStats(func(stats *Stats) { stats.Requests++ })
	time.Sleep(time.Duration(c.player.fleet.Network.Client))
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", node.address)
	if err != nil {
		if ctx.Err() != nil {
			return sessionOver, 0
		}
		c.player.updateStats(func(stats *Stats) { stats.Failed++ })
		return failed, 0
	}
	defer func() { _ = conn.Close() }()                 // the client no longer uses the connection
	_, _ = conn.Write([]byte(c.openRequest() + "\r\n")) // if it fails, the read of the answer fails too
	deadline := time.Now().Add(time.Duration(c.class.Deadline) + answerSlack)
	_ = conn.SetReadDeadline(earlier(deadline, contextDeadline(ctx))) // fails only if the connection is closed
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	answer, argument, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	switch {
	case err != nil && (ctx.Err() != nil || time.Now().After(contextDeadline(ctx))):
		return sessionOver, 0
	case answer == answerEstablished:
		c.player.updateStats(func(stats *Stats) { stats.Established++ })
		c.failures = 0
		return newMessageLoop(ctx, c, conn, reader).run(), 0
	case answer == answerRejected:
		c.player.updateStats(func(stats *Stats) { stats.Rejected++ })
		wait, _, _ := strings.Cut(argument, " ")
		milliseconds, _ := strconv.Atoi(wait) // an invalid number means no wait
		return failed, time.Duration(milliseconds) * time.Millisecond
	default:
		c.player.updateStats(func(stats *Stats) { stats.Failed++ })
		return failed, 0
	}
}

// openRequest returns the protocol line that requests a connection.
func (c *client) openRequest() string {
	tenant := ""
	if c.session.Tenant >= 0 {
		tenant = ",t=" + c.player.fleet.Tenants[c.session.Tenant].Name
	}
	group := ""
	if c.session.Group != 0 {
		group = fmt.Sprintf(",g=%016x", c.session.Group)
	}
	deadline := time.Duration(c.class.Deadline).Milliseconds()
	return fmt.Sprintf("OPEN %016x %016x c=%s%s,d=%d%s",
		c.rng.Uint64(), c.session.Client, c.class.Name, tenant, deadline, group)
}

// contextDeadline returns the deadline of a context, or the zero time if it has none.
func contextDeadline(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// isTimeout reports whether a read failed because its deadline passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
