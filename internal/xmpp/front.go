package xmpp

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/trace"
	"spurwinch/internal/transport/peerlimit"
	"spurwinch/internal/transport/tls"
)

// Namespaces of the protocol's elements.
const (
	clientNS      = "jabber:client"
	streamNS      = "http://etherx.jabber.org/streams"
	streamErrorNS = "urn:ietf:params:xml:ns:xmpp-streams"
	bindNS        = "urn:ietf:params:xml:ns:xmpp-bind"
	bind2NS       = "urn:xmpp:bind:0" // XEP-0386
	tlsNS         = "urn:ietf:params:xml:ns:xmpp-tls"
	saslNS        = "urn:ietf:params:xml:ns:xmpp-sasl"
	sasl2NS       = "urn:xmpp:sasl:2"                     // XEP-0388
	managementNS  = "urn:xmpp:sm:3"                       // stream management, XEP-0198
	framingNS     = "urn:ietf:params:xml:ns:xmpp-framing" // WebSocket, RFC 7395
)

// anyDomain is the key of the domain that stands for all that are not named.
const anyDomain = "*"

// rngStream is the second half of a front's seed, beside the node's own.
const rngStream = 2

// maxOverLimit is how many connections beyond the limit are accepted, to reject them with a stream error.
const maxOverLimit = 16

// Domain is a domain that clients may name in the stream header.
type Domain struct {
	Core         *edge.Core
	Class        int           // of the core's classes
	SetupTimeout time.Duration // for the whole set-up of a session, from its stream header on
}

// Limits bound what one connection may use, and what all of them may.
type Limits struct {
	MaxStanzaBytes   int           // bytes of one stanza
	MaxReplayBytes   int           // bytes of a client that are kept to be replayed to another server
	HeaderTimeout    time.Duration // for the stream header, from the connection on
	HandshakeTimeout time.Duration // for a TLS handshake
	MaxConnections   int           // connections, both sides, from which on new sessions are rejected
	MaxResumable     int           // resumable sessions whose server is remembered
}

// Front serves XMPP clients. Its methods must be called from the loop's goroutine.
type Front struct {
	Answers Answers
	Trace   *trace.Recorder // records why connections end; nil: nothing is recorded

	loop       *loop.Loop
	limits     Limits
	domains    map[string]Domain // by name, in lower case
	random     *rand.Rand
	handshakes *tls.Handshakes
	keys       *tls.Keys // nil: no listener has TLS
	admission  *peerlimit.Controller
	resumable  *resumable.Table
	owners     map[resumable.Key]*clientSession // of the resumable sessions that have a connection of this process

	channelBindingReported map[choice.ServerID]bool // servers that were logged for offering channel binding
}

// Answers counts the final answers given.
type Answers struct {
	Sessions    int // client connections that were accepted
	Established int // sessions that were set up
	Errors      int // stream errors in place of a session
	Abandoned   int // clients that ended before they had an answer
}

// New returns a front for the given domains; "*" stands for all that are not named. The seed is that of the random
// stream and request identifiers.
func New(eventLoop *loop.Loop, domains map[string]Domain, limits Limits, seed uint64) *Front {
	return &Front{
		loop:       eventLoop,
		limits:     limits,
		domains:    domains,
		random:     rand.New(rand.NewPCG(seed, rngStream)),
		handshakes: tls.NewHandshakes(eventLoop),
		admission:  peerlimit.NewController(peerlimit.Rules{}, nil, nil),
		resumable:  resumable.New(limits.MaxResumable),
		owners:     map[resumable.Key]*clientSession{},

		channelBindingReported: map[choice.ServerID]bool{},
	}
}

// domain returns the domain that a client has named.
func (f *Front) domain(name string) (Domain, bool) {
	if domain, ok := f.domains[strings.ToLower(name)]; ok {
		return domain, true
	}
	domain, ok := f.domains[anyDomain]
	return domain, ok
}

// configuredName returns the name under which a domain, in lower case, is configured.
func (f *Front) configuredName(domain string) string {
	if _, ok := f.domains[domain]; ok {
		return domain
	}
	return anyDomain
}

// newID returns a random identifier of a stream or a request.
func (f *Front) newID() string { return strconv.FormatUint(f.random.Uint64(), 16) }

// newScanner returns a scanner at the start of a stream.
func (f *Front) newScanner() scanner { return scanner{maxBytes: f.limits.MaxStanzaBytes} }

// SetAdmissionRules replaces the rules of admission control, for streams that are opened from now on.
func (f *Front) SetAdmissionRules(
	rules peerlimit.Rules, networks *peerlimit.Networks, domains map[string]peerlimit.Limits,
) {
	f.admission.SetRules(rules, networks, domains)
}
