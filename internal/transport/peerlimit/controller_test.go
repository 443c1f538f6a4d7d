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

// modelStream is a stream of the model that TestLimits compares a controller with.
type modelStream struct {
	stream          *Stream
	peer            int
	inDomain        bool
	unauthenticated bool
}

// model counts streams apart from the controller under test.
type model struct {
	controller *Controller
	peer       Limits // of each peer
	domain     Limits // of the domain "d"
	now        time.Time
	streams    []*modelStream
	admitted   map[int][]time.Time // when streams of a peer were
}

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

// count counts the streams for which counted is true, and of these the unauthenticated.
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

// full reports whether one more stream would be over the limits of streams.
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
		t.Fatalf("%v with %d streams, %d unauthenticated, limits %+v", verdict, streams, unauthenticated, m.peer)
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

// checkRate checks that, from any of a peer's streams on, no more were admitted than burst and rate allow.
func (m *model) checkRate(t *rapid.T, peer int) {
	if m.peer.Rate == 0 {
		return
	}
	admitted := m.admitted[peer]
	for i, since := range admitted {
		got := float64(len(admitted) - i)
		wanted := m.peer.burst() + m.peer.Rate*m.now.Sub(since).Seconds()
		if got > wanted+1e-6 {
			t.Fatalf("%v streams in %v, rate %v, burst %v", got, m.now.Sub(since), m.peer.Rate, m.peer.burst())
		}
	}
}

func (m *model) openInDomain(t *rapid.T, opened *modelStream) {
	streams, unauthenticated := m.count(func(stream *modelStream) bool { return stream.inDomain })
	isFull := full(m.domain, streams, unauthenticated)
	verdict := m.controller.AdmitToDomain(m.now, opened.stream, "d")
	if (verdict != Admitted) != isFull {
		t.Fatalf("domain: %v with %d streams, %d unauthenticated, limits %+v",
			verdict, streams, unauthenticated, m.domain)
	}
	opened.inDomain = verdict == Admitted
	if verdict := m.controller.AdmitToDomain(m.now, opened.stream, "other"); verdict != Admitted {
		t.Fatalf("%v for a domain without limits, wanted %v", verdict, Admitted)
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

// close closes a random stream, twice.
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

// closeAll closes all streams and checks that nothing counts any more.
func (m *model) closeAll(t *rapid.T) {
	for _, stream := range m.streams {
		stream.stream.Close()
	}
	for prefix, peer := range m.controller.peers {
		if peer.streams != 0 || peer.unauthenticated != 0 {
			t.Fatalf("%v ends with %+v, wanted no streams", prefix, *peer)
		}
	}
	for name, domain := range m.controller.domains {
		if domain.streams != 0 || domain.unauthenticated != 0 {
			t.Fatalf("the domain %s ends with %+v, wanted no streams", name, *domain)
		}
	}
}

// TestLimits plays random histories of streams in simulated time: no peer and no domain ever has more than its limits,
// no more new streams are admitted than rate and burst allow, what is within all limits is admitted, and all counts end
// at zero.
func TestLimits(t *testing.T) {
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

// TestFlood has streams of far more networks than have a place: the table stays bounded, the flood meets the limits of
// one peer, a known one keeps its own count, and once the flood is over there are places again.
func TestFlood(t *testing.T) {
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
		t.Errorf("got %d peers and %d streams, wanted 50 and 52", controller.Peers(), len(admitted))
	}
	for range 2 {
		if _, verdict := controller.Admit(now, netip.MustParseAddr("192.0.2.1")); verdict != Admitted {
			t.Errorf("the known peer got %v, wanted %v", verdict, Admitted)
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
			t.Fatalf("network %d after the flood got %v, wanted %v", i, verdict, Admitted)
		}
	}
	testPeerPrefixes(t, now)
}

// testPeerPrefixes checks which addresses are one peer: those of an IPv6 network, as an address costs nothing there. An
// IPv4 address within IPv6 is IPv4's.
func testPeerPrefixes(t *testing.T, now time.Time) {
	t.Helper()
	controller := NewController(Rules{Peer: Limits{Streams: 1}, MaxPeers: 50}, nil, nil)
	for _, address := range []string{"2001:db8::1", "2001:db8:0:1::1", "192.0.2.7"} {
		if _, verdict := controller.Admit(now, netip.MustParseAddr(address)); verdict != Admitted {
			t.Errorf("%s got %v, wanted %v", address, verdict, Admitted)
		}
	}
	for _, address := range []string{"2001:db8::2", "2001:db8::1%eth0", "::ffff:192.0.2.7"} {
		if _, verdict := controller.Admit(now, netip.MustParseAddr(address)); verdict != TooManyStreams {
			t.Errorf("%s beside another of its peer got %v, wanted %v", address, verdict, TooManyStreams)
		}
	}
}

// TestNetworks reads lists: the longest prefix of them decides, and errors name the line that can't be read.
func TestNetworks(t *testing.T) {
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
	const limited = "192.0.2.8" // in no network: its second stream is over the limit
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
				t.Errorf("%s got %v, wanted %v", address, verdict, want)
			}
		}
	}
	if controller.Rejections[Denied] != 10 || controller.Rejections[TooManyStreams] != 1 {
		t.Errorf("got the rejections %v, wanted 10 denied and 1 over the limit", controller.Rejections)
	}
	for _, entry := range []string{"10.0.0.0/33", "farm.example", "10.0.0", "::ffff:0:0/90", "fe80::1%eth0"} {
		err := (&Networks{}).AddList("deny", []byte("# one\n"+entry+"\n"), false)
		if !errors.Is(err, ErrNotNetwork) || !strings.HasPrefix(err.Error(), "deny:2: ") {
			t.Errorf("%s got the error %v, wanted %v in line 2", entry, err, ErrNotNetwork)
		}
	}
	if err := networks.AddList("allow", []byte("10.0.0.0/8"), true); !errors.Is(err, ErrConflictingNetwork) {
		t.Errorf("a network of both lists got the error %v, wanted %v", err, ErrConflictingNetwork)
	}
}

// BenchmarkAdmit decides on streams with 100,000 networks listed.
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
