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

// anyDomain is the key of the default domain, which serves all domains that are not configured by name.
const anyDomain = "*"

// rngStream is the second half of the random generator's seed. The first half is the node's seed.
const rngStream = 2

// maxOverLimit is the number of connections beyond the limit that the front still accepts, so that it can reject them
// with a stream error.
const maxOverLimit = 16

// Domain is a domain that clients may name in their stream header.
type Domain struct {
	Core         *edge.Core
	Class        int           // index in the core's list of request classes
	SetupTimeout time.Duration // limit of the whole set-up of a session, from its stream header on
}

// Limits bound the resources of one connection and of all connections together.
type Limits struct {
	MaxStanzaBytes   int           // maximum size of one stanza
	MaxReplayBytes   int           // bytes of a client that the front keeps to replay them to another server
	HeaderTimeout    time.Duration // limit for receiving the stream header, from the connection's start on
	HandshakeTimeout time.Duration // limit for a TLS handshake
	MaxConnections   int           // connections to clients and servers; a session that would reach it is rejected
	MaxResumable     int           // resumable sessions whose server the front remembers
	MaxBufferedBytes int           // bytes held for all clients together; 0: defaultMaxBufferedBytes
}

// Front serves XMPP clients. Its methods must be called from the loop's goroutine.
type Front struct {
	Answers Answers
	Trace   *trace.Recorder // records why connections end; nil disables recording

	loop              *loop.Loop
	limits            Limits
	domains           map[string]Domain // by name, in lower case
	random            *rand.Rand
	handshakes        *tls.Handshakes
	keys              *tls.Keys // nil if no listener uses TLS
	admission         *peerlimit.Controller
	resumable         *resumable.Table
	connectedSessions map[resumable.Key]*clientSession // resumable sessions with a client connection in this process
	buffers           *bufferBudget

	channelBindingReported map[choice.ServerID]bool // servers already logged for offering channel binding
}

// Answers counts accepted connections and the final answers of their sessions.
type Answers struct {
	Sessions    int // client connections accepted
	Established int // sessions established
	Errors      int // sessions that ended with a stream error before they were established
	Abandoned   int // clients that closed their stream or connection before they had an answer
}

// New returns a front for the given domains. The domain "*" serves all domains that are not named. The seed initializes
// the generator of random stream identifiers, request identifiers and placement keys.
func New(eventLoop *loop.Loop, domains map[string]Domain, limits Limits, seed uint64) *Front {
	return &Front{
		loop:              eventLoop,
		limits:            limits,
		domains:           domains,
		random:            rand.New(rand.NewPCG(seed, rngStream)),
		handshakes:        tls.NewHandshakes(eventLoop),
		admission:         peerlimit.NewController(peerlimit.Rules{}, nil, nil),
		resumable:         resumable.New(limits.MaxResumable),
		connectedSessions: map[resumable.Key]*clientSession{},
		buffers:           newBufferBudget(limits.MaxBufferedBytes),

		channelBindingReported: map[choice.ServerID]bool{},
	}
}

// findDomain returns the domain that a client has named, or else the default domain.
func (f *Front) findDomain(name string) (Domain, bool) {
	if domain, ok := f.domains[strings.ToLower(name)]; ok {
		return domain, true
	}
	domain, ok := f.domains[anyDomain]
	return domain, ok
}

// configuredName returns the name under which a domain is configured. The domain must be in lower case.
func (f *Front) configuredName(domain string) string {
	if _, ok := f.domains[domain]; ok {
		return domain
	}
	return anyDomain
}

// newID returns a random identifier for a stream or a request.
func (f *Front) newID() string { return strconv.FormatUint(f.random.Uint64(), 16) }

// newScanner returns a scanner at the start of a stream.
func (f *Front) newScanner() scanner { return scanner{maxBytes: f.limits.MaxStanzaBytes} }

// SetAdmissionRules replaces the rules of admission control. The new rules apply to streams that are opened afterwards.
func (f *Front) SetAdmissionRules(
	rules peerlimit.Rules, networks *peerlimit.Networks, domains map[string]peerlimit.Limits,
) {
	f.admission.SetRules(rules, networks, domains)
}
