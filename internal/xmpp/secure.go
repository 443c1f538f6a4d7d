package xmpp

import (
	"strconv"
	"strings"
	"time"

	"spurwinch/internal/loop"
	"spurwinch/internal/transport/peerlimit"
	"spurwinch/internal/transport/tls"

	"go.uber.org/zap"
)

// wire is a client's connection: one of the loop's, or TLS over one.
type wire interface {
	Write(p []byte)
	End()
	Abort()
	Pause()
	Resume()
	Full() bool
	LeaveIdleQueue()
}

// Guard has the door go by other rules, for streams that come from now on.
func (f *Front) Guard(r peerlimit.Rules, n *peerlimit.Networks, domains map[string]peerlimit.Limits) {
	f.door.Adapt(r, n, domains)
}

// Turned counts the streams that were turned away, by verdict.
func (f *Front) Turned() [peerlimit.TooWaiting + 1]int { return f.door.Rejections }

// turnAway tells a client that it is not let in, and why.
func (s *session) turnAway(v peerlimit.Verdict) {
	zap.L().Warn("client_turned_away", zap.Stringer("peer", s.raw.Peer), zap.String("domain", s.to), zap.Stringer("cause", v))
	s.fail(resourceConstraint, v.String())
}

// protocol is the ALPN name of direct TLS (XEP-0368).
const protocol = "xmpp-client"

// secure has TLS begin on the connection, for a handler above it. What it returns is the connection's handler from now on.
func (s *session) secure(now time.Time, above loop.Handler) *tls.Conn {
	s.clear, s.upgrading, s.layered = false, false, true
	protocols := []string{protocol}
	if above != loop.Handler(s) {
		protocols = []string{"http/1.1"}
	}
	return s.front.shakes.Server(s.raw, s.front.keys.Config(protocols...), now.Add(s.front.limits.ShakeTime), above)
}

// offerTLS answers the header of a stream in the clear: there is nothing to be had before TLS.
func (s *session) offerTLS(to string) {
	s.headerDue, s.to = false, to
	s.conn.Write([]byte("<?xml version='1.0'?><stream:stream from='" + escape(to) + "' id='" + strconv.FormatUint(s.front.ids.Uint64(), 16) +
		"' version='1.0' xml:lang='en' xmlns='" + clientNS + "' xmlns:stream='" + streamNS + "'><stream:features><starttls xmlns='" + tlsNS +
		"'><required/></starttls></stream:features>"))
}

// startTLS has TLS begin behind <starttls/>. Bytes that came behind it in the clear end the stream: whoever put them there could
// have the client's words begin with his own.
func (s *session) startTLS(behind []byte) {
	if len(behind) > 0 || len(s.in.part) > 0 || !s.in.between() {
		s.fail(policyViolation, "bytes behind <starttls/>")
		return
	}
	s.conn.Write([]byte("<proceed xmlns='" + tlsNS + "'/>"))
	now := s.front.loop.Now()
	s.cancelTimer()
	s.due(now.Add(s.front.limits.ShakeTime + s.front.limits.HeaderTime))
	s.in, s.headerDue, s.to, s.top = scanner{most: s.front.limits.Stanza}, true, "", token{}
	t := s.secure(now, s)
	s.conn = t
	s.raw.SetHandler(t)
}

// unbindable names a host that offers channel binding to a client whose TLS ends here, once: it can't hold.
func (h *upstreamRequest) unbindable(t token) {
	s := h.session
	if s.layered && t.kind == text && h.top.name == "features" && strings.HasSuffix(strings.TrimSpace(string(t.raw)), "-PLUS") && !s.front.plus[h.attempt.Server.ID] {
		s.front.plus[h.attempt.Server.ID] = true
		zap.L().Warn("host_offers_channel_binding", zap.String("host", string(h.attempt.Server.ID)), zap.String("mechanism", string(t.raw)),
			zap.String("remedy", "TLS ends at this node, so no binding can hold: have the host offer no -PLUS mechanisms"))
	}
}
