package peerlimit

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDoor plays random histories of streams in simulated time and counts them apart: no peer and no domain ever has more than its
// limits, no more new ones than rate and burst allow, what is within all limits comes in, and all counts end at nothing.
func TestDoor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peer := Limits{Streams: rapid.IntRange(0, 4).Draw(t, "streams"), Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"),
			Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate")), Burst: rapid.IntRange(0, 3).Draw(t, "burst")}
		domain := Limits{Streams: rapid.IntRange(0, 6).Draw(t, "of a domain"), Waiting: rapid.IntRange(0, 4).Draw(t, "waiting there")}
		d := NewController(Rules{Peer: peer, Most: 100}, nil, map[string]Limits{"d": domain})
		type live struct {
			s      *Stream
			peer   int
			in     bool
			waits  bool
			passed time.Time
		}
		now := time.Unix(1e9, 0)
		var all []*live
		came := map[int][]time.Time{}
		tally := func(peer int, domain bool) (streams, waiting int) {
			for _, l := range all {
				if l.peer == peer && !domain || domain && l.in {
					streams++
					if l.waits {
						waiting++
					}
				}
			}
			return streams, waiting
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "later")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				n := rapid.IntRange(1, 4).Draw(t, "peer")
				streams, waiting := tally(n, false)
				s, v := d.Admit(now, netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}))
				over := peer.Streams > 0 && streams >= peer.Streams || peer.Waiting > 0 && waiting >= peer.Waiting
				if v == Admitted && over || v != Admitted && !over && peer.Rate == 0 {
					t.Fatalf("%v with %d streams, %d waiting, limits %+v", v, streams, waiting, peer)
				}
				if v != Admitted {
					continue
				}
				came[n] = append(came[n], now)
				if peer.Rate > 0 {
					for i, at := range came[n] { // from any of them on: no more than burst and rate let in
						if got, most := float64(len(came[n])-i), peer.burst()+peer.Rate*now.Sub(at).Seconds(); got > most+1e-6 {
							t.Fatalf("%v streams in %v, rate %v, burst %v", got, now.Sub(at), peer.Rate, peer.burst())
						}
					}
				}
				l := &live{s: s, peer: n, waits: true, passed: now}
				streams, waiting = tally(0, true)
				all = append(all, l)
				over = domain.Streams > 0 && streams >= domain.Streams || domain.Waiting > 0 && waiting >= domain.Waiting
				if v := d.AdmitToDomain(now, s, "d"); (v != Admitted) != over {
					t.Fatalf("domain: %v with %d streams, %d waiting, limits %+v", v, streams, waiting, domain)
				} else {
					l.in = v == Admitted
				}
				if d.AdmitToDomain(now, s, "other") != Admitted {
					t.Fatal("a domain without limits")
				}
			case 2:
				if len(all) > 0 {
					l := all[rapid.IntRange(0, len(all)-1).Draw(t, "known")]
					l.s.Authenticated()
					l.s.Authenticated()
					l.waits = false
				}
			case 3:
				if len(all) > 0 {
					i := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
					all[i].s.Close()
					all[i].s.Close()
					all[i].s.Authenticated()
					all = append(all[:i:i], all[i+1:]...)
				}
			}
		}
		for _, l := range all {
			l.s.Close()
		}
		for p, c := range d.peers {
			if c.streams != 0 || c.waiting != 0 {
				t.Fatalf("%v ends with %+v", p, *c)
			}
		}
		for _, c := range d.domains {
			if c.streams != 0 || c.waiting != 0 {
				t.Fatalf("the domain ends with %+v", *c)
			}
		}
	})
}

// TestFlood has far more networks come than are told apart: the table stays bounded, the flood meets the limits of one peer, a known
// one keeps its own count, and once the flood is over there is room again.
func TestFlood(t *testing.T) {
	now := time.Unix(1e9, 0)
	d := NewController(Rules{Peer: Limits{Streams: 3, Rate: 1, Burst: 3}, Most: 50}, nil, nil)
	known, v := d.Admit(now, netip.MustParseAddr("192.0.2.1"))
	if v != Admitted {
		t.Fatal(v)
	}
	var in []*Stream
	for i := range 5000 {
		if s, v := d.Admit(now, netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})); v == Admitted {
			in = append(in, s)
		}
	}
	if d.Peers() != 50 || len(in) != 49+3 {
		t.Errorf("%d peers, %d let in", d.Peers(), len(in))
	}
	for range 2 {
		if _, v := d.Admit(now, netip.MustParseAddr("192.0.2.1")); v != Admitted {
			t.Error("the one that was known: ", v)
		}
	}
	known.Close()
	for _, s := range in {
		s.Close()
	}
	now = now.Add(time.Minute)
	for i := range 45 {
		if _, v := d.Admit(now, netip.AddrFrom4([4]byte{10, 2, 0, byte(i)})); v != Admitted && i > 20 {
			t.Fatalf("network %d after the flood: %v", i, v)
		}
	}
	// An address of IPv6 costs nothing: its network is the peer. One of IPv4 in IPv6 is IPv4's.
	d = NewController(Rules{Peer: Limits{Streams: 1}, Most: 50}, nil, nil)
	for text, want := range map[string]bool{"2001:db8::1": true, "2001:db8:0:1::1": true, "192.0.2.7": true} {
		if _, v := d.Admit(now, netip.MustParseAddr(text)); (v == Admitted) != want {
			t.Errorf("%s: %v", text, v)
		}
	}
	for _, text := range []string{"2001:db8::2", "2001:db8::1%eth0", "::ffff:192.0.2.7"} {
		if _, v := d.Admit(now, netip.MustParseAddr(text)); v != TooMany {
			t.Errorf("%s beside another of its network: %v", text, v)
		}
	}
}

// TestNetworks reads lists, the longest prefix of them decides, and names the line of what it can't read.
func TestNetworks(t *testing.T) {
	n := &Networks{}
	if err := n.Read("deny", []byte("# farms\n10.0.0.0/8\n\n2001:db8::/32 # docs\n192.0.2.9\n::ffff:198.51.100.0/120\n"), false); err != nil {
		t.Fatal(err)
	}
	if err := n.Read("allow", []byte("10.1.0.0/16\n"), true); err != nil {
		t.Fatal(err)
	}
	d := NewController(Rules{Peer: Limits{Streams: 1}, Most: 9}, n, nil)
	now := time.Unix(1e9, 0)
	for text, want := range map[string]Verdict{"10.0.0.1": KeptOut, "10.1.2.3": Admitted, "192.0.2.9": KeptOut, "192.0.2.8": Admitted,
		"2001:db8::5": KeptOut, "198.51.100.7": KeptOut, "::ffff:10.0.0.1": KeptOut} {
		for range 2 {
			_, v := d.Admit(now, netip.MustParseAddr(text))
			if v != want && !(text == "192.0.2.8" && v == TooMany) {
				t.Errorf("%s: %v", text, v)
			}
		}
	}
	if d.Rejections[KeptOut] != 10 || d.Rejections[TooMany] != 1 {
		t.Errorf("counted: %v", d.Rejections)
	}
	for _, bad := range []string{"10.0.0.0/33", "farm.example", "10.0.0", "::ffff:0:0/90", "fe80::1%eth0"} {
		if err := (&Networks{}).Read("deny", []byte("# one\n"+bad+"\n"), false); err == nil || !strings.HasPrefix(err.Error(), "deny:2: ") {
			t.Errorf("%s: %v", bad, err)
		}
	}
	if err := n.Read("allow", []byte("10.0.0.0/8"), true); err == nil {
		t.Error("a network that is both")
	}
}

// BenchmarkCome decides on streams with 100,000 networks listed.
func BenchmarkCome(b *testing.B) {
	n := &Networks{}
	var list strings.Builder
	for i := range 100000 {
		fmt.Fprintf(&list, "%d.%d.%d.0/24\n", 11+i>>16, i>>8&255, i&255)
	}
	if err := n.Read("deny", []byte(list.String()), false); err != nil || n.Len() != 100000 {
		b.Fatal(n.Len(), err)
	}
	d := NewController(Rules{Peer: Limits{Streams: 1000000, Rate: 1e9}, Most: 100000}, n, nil)
	now := time.Unix(1e9, 0)
	for i := range b.N {
		s, _ := d.Admit(now, netip.AddrFrom4([4]byte{byte(10 + i&7), byte(i >> 9), byte(i >> 3), 1}))
		s.Close()
	}
}
