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
	messageInterval = 400 * time.Millisecond // short enough that brief faults are seen
	writeTimeout    = time.Second
	maxPending      = 64 // messages without an answer
	maxLags         = 64 // timer lags that one connection records
)

// Lines of the platform's protocol on an established connection.
const (
	lineMessage = "SYNC" // any line: the server returns it
	lineMigrate = "MOVE"
)

// messageLoop sends a message each interval, at a random phase. A message that is answered within the objective of its
// class counts as one interval that was served well.
type messageLoop struct {
	client    *client
	conn      net.Conn
	reader    *bufio.Reader
	objective time.Duration
	end       time.Time // of the session
	next      time.Time // when the next message is due
	pending   []time.Time
	partial   []byte      // of a line
	served    []time.Time // of messages that were answered in time
	lags      []time.Duration
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
		_ = l.conn.SetReadDeadline(earlier(l.next, l.end)) // it fails of a closed connection only
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

// send sends the message that is due, unless too many have no answer yet.
func (l *messageLoop) send(now time.Time) error {
	if len(l.lags) < maxLags {
		l.lags = append(l.lags, now.Sub(l.next))
	}
	l.next = l.next.Add(messageInterval)
	if len(l.pending) >= maxPending {
		return nil
	}
	l.pending = append(l.pending, now)
	_ = l.conn.SetWriteDeadline(now.Add(writeTimeout)) // it fails of a closed connection only
	_, err := l.conn.Write([]byte(lineMessage + "\r\n"))
	return err
}

// readLines takes the lines that have come by now. It reports whether the node asks the client to reconnect.
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

// account adds what was served well, and the lags, to the replay.
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
