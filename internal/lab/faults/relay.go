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

// anyParty matches all parties in Relay.Set.
const anyParty = "*"

// Prefixes of the names of groups of parties. The zone's name follows the prefix.
const (
	nodeGroup   = "zone:"
	serverGroup = "hosts:"
	clientGroup = "clients:"
)

// LinkFault is the fault of one direction of a link. The zero value means no fault.
type LinkFault struct {
	Drop   float64       // fraction of the datagrams that are lost
	Delay  time.Duration // fixed part of the delay
	Spread time.Duration // maximum random part of a datagram's delay; it lets datagrams overtake one another
	Repeat float64       // fraction of the datagrams that are duplicated
	Rate   int           // bytes per second; 0: no limit
	Cut    bool          // nothing passes
}

// String describes the fault.
func (f LinkFault) String() string {
	return fmt.Sprintf("drop %.2f delay %v spread %v repeat %.2f rate %d cut %v",
		f.Drop, f.Delay, f.Spread, f.Repeat, f.Rate, f.Cut)
}

// add combines the fault with another fault of the same direction. Delays add up; otherwise the worse value of the two
// applies.
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

// RelayCounts counts what a relay has forwarded and dropped.
type RelayCounts struct {
	Datagrams      atomic.Int64
	Dropped        atomic.Int64
	Repeated       atomic.Int64
	Streams        atomic.Int64
	Bytes          atomic.Int64 // of streams
	DescriptorLack atomic.Int64 // times that the harness itself had no descriptors left
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
	sender     *net.UDPConn // one for all links: receivers read a datagram's sender from its content
	closed     chan struct{}
	background sync.WaitGroup
}

// faultRule is a fault on all links between the parties that match from and to. Each of the two is a party, a group or
// anyParty.
type faultRule struct {
	from, to string
	fault    LinkFault
}

// NewRelay returns a relay without links. The seed determines the random faults of datagrams.
func NewRelay(seed uint64) *Relay {
	return &Relay{groupOf: map[string]string{}, closed: make(chan struct{}), seed: seed}
}

// Place puts a party into a group. The groups are zone:Z for nodes, hosts:Z for servers and clients:Z for clients.
func (r *Relay) Place(party, group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groupOf[party] = group
}

// Link creates a link from one party to another. It returns the address at which the first party reaches the second.
// The link forwards datagrams from the first to the second only, and streams in both directions.
func (r *Relay) Link(from, to, target string, datagrams bool) (string, error) {
	newLink := &link{relay: r, from: from, to: to}
	newLink.target.Store(&target)
	if err := newLink.listen(datagrams); err != nil {
		return "", fmt.Errorf("link from %s to %s: %w", from, to, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	newLink.applyRules(r.rules)
	if datagrams {
		if err := r.openSender(); err != nil {
			return "", err
		}
		rng := rand.New(rand.NewPCG(r.seed, uint64(len(r.links))))
		sender := r.sender
		r.background.Go(func() { newLink.forwardDatagrams(sender, rng) })
	}
	r.background.Go(newLink.acceptStreams)
	r.links = append(r.links, newLink)
	return newLink.tcp.Addr().String(), nil
}

// openSender opens the socket that sends all forwarded datagrams. The caller must hold r.mu.
func (r *Relay) openSender() error {
	if r.sender != nil {
		return nil
	}
	sender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	r.sender = sender
	return err
}

// MoveClients changes the target address of the clients' links to a node. Only new streams use the new address.
func (r *Relay) MoveClients(node, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		if l.to == node && strings.HasPrefix(l.from, clientGroup) {
			l.target.Store(&target)
		}
	}
}

// Set sets the fault on all links from one party or group to another. It replaces an earlier fault for the same source
// and target; the zero fault only ends it.
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

// matches reports whether a party matches a rule's pattern. The caller must hold r.mu.
func (r *Relay) matches(party, pattern string) bool {
	return pattern == anyParty || pattern == party || r.groupOf[party] == pattern
}

// Close closes all links and waits for their goroutines.
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

// countDescriptorLack counts the error if it means that the harness itself has no descriptors left.
func (r *Relay) countDescriptorLack(err error) {
	if isOutOfDescriptors(err) {
		r.Counts.DescriptorLack.Add(1)
	}
}

// pause waits for a time. It returns false if the relay is closed meanwhile.
func (r *Relay) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-r.closed:
		return false
	}
}
