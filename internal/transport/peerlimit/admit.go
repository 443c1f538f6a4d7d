// Package peerlimit decides who may open a stream: limits for each peer, which is a network prefix, and for each domain, and networks
// that are kept out or that no limit holds for. It does no I/O; time is a value.
package peerlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gaissmai/bart"
)

// Limits bound what one peer, or all clients of one domain, may have. 0: no limit.
type Limits struct {
	Streams int     // at once
	Waiting int     // of these, not authenticated yet
	Rate    float64 // new ones a second
	Burst   int     // new ones at once, before Rate holds; 0: as many as a second has, 1 at least
}

func (l Limits) any() bool { return l != Limits{} }

func (l Limits) burst() float64 { return max(1, l.Rate, float64(l.Burst)) }

// Rules are what holds for all peers.
type Rules struct {
	Bits4, Bits6 int // of an address that make up a peer; 0: 32 and 64
	Peer         Limits
	Most         int // peers that are told apart
}

// Verdict says why a stream may not be opened.
type Verdict int

const (
	Admitted   Verdict = iota
	KeptOut            // its network is denied
	TooMany            // streams of its peer or its domain
	TooFast            // new streams
	TooWaiting         // streams that have not authenticated
)

func (v Verdict) String() string {
	return []string{"welcome", "kept out", "too many streams", "too many new streams", "too many streams that have not authenticated"}[v]
}

// Networks are those that are kept out, and those that no limit holds for. The longest prefix decides. A Networks is not changed
// once it is in use.
type Networks struct{ table bart.Table[bool] } // false: kept out

// Read reads lists of networks, an address or a prefix a line, with # before comments. The error names the line.
func (n *Networks) Read(name string, list []byte, free bool) error {
	lines := bufio.NewScanner(bytes.NewReader(list))
	for i := 1; lines.Scan(); i++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		p, err := parse(text)
		if err != nil {
			return fmt.Errorf("%s:%d: %q is neither an address nor a prefix like 192.0.2.0/24 or 2001:db8::/32", name, i, text)
		}
		if was, twice := n.table.Get(p); twice && was != free {
			return fmt.Errorf("%s:%d: %s is both kept out and free of limits", name, i, p)
		}
		n.table.Insert(p, free)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func parse(text string) (netip.Prefix, error) {
	if !strings.Contains(text, "/") {
		a, err := netip.ParseAddr(text)
		if err != nil || a.Zone() != "" {
			return netip.Prefix{}, fmt.Errorf("no address")
		}
		a = a.Unmap()
		return netip.PrefixFrom(a, a.BitLen()), nil
	}
	p, err := netip.ParsePrefix(text)
	if err == nil && p.Addr().Is4In6() {
		if p.Bits() < 96 {
			return p, fmt.Errorf("no prefix")
		}
		p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96)
	}
	return p.Masked(), err
}

// Len counts the networks.
func (n *Networks) Len() int { return n.table.Size() }

// find tells what holds for an address: known says that a network of it is listed.
func (n *Networks) find(a netip.Addr) (free, known bool) {
	if n == nil {
		return false, false
	}
	return n.table.Lookup(a)
}

// count is what one peer, or one domain, has now.
type count struct {
	streams, waiting int
	tokens           float64
	at               time.Time
}

func (c *count) may(now time.Time, l Limits) Verdict {
	c.fill(now, l)
	switch {
	case l.Streams > 0 && c.streams >= l.Streams:
		return TooMany
	case l.Waiting > 0 && c.waiting >= l.Waiting:
		return TooWaiting
	case l.Rate > 0 && c.tokens < 1:
		return TooFast
	}
	return Admitted
}

func (c *count) fill(now time.Time, l Limits) {
	if c.at.IsZero() {
		c.tokens = l.burst()
	} else if now.After(c.at) {
		c.tokens = min(l.burst(), c.tokens+l.Rate*now.Sub(c.at).Seconds())
	}
	if c.at.IsZero() || now.After(c.at) {
		c.at = now
	}
}

func (c *count) comes() {
	c.streams, c.waiting, c.tokens = c.streams+1, c.waiting+1, max(0, c.tokens-1)
}

// Controller keeps count of who has what.
type Controller struct {
	rules      Rules
	networks   *Networks
	peers      map[netip.Prefix]*count
	others     count // of all that have no place in peers
	domains    map[string]*count
	limits     map[string]Limits // by domain
	swept      int               // peers left by the last sweep
	Rejections [TooWaiting + 1]int
}

// NewController makes a door.
func NewController(r Rules, n *Networks, domains map[string]Limits) *Controller {
	d := &Controller{peers: map[netip.Prefix]*count{}, domains: map[string]*count{}}
	d.Adapt(r, n, domains)
	return d
}

// Adapt has other rules and networks hold for streams that come from now on. What stands is counted on.
func (d *Controller) Adapt(r Rules, n *Networks, domains map[string]Limits) {
	if r.Bits4 == 0 {
		r.Bits4 = 32
	}
	if r.Bits6 == 0 {
		r.Bits6 = 64
	}
	r.Most = max(1, r.Most)
	d.rules, d.networks, d.limits = r, n, domains
}

// Peers counts those that are told apart now.
func (d *Controller) Peers() int { return len(d.peers) }

// Stream is one that was let in. Its methods may be called in any order and more than once.
type Stream struct {
	peer, domain *count
	waits        bool
	over         bool
}

// Admit decides on a new stream.
func (d *Controller) Admit(now time.Time, from netip.Addr) (*Stream, Verdict) {
	from = from.Unmap().WithZone("")
	free, listed := d.networks.find(from)
	if listed && !free {
		d.Rejections[KeptOut]++
		return nil, KeptOut
	}
	s := &Stream{waits: true}
	if listed || !d.rules.Peer.any() || !from.IsValid() {
		return s, Admitted
	}
	c := d.count(now, from)
	if v := c.may(now, d.rules.Peer); v != Admitted {
		d.Rejections[v]++
		return nil, v
	}
	c.comes()
	s.peer = c
	return s, Admitted
}

// Restore counts a stream that another process let in.
func (d *Controller) Restore(now time.Time, from netip.Addr, domain string) *Stream {
	s := &Stream{}
	from = from.Unmap().WithZone("")
	if _, listed := d.networks.find(from); !listed && d.rules.Peer.any() && from.IsValid() {
		s.peer = d.count(now, from)
		s.peer.fill(now, d.rules.Peer)
		s.peer.streams++
	}
	if l := d.limits[domain]; l.any() {
		s.domain = d.of(domain)
		s.domain.fill(now, l)
		s.domain.streams++
	}
	return s
}

// count is a peer's; one that finds no place shares one with all others that don't.
func (d *Controller) count(now time.Time, from netip.Addr) *count {
	bits := d.rules.Bits6
	if from.Is4() {
		bits = d.rules.Bits4
	}
	p, err := from.Prefix(bits)
	if err != nil {
		return &d.others
	}
	if c := d.peers[p]; c != nil {
		return c
	}
	if len(d.peers) >= d.rules.Most && !d.sweep(now) {
		return &d.others
	}
	c := &count{}
	d.peers[p] = c
	return c
}

// sweep takes out the peers that are as ones never seen. It walks over all, so it is not done again before a part of them can
// have gone.
func (d *Controller) sweep(now time.Time) bool {
	if d.swept > 0 {
		d.swept--
		return false
	}
	for p, c := range d.peers {
		if c.fill(now, d.rules.Peer); c.streams == 0 && c.tokens >= d.rules.Peer.burst() {
			delete(d.peers, p)
		}
	}
	d.swept = len(d.peers) / 8
	return len(d.peers) < d.rules.Most
}

func (d *Controller) of(domain string) *count {
	c := d.domains[domain]
	if c == nil {
		c = &count{}
		d.domains[domain] = c
	}
	return c
}

// AdmitToDomain decides whether a stream that was let in may be for a domain, which its header has told now.
func (d *Controller) AdmitToDomain(now time.Time, s *Stream, domain string) Verdict {
	l := d.limits[domain]
	if !l.any() || s == nil || s.domain != nil || s.over {
		return Admitted
	}
	c := d.of(domain)
	if v := c.may(now, l); v != Admitted {
		d.Rejections[v]++
		return v
	}
	c.comes()
	if s.domain = c; !s.waits {
		c.waiting--
	}
	return Admitted
}

// Authenticated says that a stream's client has authenticated.
func (s *Stream) Authenticated() {
	if s != nil && s.waits && !s.over {
		s.unwait()
	}
}

func (s *Stream) unwait() {
	s.waits = false
	for _, c := range []*count{s.peer, s.domain} {
		if c != nil {
			c.waiting--
		}
	}
}

// Close says that a stream has ended.
func (s *Stream) Close() {
	if s == nil || s.over {
		return
	}
	if s.waits {
		s.unwait()
	}
	s.over = true
	for _, c := range []*count{s.peer, s.domain} {
		if c != nil {
			c.streams--
		}
	}
}
