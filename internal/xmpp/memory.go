package xmpp

import (
	"spurwinch/internal/loop"
	"spurwinch/internal/transport/websocket"

	"go.uber.org/zap"
)

// defaultMaxBufferedBytes is used if Limits.MaxBufferedBytes is 0.
const defaultMaxBufferedBytes = 24 << 20

// bufferBudget limits the bytes that the front holds for all clients together: unfinished tokens and messages, and what
// it keeps to replay to another server. The limits of one connection don't bound their sum. If the budget is exceeded,
// the sessions that hold most end, so that clients with ordinary stanzas are still served.
type bufferBudget struct {
	limit   int
	used    int
	holders map[*clientSession]int // bytes held; only sessions that hold any
}

func newBufferBudget(limit int) *bufferBudget {
	if limit <= 0 {
		limit = defaultMaxBufferedBytes
	}
	return &bufferBudget{limit: limit, holders: map[*clientSession]int{}}
}

// set records how many bytes a session holds now.
func (b *bufferBudget) set(session *clientSession, size int) {
	b.used += size - b.holders[session]
	if size > 0 {
		b.holders[session] = size
	} else {
		delete(b.holders, session)
	}
}

// largest returns the session that holds most, or nil if none holds any bytes.
func (b *bufferBudget) largest() (largest *clientSession) {
	most := 0
	for session, size := range b.holders {
		if size > most {
			largest = session
			most = size
		}
	}
	return largest
}

// accountBuffers records the bytes that the session holds, and ends the sessions that hold most while all of them
// together exceed the budget.
func (s *clientSession) accountBuffers() {
	budget := s.front.buffers
	if s.finished {
		return
	}
	budget.set(s, s.bufferedBytes())
	for budget.used > budget.limit {
		largest := budget.largest()
		zap.L().Warn("client_buffers_full",
			zap.Stringer("peer", largest.socket.Peer),
			zap.Int("bytes", budget.holders[largest]),
			zap.Int("bytes_of_all", budget.used))
		budget.set(largest, 0)
		largest.releaseBuffers()
		largest.fail(resourceConstraint, "the node has no room for the rest of the stanza")
	}
}

// bufferedBytes returns the size of the buffers that the session's client fills.
func (s *clientSession) bufferedBytes() int {
	size := cap(s.received.pending) + cap(s.replay) + cap(s.openingBytes)
	size += cap(s.authentication) + cap(s.initialResponse)
	if s.login != nil {
		size += cap(s.login.request) + cap(s.login.restart) + cap(s.login.pending)
	}
	if messages, ok := s.client.(*messageConn); ok {
		size += cap(messages.received.pending) + messages.webSocket.Buffered()
	}
	return size
}

// releaseBuffers drops the unfinished input of a session that is about to end. Its connection stays open until its last
// bytes are written, and must not hold the buffers that long.
func (s *clientSession) releaseBuffers() {
	s.received.pending = nil
	if messages, ok := s.client.(*messageConn); ok {
		messages.received.pending = nil
		messages.webSocket.DropInput()
	}
}

// accountedWebSocket accounts for the bytes of messages that are not complete yet, which don't reach the session.
type accountedWebSocket struct {
	*websocket.Conn

	session *clientSession
}

var _ loop.Evictable = (*accountedWebSocket)(nil)

// OnData handles bytes that the client has sent.
func (a *accountedWebSocket) OnData(data []byte) {
	a.Conn.OnData(data)
	a.session.accountBuffers()
}
