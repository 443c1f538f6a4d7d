package peerlimit

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelStream is a stream of the model with which the test compares a controller.
type modelStream struct {
	stream          *Stream
	peer            int
	inDomain        bool
	unauthenticated bool
}

// model counts streams independently of the controller under test.
type model struct {
	controller *Controller
	peer       Limits // limits of each peer
	domain     Limits // limits of the domain "d"
	now        time.Time
	streams    []*modelStream
	admitted   map[int][]time.Time // times at which streams of a peer were admitted
}

// newModel returns a model without streams, and a controller with the same random limits.
func newModel(t *rapid.T) *model {
	peer := Limits{
		Streams:         rapid.IntRange(0, 4).Draw(t, "streams"),
		Unauthenticated: rapid.IntRange(0, 3).Draw(t, "unauthenticated"),
		Rate:            float64(rapid.IntRange(0, 3).Draw(t, "rate")),
		Burst:           rapid.IntRange(0, 3).Draw(t, "burst"),
	}
	domain := Limits{
		Streams:         rapid.IntRange(0, 6).Draw(t, "streams of the domain"),
		Unauthenticated: rapid.IntRange(0, 4).Draw(t, "unauthenticated of the domain"),
	}
	return &model{
		controller: NewController(Rules{Peer: peer, MaxPeers: 100}, nil, map[string]Limits{"d": domain}),
		peer:       peer,
		domain:     domain,
		now:        time.Unix(1e9, 0),
		admitted:   map[int][]time.Time{},
	}
}

// count returns the number of streams for which counted is true, and how many of these are unauthenticated.
func (m *model) count(counted func(*modelStream) bool) (streams, unauthenticated int) {
	for _, stream := range m.streams {
		if !counted(stream) {
			continue
		}
		streams++
		if stream.unauthenticated {
			unauthenticated++
		}
	}
	return streams, unauthenticated
}

// full reports whether one more stream would exceed the limits of open or unauthenticated streams.
func full(limits Limits, streams, unauthenticated int) bool {
	tooMany := limits.Streams > 0 && streams >= limits.Streams
	return tooMany || limits.Unauthenticated > 0 && unauthenticated >= limits.Unauthenticated
}

// open opens a stream of a random peer for the domain.
func (m *model) open(t *rapid.T) {
	peer := rapid.IntRange(1, 4).Draw(t, "peer")
	streams, unauthenticated := m.count(func(stream *modelStream) bool { return stream.peer == peer })
	isFull := full(m.peer, streams, unauthenticated)
	stream, verdict := m.controller.Admit(m.now, netip.AddrFrom4([4]byte{10, 0, 0, byte(peer)}))
	if verdict == Admitted && isFull || verdict != Admitted && !isFull && m.peer.Rate == 0 {
		t.Fatalf("Admit: got %v with %d streams, %d unauthenticated, limits %+v, want rejection iff at a limit",
			verdict, streams, unauthenticated, m.peer)
	}
	if verdict != Admitted {
		return
	}
	m.admitted[peer] = append(m.admitted[peer], m.now)
	m.checkRate(t, peer)
	opened := &modelStream{stream: stream, peer: peer, unauthenticated: true}
	m.openInDomain(t, opened)
	m.streams = append(m.streams, opened)
}

// checkRate checks that, from the admission of each of a peer's streams until now, no more streams were admitted than
// burst and rate allow.
func (m *model) checkRate(t *rapid.T, peer int) {
	if m.peer.Rate == 0 {
		return
	}
	admitted := m.admitted[peer]
	for i, since := range admitted {
		got := float64(len(admitted) - i)
		allowed := m.peer.burst() + m.peer.Rate*m.now.Sub(since).Seconds()
		if got > allowed+1e-6 {
			t.Fatalf("Admit: got %v streams in %v, want at most those of rate %v and burst %v",
				got, m.now.Sub(since), m.peer.Rate, m.peer.burst())
		}
	}
}

// openInDomain opens a stream for the domain "d", and for a domain without limits.
func (m *model) openInDomain(t *rapid.T, opened *modelStream) {
	streams, unauthenticated := m.count(func(stream *modelStream) bool { return stream.inDomain })
	isFull := full(m.domain, streams, unauthenticated)
	verdict := m.controller.AdmitToDomain(m.now, opened.stream, "d")
	if (verdict != Admitted) != isFull {
		t.Fatalf("AdmitToDomain: got %v with %d streams, %d unauthenticated, limits %+v, want rejection iff at a limit",
			verdict, streams, unauthenticated, m.domain)
	}
	opened.inDomain = verdict == Admitted
	if verdict := m.controller.AdmitToDomain(m.now, opened.stream, "other"); verdict != Admitted {
		t.Fatalf("AdmitToDomain for a domain without limits: got %v, want %v", verdict, Admitted)
	}
}

// authenticate authenticates a random stream, twice.
func (m *model) authenticate(t *rapid.T) {
	if len(m.streams) == 0 {
		return
	}
	authenticated := m.streams[rapid.IntRange(0, len(m.streams)-1).Draw(t, "authenticated")]
	authenticated.stream.Authenticated()
	authenticated.stream.Authenticated()
	authenticated.unauthenticated = false
}

// close closes a random stream, twice, and then authenticates it, which must have no effect.
func (m *model) close(t *rapid.T) {
	if len(m.streams) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.streams)-1).Draw(t, "closed")
	closed := m.streams[i].stream
	closed.Close()
	closed.Close()
	closed.Authenticated()
	m.streams = append(m.streams[:i:i], m.streams[i+1:]...)
}

// closeAll closes all streams and checks that all counts are zero.
func (m *model) closeAll(t *rapid.T) {
	for _, stream := range m.streams {
		stream.stream.Close()
	}
	for prefix, peer := range m.controller.peers {
		if peer.streams != 0 || peer.unauthenticated != 0 {
			t.Fatalf("peer %v after closing all streams: got %+v, want no streams", prefix, *peer)
		}
	}
	for name, domain := range m.controller.domains {
		if domain.streams != 0 || domain.unauthenticated != 0 {
			t.Fatalf("domain %s after closing all streams: got %+v, want no streams", name, *domain)
		}
	}
}

// TestLimitsHoldInRandomHistories plays random histories of streams in simulated time. No peer and no domain may exceed
// its limits, and no more new streams may be admitted than rate and burst allow. A stream within all limits must be
// admitted, and all counts must end at zero.
func TestLimitsHoldInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := newModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			history.now = history.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "later")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				history.open(t)
			case 2:
				history.authenticate(t)
			case 3:
				history.close(t)
			}
		}
		history.closeAll(t)
	})
}

// TestPeerTableStaysBoundedInFlood opens streams from far more networks than the table has places. The table must stay
// bounded, and the peers without a place must share the limits of one peer. A known peer must keep its own count, and
// after the flood the table must have places again.
func TestPeerTableStaysBoundedInFlood(t *testing.T) {
	now := time.Unix(1e9, 0)
	controller := NewController(Rules{Peer: Limits{Streams: 3, Rate: 1, Burst: 3}, MaxPeers: 50}, nil, nil)
	known, verdict := controller.Admit(now, netip.MustParseAddr("192.0.2.1"))
	if verdict != Admitted {
		t.Fatal(verdict)
	}
	var admitted []*Stream
	for i := range 5000 {
		stream, verdict := controller.Admit(now, netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}))
		if verdict == Admitted {
			admitted = append(admitted, stream)
		}
	}
	if controller.Peers() != 50 || len(admitted) != 49+3 {
		t.Errorf("after the flood: got %d peers and %d streams, want 50 and 52", controller.Peers(), len(admitted))
	}
	for range 2 {
		if _, verdict := controller.Admit(now, netip.MustParseAddr("192.0.2.1")); verdict != Admitted {
			t.Errorf("Admit of the known peer: got %v, want %v", verdict, Admitted)
		}
	}
	known.Close()
	for _, stream := range admitted {
		stream.Close()
	}
	now = now.Add(time.Minute)
	for i := range 45 {
		_, verdict := controller.Admit(now, netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}))
		if verdict != Admitted && i > 20 {
			t.Fatalf("Admit of network %d after the flood: got %v, want %v", i, verdict, Admitted)
		}
	}
	testPeerPrefixes(t, now)
}

// testPeerPrefixes checks which addresses count as one peer. All addresses of an IPv6 network (/64) do, since a client
// there can use many addresses at no cost. An IPv4-mapped IPv6 address counts as the IPv4 address.
func testPeerPrefixes(t *testing.T, now time.Time) {
	t.Helper()
	controller := NewController(Rules{Peer: Limits{Streams: 1}, MaxPeers: 50}, nil, nil)
	for _, address := range []string{"2001:db8::1", "2001:db8:0:1::1", "192.0.2.7"} {
		if _, verdict := controller.Admit(now, netip.MustParseAddr(address)); verdict != Admitted {
			t.Errorf("Admit(%s): got %v, want %v", address, verdict, Admitted)
		}
	}
	for _, address := range []string{"2001:db8::2", "2001:db8::1%eth0", "::ffff:192.0.2.7"} {
		if _, verdict := controller.Admit(now, netip.MustParseAddr(address)); verdict != TooManyStreams {
			t.Errorf("Admit(%s) beside another stream of its peer: got %v, want %v", address, verdict, TooManyStreams)
		}
	}
}

// TestNetworkLists checks that the longest prefix of all lists decides, and that errors name the invalid line.
func TestNetworkLists(t *testing.T) {
	networks := &Networks{}
	denied := "# farms\n10.0.0.0/8\n\n2001:db8::/32 # docs\n192.0.2.9\n::ffff:198.51.100.0/120\n"
	if err := networks.AddList("deny", []byte(denied), false); err != nil {
		t.Fatal(err)
	}
	if err := networks.AddList("allow", []byte("10.1.0.0/16\n"), true); err != nil {
		t.Fatal(err)
	}
	controller := NewController(Rules{Peer: Limits{Streams: 1}, MaxPeers: 9}, networks, nil)
	now := time.Unix(1e9, 0)
	const limited = "192.0.2.8" // in no listed network, so its second stream exceeds the limit
	for address, want := range map[string]Verdict{
		"10.0.0.1":        Denied,
		"10.1.2.3":        Admitted,
		"192.0.2.9":       Denied,
		limited:           Admitted,
		"2001:db8::5":     Denied,
		"198.51.100.7":    Denied,
		"::ffff:10.0.0.1": Denied,
	} {
		for range 2 {
			_, verdict := controller.Admit(now, netip.MustParseAddr(address))
			isOverLimit := address == limited && verdict == TooManyStreams
			if verdict != want && !isOverLimit {
				t.Errorf("Admit(%s): got %v, want %v", address, verdict, want)
			}
		}
	}
	if controller.Rejections[Denied] != 10 || controller.Rejections[TooManyStreams] != 1 {
		t.Errorf("got the rejections %v, want 10 denied and 1 over the limit", controller.Rejections)
	}
	for _, entry := range []string{"10.0.0.0/33", "farm.example", "10.0.0", "::ffff:0:0/90", "fe80::1%eth0"} {
		err := (&Networks{}).AddList("deny", []byte("# one\n"+entry+"\n"), false)
		if !errors.Is(err, ErrNotNetwork) || !strings.HasPrefix(err.Error(), "deny:2: ") {
			t.Errorf("AddList of %s: got error %v, want %v in line 2", entry, err, ErrNotNetwork)
		}
	}
	if err := networks.AddList("allow", []byte("10.0.0.0/8"), true); !errors.Is(err, ErrConflictingNetwork) {
		t.Errorf("AddList of a network in both lists: got error %v, want %v", err, ErrConflictingNetwork)
	}
}

// BenchmarkAdmit measures the admission of streams while 100,000 networks are listed.
func BenchmarkAdmit(b *testing.B) {
	networks := &Networks{}
	var list strings.Builder
	for i := range 100000 {
		fmt.Fprintf(&list, "%d.%d.%d.0/24\n", 11+i>>16, i>>8&255, i&255)
	}
	if err := networks.AddList("deny", []byte(list.String()), false); err != nil || networks.Len() != 100000 {
		b.Fatal(networks.Len(), err)
	}
	controller := NewController(Rules{Peer: Limits{Streams: 1000000, Rate: 1e9}, MaxPeers: 100000}, networks, nil)
	now := time.Unix(1e9, 0)
	for i := range b.N {
		stream, _ := controller.Admit(now, netip.AddrFrom4([4]byte{byte(10 + i&7), byte(i >> 9), byte(i >> 3), 1}))
		stream.Close()
	}
}
