package replay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	messageInterval = 400 * time.Millisecond // short enough to detect brief faults
	writeTimeout    = time.Second
	maxPending      = 64 // unanswered messages of one connection
	maxLags         = 64 // timer lags recorded per connection
)

// Lines of the platform's protocol on an established connection.
const (
	lineMessage = "SYNC" // the text is arbitrary because the server echoes any line
	lineMigrate = "MOVE"
)

// messageLoop sends one message per interval, starting at a random phase. For each message that is answered within the
// latency objective of its class, the client counts as well served for one interval.
type messageLoop struct {
	client    *client
	conn      net.Conn
	reader    *bufio.Reader
	objective time.Duration
	end       time.Time       // of the session
	next      time.Time       // when the next message is due
	pending   []time.Time     // when each unanswered message was sent
	partial   []byte          // received part of a line
	served    []time.Time     // when each message that was answered in time was sent
	lags      []time.Duration // how late messages were sent
}

func newMessageLoop(ctx context.Context, c *client, conn net.Conn, reader *bufio.Reader) *messageLoop {
	phase := time.Duration(c.rng.Float64() * float64(messageInterval))
	return &messageLoop{
		client:    c,
		conn:      conn,
		reader:    reader,
		objective: time.Duration(c.class.MessageObjective),
		end:       contextDeadline(ctx),
		next:      time.Now().Add(phase),
	}
}

// run exchanges messages until the connection or the session ends.
func (l *messageLoop) run() connectionEnd {
	defer l.account()
	buffer := make([]byte, 512)
	for {
		now := time.Now()
		if !now.Before(l.end) {
			return sessionOver
		}
		if !now.Before(l.next) {
			if err := l.send(now); err != nil {
				return l.reset()
			}
		}
		_ = l.conn.SetReadDeadline(earlier(l.next, l.end)) // fails only if the connection is closed
		count, err := l.reader.Read(buffer)
		l.partial = append(l.partial, buffer[:count]...)
		if migrated := l.readLines(time.Now()); migrated {
			l.client.player.updateStats(func(stats *Stats) { stats.Migrations++ })
			return disconnected
		}
		switch {
		case err == nil || isTimeout(err):
		case errors.Is(err, io.EOF) && !time.Now().Before(l.end):
			return sessionOver
		default:
			return l.reset()
		}
	}
}

func (l *messageLoop) reset() connectionEnd {
	l.client.player.updateStats(func(stats *Stats) { stats.Resets++ })
	return disconnected
}

// send sends the message that is due, unless too many messages are still unanswered.
func (l *messageLoop) send(now time.Time) error {
	if len(l.lags) < maxLags {
		l.lags = append(l.lags, now.Sub(l.next))
	}
	l.next = l.next.Add(messageInterval)
	if len(l.pending) >= maxPending {
		return nil
	}
	l.pending = append(l.pending, now)
	_ = l.conn.SetWriteDeadline(now.Add(writeTimeout)) // fails only if the connection is closed
	_, err := l.conn.Write([]byte(lineMessage + "\r\n"))
	return err
}

// readLines processes the complete lines received so far. It reports whether the node asked the client to reconnect.
func (l *messageLoop) readLines(now time.Time) (migrated bool) {
	for {
		length := bytes.IndexByte(l.partial, '\n')
		if length < 0 {
			return false
		}
		line := string(bytes.TrimRight(l.partial[:length], "\r"))
		l.partial = l.partial[length+1:]
		switch {
		case line == lineMigrate:
			return true
		case line == lineMessage && len(l.pending) > 0:
			if sent := l.pending[0]; now.Sub(sent) <= l.objective {
				l.served = append(l.served, sent)
			}
			l.pending = l.pending[1:]
		}
	}
}

// account adds the messages that were answered in time and the timer lags to the results of the replay.
func (l *messageLoop) account() {
	p := l.client.player
	session := l.client.session
	weight := l.client.priority * messageInterval.Seconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lags = append(p.lags, l.lags...)
	for _, sent := range l.served {
		p.account.AddServed(sent.Sub(p.begin), session.Class, session.Tenant, weight)
	}
}
