package peerlimit

import (
	"net/netip"
	"time"
)

// Default lengths of the prefix of an IPv4 and an IPv6 address that identifies a peer.
const (
	defaultPrefixBits4 = 32
	defaultPrefixBits6 = 64
)

// After a sweep that leaves n peers in the table, the next n/sweepDivisor lookups that find the table full don't sweep.
const sweepDivisor = 8

// Controller counts open streams and decides whether new ones are admitted.
type Controller struct {
	Rejections [verdictCount]int // number of rejected streams by verdict

	rules        Rules
	networks     *Networks // nil: no networks
	domainLimits map[string]Limits
	peers        map[netip.Prefix]*usage
	otherPeers   usage // shared by all peers that found no place in peers
	domains      map[string]*usage
	untilSweep   int // number of lookups that may still find the table full before the next sweep
}

// NewController returns a controller with no open streams.
func NewController(rules Rules, networks *Networks, domains map[string]Limits) *Controller {
	controller := &Controller{peers: map[netip.Prefix]*usage{}, domains: map[string]*usage{}}
	controller.SetRules(rules, networks, domains)
	return controller
}

// SetRules replaces the rules, the networks and the limits of domains for streams that are opened later. Open streams
// are still counted.
func (c *Controller) SetRules(rules Rules, networks *Networks, domains map[string]Limits) {
	if rules.PrefixBits4 == 0 {
		rules.PrefixBits4 = defaultPrefixBits4
	}
	if rules.PrefixBits6 == 0 {
		rules.PrefixBits6 = defaultPrefixBits6
	}
	rules.MaxPeers = max(1, rules.MaxPeers)
	c.rules = rules
	c.networks = networks
	c.domainLimits = domains
}

// Peers returns the number of peers that are counted separately.
func (c *Controller) Peers() int { return len(c.peers) }

// Stream is an admitted stream. Its methods may be called in any order and more than once.
type Stream struct {
	peer, domain    *usage // nil: no limits apply
	unauthenticated bool
	closed          bool
}

// Admit decides whether a new stream from an address is admitted. The returned stream is nil unless the verdict is
// Admitted.
func (c *Controller) Admit(now time.Time, from netip.Addr) (*Stream, Verdict) {
	from = normalize(from)
	exempt, listed := c.networks.find(from)
	if listed && !exempt {
		c.Rejections[Denied]++
		return nil, Denied
	}
	stream := &Stream{unauthenticated: true}
	if !c.limited(from, listed) {
		return stream, Admitted
	}
	peer := c.peer(now, from)
	if verdict := peer.check(now, c.rules.Peer); verdict != Admitted {
		c.Rejections[verdict]++
		return nil, verdict
	}
	peer.open()
	stream.peer = peer
	return stream, Admitted
}

// normalize returns the address under which a client is counted.
func normalize(address netip.Addr) netip.Addr { return address.Unmap().WithZone("") }

// limited reports whether the limits of peers apply to an address.
func (c *Controller) limited(from netip.Addr, listed bool) bool {
	return !listed && c.rules.Peer.any() && from.IsValid()
}

// AdmitToDomain decides whether a stream may be opened for the domain that the stream's header has named.
func (c *Controller) AdmitToDomain(now time.Time, stream *Stream, name string) Verdict {
	limits := c.domainLimits[name]
	if !limits.any() || stream == nil || stream.domain != nil || stream.closed {
		return Admitted
	}
	domain := c.domain(name)
	if verdict := domain.check(now, limits); verdict != Admitted {
		c.Rejections[verdict]++
		return verdict
	}
	domain.open()
	stream.domain = domain
	if !stream.unauthenticated {
		domain.unauthenticated--
	}
	return Admitted
}

// Restore counts a stream that another process admitted.
func (c *Controller) Restore(now time.Time, from netip.Addr, domain string) *Stream {
	stream := &Stream{}
	from = normalize(from)
	if _, listed := c.networks.find(from); c.limited(from, listed) {
		stream.peer = c.peer(now, from)
		stream.peer.restore(now, c.rules.Peer)
	}
	if limits := c.domainLimits[domain]; limits.any() {
		stream.domain = c.domain(domain)
		stream.domain.restore(now, limits)
	}
	return stream
}

// peer returns the usage of an address's peer. All peers that find no place in the table share one usage.
func (c *Controller) peer(now time.Time, from netip.Addr) *usage {
	bits := c.rules.PrefixBits6
	if from.Is4() {
		bits = c.rules.PrefixBits4
	}
	prefix, err := from.Prefix(bits)
	if err != nil {
		return &c.otherPeers
	}
	if known := c.peers[prefix]; known != nil {
		return known
	}
	if len(c.peers) >= c.rules.MaxPeers && !c.sweep(now) {
		return &c.otherPeers
	}
	added := &usage{}
	c.peers[prefix] = added
	return added
}

// sweep removes the peers that have no open streams and a full token bucket, as a new peer has, and reports whether the
// table has a place now. Since a sweep visits all peers, it is not repeated before some of them can have become
// removable.
func (c *Controller) sweep(now time.Time) bool {
	if c.untilSweep > 0 {
		c.untilSweep--
		return false
	}
	for prefix, peer := range c.peers {
		peer.refill(now, c.rules.Peer)
		if peer.streams == 0 && peer.tokens >= c.rules.Peer.burst() {
			delete(c.peers, prefix)
		}
	}
	c.untilSweep = len(c.peers) / sweepDivisor
	return len(c.peers) < c.rules.MaxPeers
}

// domain returns the usage of a domain.
func (c *Controller) domain(name string) *usage {
	domain := c.domains[name]
	if domain == nil {
		domain = &usage{}
		c.domains[name] = domain
	}
	return domain
}

// Authenticated records that the stream's client has authenticated.
func (s *Stream) Authenticated() {
	if s == nil || !s.unauthenticated || s.closed {
		return
	}
	s.unauthenticated = false
	s.eachUsage(func(u *usage) { u.unauthenticated-- })
}

// Close records that the stream has ended.
func (s *Stream) Close() {
	if s == nil || s.closed {
		return
	}
	s.Authenticated() // it no longer counts as unauthenticated
	s.closed = true
	s.eachUsage(func(u *usage) { u.streams-- })
}

// eachUsage calls visit with each usage that counts the stream.
func (s *Stream) eachUsage(visit func(*usage)) {
	if s.peer != nil {
		visit(s.peer)
	}
	if s.domain != nil {
		visit(s.domain)
	}
}
