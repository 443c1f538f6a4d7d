package node

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/hotrestart"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/simwire"
)

// process is one of a node, in this program, on a loop of its own.
type process struct {
	*Program
	at   string
	done chan struct{}
}

// process starts one at a place, as New does.
func startProcess(t testing.TB, n config.Node, place string) *process {
	l, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{Program: newProgram(l), done: make(chan struct{})}
	p.restart.requestGrant(place)
	_, at, err := p.newPlatform(n, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.at = at.String()
	p.restart.startCoordinator(place)
	go func() {
		defer close(p.done)
		l.Run()
	}()
	t.Cleanup(p.kill)
	return p
}

// kill has a process end as by SIGKILL, as far as others see it.
func (p *process) kill() {
	p.loop.Post(p.loop.Stop)
	<-p.done
	p.loop.Close()
}

func (p *process) on(fn func()) {
	ran := make(chan struct{})
	p.loop.Post(func() { fn(); close(ran) })
	select {
	case <-ran:
	case <-p.done: // the process has ended
	}
}

// TestTwoProcessesAreOneNode checks what two of a node share: the list as it was told to the first, the descriptors, the
// part in the fleet, and who hears the other nodes.
func TestTwoProcessesAreOneNode(t *testing.T) {
	player := &transcript.Player{Values: map[string]string{}}
	h1, h2, d := player.Listen(t, "h1"), player.Listen(t, "h2"), player.Listen(t, "d")
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	const total = 400
	n := config.Node{Listen: transcript.FreeAddr(t), Discovery: d, Seed: 1, Sockets: total, PeerListen: "127.0.0.1:0",
		Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0"), other.LocalAddr().(*net.UDPAddr).AddrPort()}}
	if n.Settings, err = simwire.DecodeSettings([]byte(strings.NewReplacer("REPORTS", "off", `"groupSize":1`, `"groupSize":2`, `"mayTell":false`, `"mayTell":true`).Replace(settings))); err != nil {
		t.Fatal(err)
	}
	entry := func(id, addr, state string) string {
		return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":0,"state":%q,"weight":1,"started_ms":0}`, id, addr, state)
	}
	if n.Known, err = cluster.Parse([]byte(`{"version":7,"full":true,"servers":[` + entry("s-1", h1, "SERVING") + `]}`)); err != nil {
		t.Fatal(err)
	}
	place := hotrestart.Path(t.TempDir(), n.Listen)
	old := startProcess(t, n, place)
	player.Addr = old.at
	news := `{"version":9,"full":false,"servers":[` + entry("s-1", h1, "DRAINING") + "," + entry("s-2", h2, "SERVING") + `]}`
	player.Values["news"], player.Values["length"] = news, fmt.Sprint(len(news))
	player.Play(t, `
a accept d
a < GET /v1/servers?after=7&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
a >> HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{news}
a < GET /v1/servers?after=9&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
`[1:])
	taken := func(p *process) (n int) {
		p.on(func() { n = p.platform.peers.counts.received })
		return n
	}
	var to net.Addr
	old.on(func() { to = net.UDPAddrFromAddrPort(old.platform.peers.localAddr) })
	say := func() {
		if _, err := other.WriteTo([]byte("x"), to); err != nil {
			t.Error(err)
		}
	}
	say()
	transcript.Until(t, "the first one hears", func() bool { return taken(old) == 1 })

	// The second one knows no more than the file says, which is older than what the first was told.
	next := startProcess(t, n, place)
	if next.at != old.at {
		t.Errorf("listens at %s, the first one at %s", next.at, old.at)
	}
	var listed []edge.ServerEntry
	parts := func(p *process) (n int) {
		p.on(func() { n = p.platform.processes })
		return n
	}
	next.on(func() { listed = next.platform.core.Servers() })
	if len(listed) != 2 || listed[0].State == listed[1].State {
		t.Errorf("begins with %+v", listed)
	}
	player.Play(t, `
b accept d
b < GET /v1/servers?after=9&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
c open
c > OPEN 01 01 c=chat,d=4000
s accept h2
s < OPEN 01 01 c=chat,d={*}
s > UP 1
c < UP 1
`[1:])
	transcript.Until(t, "both share a part", func() bool { return parts(old) == 2 && parts(next) == 2 })
	transcript.Until(t, "the second one hears", func() bool {
		say()
		return taken(next) > 0
	})
	heard := taken(old)
	say()
	say()
	transcript.Until(t, "and only it", func() bool { return taken(next) >= 3 })
	if taken(old) != heard {
		t.Error("both hear")
	}

	// Descriptors: never more than the node's, however the two look at it.
	sum := func() int {
		a, b := 0, 0
		old.on(func() { a = old.restart.ownQuota() })
		next.on(func() { b = next.restart.ownQuota() })
		return a + b
	}
	if n := sum(); n > total || n < total/2 {
		t.Errorf("%d of %d descriptors", n, total)
	}
	room := func() (n int) {
		next.on(func() { n = next.restart.ownQuota() })
		return n
	}
	before := room()
	old.on(func() { old.Shutdown() })
	player.Play(t, "e open\ne > PING\ne < PONG\n")
	transcript.Until(t, "the leaving one lends more", func() bool {
		if n := sum(); n > total {
			t.Fatalf("%d of %d descriptors", n, total)
		}
		return room() > before
	})
	old.kill()
	transcript.Until(t, "the second one is the node", func() bool { return room() == total && parts(next) == 1 })
}
