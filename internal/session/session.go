// Package session records which server holds each resumable session, also after the connection of its client has ended.
// It is independent of the protocol, does no I/O and takes the current time as an argument. The table has a limited
// size, and its entries expire.
package session

import (
	"time"

	"spurwinch/choice"
)

// Limit and default of the time for which a session can be resumed after its stream has ended.
const (
	MaxResumeTime     = 24 * time.Hour  // the table shortens longer times to this one
	DefaultResumeTime = 5 * time.Minute // used if the server gives no time
)

// Key identifies a session. Session ids are unique only within a domain.
type Key struct {
	Domain string `cbor:"Domain"`
	ID     string `cbor:"ID"`
}

// Session is a session that a client can resume.
type Session struct {
	Key
	User   string          `cbor:"User"` // empty: unknown
	Server choice.ServerID `cbor:"Host"`
	// ServerStarted is the start time of the server's process, from the endpoint list. A later process of the server
	// does not have the session.
	ServerStarted time.Duration `cbor:"Started"`
	ResumeTime    time.Duration `cbor:"Max"`   // how long the server keeps the session after its stream has ended
	Expires       time.Time     `cbor:"Until"` // when it expires; zero: its stream is connected
	// TimeLeft is the time until Expires. It is set for the transfer to another process, whose clock may differ; 0: the
	// session comes from a release that transfers only Expires.
	TimeLeft time.Duration `cbor:"Left"`
}

// Process is a process of the node, as seen from this one. While the node's program is replaced, it has more than one.
type Process uint8

// The processes.
const (
	ThisProcess Process = iota
	Predecessor         // the process that this one replaces
	Successor           // the process that replaces this one
)

// connected reports whether the session has a connected stream.
func (s *Session) connected() bool { return s.Expires.IsZero() }

// expired reports whether the time to resume the session is over.
func (s *Session) expired(now time.Time) bool { return !s.connected() && !now.Before(s.Expires) }

// resumableFor returns how long the session can be resumed, if its stream has ended or ends now.
func (s *Session) resumableFor(now time.Time) time.Duration {
	if s.connected() {
		return s.ResumeTime
	}
	return s.Expires.Sub(now)
}

// expiry returns when a session that another process has transferred expires, by this process's clock.
func (s *Session) expiry(now time.Time) time.Time {
	if s.TimeLeft > 0 {
		return now.Add(s.TimeLeft)
	}
	return s.Expires
}

// user returns the key of the session's user.
func (s *Session) user() userKey { return userKey{domain: s.Domain, name: s.User} }

// valid reports whether a session that another process has transferred can be resumed here. Its Expires must already be
// converted to this process's clock.
func (s *Session) valid(now time.Time) bool {
	if s.ID == "" || s.Server == "" || s.connected() {
		return false
	}
	return !s.expired(now) && s.Expires.Sub(now) <= MaxResumeTime
}
