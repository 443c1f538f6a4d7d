package faults

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// anyParty stands for all parties in Relay.Set.
const anyParty = "*"

// Prefixes of the names of groups of parties; the zone's name follows.
const (
	nodeGroup   = "zone:"
	serverGroup = "hosts:"
	clientGroup = "clients:"
)

// LinkFault is what happens to one direction of a link. The zero value is a sound link.
type LinkFault struct {
	Drop   float64       // part of the datagrams that are lost
	Delay  time.Duration // added
	Spread time.Duration // of the delay, drawn and added; datagrams overtake one another
	Repeat float64       // part of the datagrams that come twice
	Rate   int           // bytes a second; 0: no limit
	Cut    bool          // nothing passes
}

// String describes the fault.
func (f LinkFault) String() string {
	return fmt.Sprintf("drop %.2f delay %v spread %v repeat %.2f rate %d cut %v",
		f.Drop, f.Delay, f.Spread, f.Repeat, f.Rate, f.Cut)
}

// add adds another fault of the same direction.
func (f *LinkFault) add(other LinkFault) {
	f.Drop = max(f.Drop, other.Drop)
	f.Repeat = max(f.Repeat, other.Repeat)
	f.Delay += other.Delay
	f.Spread += other.Spread
	if f.Rate == 0 || other.Rate > 0 && other.Rate < f.Rate {
		f.Rate = max(f.Rate, other.Rate)
	}
	f.Cut = f.Cut || other.Cut
}

// RelayCounts count what a relay has done.
type RelayCounts struct {
	Datagrams      atomic.Int64
	Dropped        atomic.Int64
	Repeated       atomic.Int64
	Streams        atomic.Int64
	Bytes          atomic.Int64 // of streams
	DescriptorLack atomic.Int64 // times that the harness itself had no descriptor left
}

// Relay forwards the traffic of all links between parties, with faults on each direction. It is safe for concurrent
// use.
type Relay struct {
	Counts RelayCounts
	seed   uint64

	mu         sync.Mutex
	rules      []faultRule
	links      []*link
	groupOf    map[string]string
	sender     *net.UDPConn // of all datagrams: who sent one is in the message
	closed     chan struct{}
	background sync.WaitGroup
}

// faultRule is a fault on all links from some parties to some others: a party, a group or anyParty.
type faultRule struct {
	from, to string
	fault    LinkFault
}

// NewRelay makes a relay without links.
func NewRelay(seed uint64) *Relay {
	return &Relay{groupOf: map[string]string{}, closed: make(chan struct{}), seed: seed}
}

// Place puts a party into a group: zone:Z for nodes, hosts:Z for servers, clients:Z for clients.
func (r *Relay) Place(party, group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groupOf[party] = group
}

// Link makes the link from one party to another, and returns the address that stands for the second at the first.
// Datagrams are forwarded from the first to the second only, streams both ways.
func (r *Relay) Link(from, to, target string, datagrams bool) (string, error) {
	made := &link{relay: r, from: from, to: to}
	made.target.Store(&target)
	if err := made.listen(datagrams); err != nil {
		return "", fmt.Errorf("link from %s to %s: %w", from, to, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	made.applyRules(r.rules)
	if datagrams {
		if err := r.openSender(); err != nil {
			return "", err
		}
		rng := rand.New(rand.NewPCG(r.seed, uint64(len(r.links))))
		sender := r.sender
		r.background.Go(func() { made.forwardDatagrams(sender, rng) })
	}
	r.background.Go(made.acceptStreams)
	r.links = append(r.links, made)
	return made.tcp.Addr().String(), nil
}

// openSender opens the socket that sends all datagrams on. r.mu is held.
func (r *Relay) openSender() error {
	if r.sender != nil {
		return nil
	}
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	r.sender = sender
	return err
}

// MoveClients has the clients' links to a node lead to another address.
func (r *Relay) MoveClients(node, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		if l.to == node && strings.HasPrefix(l.from, clientGroup) {
			l.target.Store(&target)
		}
	}
}

// Set puts a fault on all links from one party or group to another, in place of an earlier one. The zero fault ends it.
func (r *Relay) Set(source, target string, fault LinkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rules []faultRule
	for _, rule := range r.rules {
		if rule.from != source || rule.to != target {
			rules = append(rules, rule)
		}
	}
	if fault != (LinkFault{}) {
		rules = append(rules, faultRule{source, target, fault})
	}
	r.applyRulesLocked(rules)
}

// Heal ends all faults.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyRulesLocked(nil)
}

func (r *Relay) applyRulesLocked(rules []faultRule) {
	r.rules = rules
	for _, l := range r.links {
		l.applyRules(rules)
	}
}

// matches reports whether a party is meant by a rule's word for it. r.mu is held.
func (r *Relay) matches(party, word string) bool {
	return word == anyParty || word == party || r.groupOf[party] == word
}

// Close ends all links.
func (r *Relay) Close() {
	close(r.closed)
	r.mu.Lock()
	for _, l := range r.links {
		l.close()
	}
	if r.sender != nil {
		closeQuietly(r.sender)
	}
	r.mu.Unlock()
	r.background.Wait()
}

// noteError counts an error that shows that the harness itself has no descriptor left.
func (r *Relay) countDescriptorLack(err error) {
	if isOutOfDescriptors(err) {
		r.Counts.DescriptorLack.Add(1)
	}
}

// pause waits for a time, and reports false if the relay was closed meanwhile.
func (r *Relay) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-r.closed:
		return false
	}
}
