package xmpp

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"spurwinch/choice"
	sessions "spurwinch/internal/session"

	"go.uber.org/zap"
)

// Sessions that their clients resume (XEP-0198) live at one host, and only that one can take them up again. Who a client is
// shows in its stream header, or at the latest when it authenticates; where a session of its is known that can be resumed,
// the request goes to that host. What the client says of itself picks a host and nothing else: the host decides.

const (
	smNS    = "urn:xmpp:sm:3"
	sasl2NS = "urn:xmpp:sasl:2"
	bind2NS = "urn:xmpp:bind:0"

	mostGreeting = 4 << 10  // of what a client says before it authenticates, kept to say it to another host
	mostAuth     = 16 << 10 // of its first authentication
	mostID       = 1023     // bytes of a session's id, or of a user's name
)

// resuming is a session's part in resumption.
type resuming struct {
	user     string // as the client says; empty: not known yet
	previd   string // that the client asks for
	greeting []byte // what it said to the host before it authenticated; nil: nothing, or too much
	holding  bool   // its first authentication comes
	hold     []byte // as far as it has come
	text     []byte // in it: the initial response
	asked    bool   // it has come
	swallow  bool   // the next host's greeting is not the client's to see: it has had one
	sm       sessions.Key
}

func (s *session) domain() string { return strings.ToLower(s.to) }

// home is the host at which a session lives that the client may want to resume; empty: none is known that serves.
func (s *session) home(d Domain) choice.ServerID {
	t, now := s.front.sessions, s.front.loop.Now()
	known, ok := t.Find(now, sessions.Key{Domain: s.domain(), ID: s.previd})
	if !ok && s.user != "" {
		known, ok = t.Of(now, s.domain(), s.user)
	}
	if !ok {
		return ""
	}
	if !d.Core.AcceptsNew(known.Host, known.Started) {
		t.Forget(known.Key) // its host leaves, is gone, or has started anew and knows nothing of it
		return ""
	}
	return known.Host
}

// introduces looks for the client's first authentication, which is held back to its end: from it on the host is settled.
func (s *session) introduces(t token) {
	r := &s.resuming
	switch {
	case t.kind == start && t.depth == 2 && !r.asked && !s.open && s.request != nil &&
		(s.top.name == "auth" && t.attr("xmlns") == saslNS || s.top.name == "authenticate" && t.attr("xmlns") == sasl2NS):
		r.holding, r.asked = true, true
	case !r.holding:
	case t.kind == start && t.depth == 3 && local(t.name) == "resume" && t.attr("xmlns") == smNS:
		r.previd = t.attr("previd")
	case t.kind == text && t.depth <= 3 && len(r.text)+len(t.raw) <= mostAuth:
		r.text = append(r.text, t.raw...)
	}
}

// introduced lets the first authentication go on: to the host that the client was greeted by, or to the one where its
// session lives.
func (s *session) introduced() {
	r := &s.resuming
	hold := r.hold
	if u := userOf(s.top.attr("mechanism"), r.text); u != "" {
		r.user = u
	}
	r.holding, r.hold, r.text = false, nil, nil
	greeting := r.greeting
	if !s.committed {
		greeting = s.sent
	}
	d, ok := s.front.domain(s.to)
	home := s.home(d)
	if !ok || home == "" || s.attempt == nil || s.attempt.Server.ID == home || len(greeting) == 0 || len(hold) > mostAuth {
		s.pass(hold)
		return
	}
	if !s.request.MayRedirect(home) {
		s.pass(hold)
		return
	}
	zap.L().Debug("session_goes_home", zap.String("from", string(s.attempt.Server.ID)), zap.String("to", string(home)))
	r.swallow = s.committed
	s.sent, s.committed = append(append([]byte(nil), greeting...), hold...), false
	s.request.RedirectTo(home)
}

// userOf reads the user's name out of an initial response: PLAIN (RFC 4616) and SCRAM (RFC 5802). Other mechanisms tell
// none here.
func userOf(mechanism string, text []byte) string {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(raw) > mostAuth {
		return ""
	}
	name := ""
	switch {
	case mechanism == "PLAIN":
		if parts := strings.Split(string(raw), "\x00"); len(parts) == 3 {
			name = parts[1]
		}
	case strings.HasPrefix(mechanism, "SCRAM-"):
		parts := strings.SplitN(string(raw), ",", 4) // the channel binding, the authorization identity, n=, r=
		if len(parts) < 4 || !strings.HasPrefix(parts[2], "n=") {
			return ""
		}
		name = strings.NewReplacer("=2C", ",", "=3D", "=").Replace(parts[2][2:])
	}
	if len(name) > mostID {
		return ""
	}
	return strings.ToLower(name)
}

// localPart is a JID's, where its domain is the one that the stream is for.
func localPart(jid, domain string) string {
	jid, _, _ = strings.Cut(jid, "/")
	name, of, ok := strings.Cut(jid, "@")
	if !ok || !strings.EqualFold(of, domain) || len(name) > mostID {
		return ""
	}
	return strings.ToLower(name)
}

// managed takes what the host says of stream management: which session stands here from now on.
func (h *upstreamRequest) managed(t token) {
	s := h.session
	if t.kind != start || t.depth < 2 || t.depth > 4 || t.attr("xmlns") != smNS {
		return
	}
	id, life := "", sessions.DefaultMax
	switch local(t.name) {
	case "enabled":
		if v := t.attr("resume"); v != "true" && v != "1" {
			return
		}
		id = t.attr("id")
		if n, err := strconv.ParseUint(t.attr("max"), 10, 32); err == nil {
			life = time.Duration(n) * time.Second
		}
	case "resumed":
		id = t.attr("previd")
		if was, ok := s.front.sessions.Find(s.front.loop.Now(), sessions.Key{Domain: s.domain(), ID: id}); ok {
			life = was.Max
		}
	}
	if id == "" || len(id) > mostID {
		return
	}
	s.stands(sessions.Session{Key: sessions.Key{Domain: s.domain(), ID: id}, User: s.user,
		Host: h.attempt.Server.ID, Started: h.attempt.Server.Started, Max: life})
}

// stands notes that a session that can be resumed stands on this connection. One that it stood on before, and whose client has
// not been seen to leave, ends: nobody is there any more.
func (s *session) stands(of sessions.Session) {
	f := s.front
	if s.sm.ID != "" && s.sm != of.Key {
		f.gone(s, false)
	}
	if old := f.owners[of.Key]; old != nil && old != s {
		delete(f.owners, of.Key)
		f.loop.At(f.loop.Now(), func() {
			old.fail(conflict, "resumed on another connection")
		})
	}
	s.sm = of.Key
	f.owners[of.Key] = s
	f.sessions.Stands(f.loop.Now(), of)
}

// gone notes that a session has no stream any more; closed says that its client ended it and won't resume.
func (f *Front) gone(s *session, closed bool) {
	k := s.sm
	if k.ID == "" || f.owners[k] != s {
		return
	}
	s.sm = sessions.Key{}
	delete(f.owners, k)
	if closed {
		f.sessions.Forget(k)
	} else {
		f.sessions.Broke(f.loop.Now(), k)
	}
}

// Broken are the sessions that can be resumed and have no stream, for another process.
func (f *Front) Broken(most int) []sessions.Session { return f.sessions.Broken(f.loop.Now(), most) }

// Inherit takes in what another process knew of.
func (f *Front) Inherit(all []sessions.Session) { f.sessions.Inherit(f.loop.Now(), all) }
