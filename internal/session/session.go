// Package session records which server holds a resumable session, beyond the life of its client's connection. It knows
// no protocol and does no I/O; time is passed as a value. The table is bounded, and its entries expire.
package session

import (
	"time"

	"spurwinch/choice"
)

// Bounds of the time for which a session can be resumed once its stream is gone.
const (
	MaxResumeTime     = 24 * time.Hour  // a longer one counts as this
	DefaultResumeTime = 5 * time.Minute // where the server tells none
)

// Key names a session: ids are unique within a domain only.
type Key struct {
	Domain string `cbor:"Domain"`
	ID     string `cbor:"ID"`
}

// Session is one that can be resumed.
type Session struct {
	Key
	User   string          `cbor:"User"` // empty: not known
	Server choice.ServerID `cbor:"Host"`
	// ServerStarted is the start of the server's process, as the endpoint list has it: another process knows nothing of
	// the session.
	ServerStarted time.Duration `cbor:"Started"`
	ResumeTime    time.Duration `cbor:"Max"`   // for which the server keeps it once its stream is gone
	Expires       time.Time     `cbor:"Until"` // when it expires; zero: its stream is connected
	// TimeLeft is the time until then, as it is transferred to another process, whose clock may differ; 0: from a
	// release that transfers Expires only.
	TimeLeft time.Duration `cbor:"Left"`
}

// connected reports whether the session has a stream.
func (s *Session) connected() bool { return s.Expires.IsZero() }

// expired reports whether the session can't be resumed any more.
func (s *Session) expired(now time.Time) bool { return !s.connected() && !now.Before(s.Expires) }

// user is the owner of the session.
func (s *Session) user() userKey { return userKey{domain: s.Domain, name: s.User} }

// valid reports whether a session that another process transferred, with its Expires by this one's clock, can be
// resumed here.
func (s *Session) valid(now time.Time) bool {
	if s.ID == "" || s.Server == "" || s.connected() {
		return false
	}
	return !s.expired(now) && s.Expires.Sub(now) <= MaxResumeTime
}
