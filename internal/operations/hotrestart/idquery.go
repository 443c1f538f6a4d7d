package hotrestart

import (
	"time"

	"go.uber.org/zap"
)

// This file lets a process ask the other processes of its node whether a request with some id is open there, before it
// sends a request with this id to a server. Answers are in order with the batches on a link: a process that answers
// that a request is not open because it has transferred it has committed the batch before.
//
// A process of an earlier release ends a link on which it receives a query. A parent tells by its learned state that it
// answers queries (see ParentAnswersQueries). A successor is asked once it has asked itself, which it does before it
// sends its first request to a server.

// idAnswerTimeout is how long a request waits for the answers of other processes. A process that hasn't answered by
// then is not asked again before it has answered.
const idAnswerTimeout = 50 * time.Millisecond

// idQuery is one question to all other processes.
type idQuery struct {
	done        func(inUse bool) // nil: done was called
	outstanding int              // links whose answer is outstanding
	stopTimer   func()
}

// finish calls done, once.
func (q *idQuery) finish(inUse bool) {
	done := q.done
	if done == nil {
		return
	}
	q.done = nil
	q.stopTimer()
	done(inUse)
}

// answered handles one link's answer.
func (q *idQuery) answered(inUse bool) {
	q.outstanding--
	if inUse || q.outstanding == 0 {
		q.finish(inUse)
	}
}

// AskID asks the other processes whether a request with an id is open there. It reports whether there is a process to
// ask. If so, done is called once, later: with true if one of them has such a request, with false if none has or those
// that may have one didn't answer in time.
func (c *Coordinator) AskID(id string, done func(inUse bool)) (asked bool) {
	links := c.answeringLinks()
	if len(links) == 0 {
		return false
	}
	c.lastQuery++
	number := c.lastQuery
	query := &idQuery{done: done, outstanding: len(links)}
	eventLoop := c.options.Loop
	query.stopTimer = eventLoop.At(eventLoop.Now().Add(idAnswerTimeout), func() {
		for _, link := range links {
			link.queryExpired(number)
		}
		query.finish(false)
	})
	for _, link := range links {
		link.queries[number] = query
	}
	for _, link := range links {
		link.send(message{Kind: kindIDQuery, ID: id, Query: number})
	}
	return true
}

// answeringLinks returns the links to the processes that answer queries now.
func (c *Coordinator) answeringLinks() (answering []*link) {
	if c.parent != nil && c.parent.canBeAsked() {
		answering = append(answering, c.parent)
	}
	for _, successor := range c.successors {
		if successor.canBeAsked() {
			answering = append(answering, successor)
		}
	}
	return answering
}

// ParentAnswersQueries records that the parent, if there still is one, answers queries.
func (c *Coordinator) ParentAnswersQueries() {
	if c.parent != nil {
		c.parent.answersQueries = true
	}
}

// canBeAsked reports whether the other process answers queries and has answered all queries whose time is over.
func (l *link) canBeAsked() bool { return l.answersQueries && l.expiredQueries == 0 }

// queryExpired records that a query was not answered in time.
func (l *link) queryExpired(number uint64) {
	if _, outstanding := l.queries[number]; !outstanding {
		return
	}
	delete(l.queries, number)
	if l.expiredQueries == 0 {
		zap.L().Warn("hot_restart_query_unanswered", zap.Bool("started_later", l.toSuccessor))
	}
	l.expiredQueries++
}

// handleQuery handles a query or the answer to one, and reports whether it was valid.
func (l *link) handleQuery(received message) bool {
	switch received.Kind {
	case kindIDQuery:
		l.answersQueries = true
		inUse := l.coordinator.options.IDInUse != nil && l.coordinator.options.IDInUse(received.ID, l.peer())
		l.send(message{Kind: kindIDAnswer, Query: received.Query, InUse: inUse})
		return true
	case kindIDAnswer:
		l.handleAnswer(received)
		return true
	default:
		return false
	}
}

func (l *link) handleAnswer(received message) {
	query, outstanding := l.queries[received.Query]
	if !outstanding { // its time was over
		l.expiredQueries = max(0, l.expiredQueries-1)
		return
	}
	delete(l.queries, received.Query)
	query.answered(received.InUse)
}

// settleQueries answers the outstanding queries of a link that has ended. The other process has ended too, or is
// treated so, and its requests with it.
func (l *link) settleQueries() {
	queries := l.queries
	l.queries = nil
	for _, query := range queries {
		query.answered(false)
	}
}
