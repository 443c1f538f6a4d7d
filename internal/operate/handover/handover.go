// Package handover lets the processes of one node find each other while one takes over from the other: over a Unix
// socket the running one lends its listening sockets, its list and a part of its descriptors to the one started beside it.
// The link between them stands as long as both run; its end tells that the other is gone, however it went.
//
// It moves descriptors and lines, and decides nothing: what is lent, and what follows from it, is the node's.
package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/loop"
	"spurwinch/internal/platform/cluster"

	"go.uber.org/zap"
)

const (
	version    = 1
	mostLine   = 1 << 20 // of what is lent: a list of thousands of hosts; no more may wait to be written on a connection
	mostLater  = 4 << 10 // of a line that follows
	mostRights = 16
	helloTime  = time.Second
	longest    = 90 // bytes of a path: a Unix socket's address holds 107, and the name gets a process number for a moment
)

var errLate = errors.New("the running process gives no answer in time")

// Grant is what a running process lends. Sockets are descriptors; of the ones that can't be used, close is the taker's.
type Grant struct {
	Sockets         map[string]int // by the address that the configuration names
	Datagrams       int            // the peers' socket; -1: none
	Discovery       string         // whose List is
	List            cluster.List
	DescriptorQuota int // descriptors that the taker may hold
	Learned         []byte
	fd              int
	rest            []byte
	carry           int // form of the connections that the running process gives; 0: it gives none
}

// Release closes what was lent and is not served by this process: its start has failed, and the running one must not take it to be there.
func (l *Grant) Release(serves func(fd int) bool) {
	all := []int{l.fd}
	for _, fd := range l.Sockets {
		all = append(all, fd)
	}
	if l.Datagrams >= 0 {
		all = append(all, l.Datagrams)
	}
	for _, fd := range all {
		if !serves(fd) {
			unix.Close(fd)
		}
	}
}

// line is one message, as JSON on a line of its own.
type line struct {
	Kind      string        `json:"kind"` // hello, lent, ready, room
	Version   int           `json:"version,omitempty"`
	Sockets   []string      `json:"sockets,omitempty"` // in the order of their descriptors
	Datagrams bool          `json:"datagrams,omitempty"`
	Discovery string        `json:"discovery,omitempty"`
	List      *cluster.List `json:"list,omitempty"`
	Room      int           `json:"room,omitempty"`
	Carry     int           `json:"carry,omitempty"` // form of connections that can be given or taken
	Learned   []byte        `json:"learned,omitempty"`
	Size      int           `json:"size,omitempty"` // bytes behind the line
}

func (m line) bytes() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err) // nothing in a line can fail to be written
	}
	return append(b, '\n')
}

// Path is where the processes of the node that listens at an address find each other; empty where there is no place.
func Path(dir, listen string) string {
	if dir == "" || strings.HasSuffix(listen, ":0") {
		return ""
	}
	p := filepath.Join(dir, "spurwinch-"+strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen)+".sock")
	if len(p) > longest {
		return ""
	}
	return p
}

// RequestGrant asks the running process for what it lends, before the loop runs; it gives up by a time. An error means a start
// like any other.
func RequestGrant(path string, until time.Time) (*Grant, error) {
	fd, err := unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	l, err := ask(fd, path, until)
	if err != nil {
		unix.Close(fd)
	}
	return l, err
}

func ask(fd int, path string, until time.Time) (*Grant, error) {
	wait := func(option int) error {
		left := time.Until(until)
		if left <= 0 {
			return errLate
		}
		tv := unix.NsecToTimeval(max(left, time.Millisecond).Nanoseconds())
		return unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, option, &tv)
	}
	if err := wait(unix.SO_SNDTIMEO); err != nil {
		return nil, err
	}
	if err := connectBy(fd, path, until); err != nil {
		return nil, os.NewSyscallError("connect", err)
	}
	if err := sendWhole(fd, line{Kind: "hello", Version: version, Carry: carryForm}.bytes()); err != nil {
		return nil, os.NewSyscallError("send", err)
	}
	var got []byte
	var rights []int
	fail := func(err error) (*Grant, error) {
		for _, r := range rights {
			unix.Close(r)
		}
		return nil, err
	}
	buf, side := make([]byte, 16<<10), make([]byte, unix.CmsgSpace(4*mostRights))
	for bytes.IndexByte(got, '\n') < 0 {
		if err := wait(unix.SO_RCVTIMEO); err != nil {
			return fail(err)
		}
		n, sn, _, _, err := unix.Recvmsg(fd, buf, side, unix.MSG_CMSG_CLOEXEC)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			return fail(errLate)
		}
		if err != nil {
			return fail(os.NewSyscallError("recvmsg", err))
		}
		rights = append(rights, loop.ReceivedDescriptors(side[:sn])...)
		if got = append(got, buf[:n]...); n == 0 || len(got) > mostLine {
			return fail(errors.New("the answer ends or goes on without a line's end"))
		}
	}
	first, rest, _ := bytes.Cut(got, []byte("\n"))
	l, err := parseLent(first, rights)
	if err != nil {
		return fail(err)
	}
	l.fd, l.rest = fd, rest
	return l, nil
}

const connectPause = 5 * time.Millisecond

// connectBy connects, also where a signal interrupts it, or where the queue of the running process is full for a moment.
func connectBy(fd int, path string, until time.Time) error {
	for {
		err := unix.Connect(fd, &unix.SockaddrUnix{Name: path})
		if err != unix.EINTR && err != unix.EAGAIN || time.Now().After(until) {
			return err
		}
		time.Sleep(connectPause)
	}
}

// sendWhole sends p whole, whatever the kernel takes at once.
func sendWhole(fd int, p []byte) error {
	for len(p) > 0 {
		n, err := unix.SendmsgN(fd, p, nil, nil, unix.MSG_NOSIGNAL)
		if err != nil && err != unix.EINTR {
			return err
		}
		p = p[max(n, 0):]
	}
	return nil
}

// parseLent reads what is lent and puts names to descriptors.
func parseLent(first []byte, rights []int) (*Grant, error) {
	var m line
	if err := json.Unmarshal(first, &m); err != nil {
		return nil, fmt.Errorf("what is lent: %w", err)
	}
	want := len(m.Sockets)
	if m.Datagrams {
		want++
	}
	switch {
	case m.Kind != "lent" || m.Version != version:
		return nil, fmt.Errorf("the running process speaks %q of version %d, not %d", m.Kind, m.Version, version)
	case want != len(rights):
		return nil, fmt.Errorf("%d descriptors came for %d names", len(rights), want)
	case m.Room < 0:
		return nil, errors.New("less than no room is lent")
	}
	l := &Grant{Sockets: map[string]int{}, Datagrams: -1, Discovery: m.Discovery, DescriptorQuota: m.Room, Learned: m.Learned, carry: m.Carry}
	if m.List != nil {
		if _, err := m.List.Hosts(); err != nil {
			return nil, fmt.Errorf("the list that is lent: %w", err)
		}
		l.List = *m.List
	}
	for i, name := range m.Sockets {
		if _, twice := l.Sockets[name]; twice {
			return nil, fmt.Errorf("socket %q is lent twice", name)
		}
		l.Sockets[name] = rights[i]
	}
	if m.Datagrams {
		l.Datagrams = rights[len(rights)-1]
	}
	return l, nil
}

// Coordinator is where this process stands among those of its node.
type Coordinator struct {
	o      Options
	before *link   // the process that was there when this one started
	after  []*link // those started since, oldest first
	room   int     // that the one before lends
	door   *loop.Listener
	own    os.FileInfo // of the socket at the path, when this process took it
	closed bool
}

// Options are a Place's surroundings.
type Options struct {
	Loop *loop.Loop
	Path string
	// Grant tells what is lent to a process that asks. What it returns in Room is lent from then on.
	Grant func() Grant
	// Changed is called when a process has come, is ready or is gone, or has lent more.
	Changed func()
	TransferHandler
}

// NewCoordinator takes the place at the path, and keeps the link to the process that lent to this one, if any. A place that can't
// be taken is one line in the log: the node runs without.
func NewCoordinator(o Options, from *Grant) *Coordinator {
	p := &Coordinator{o: o}
	if from != nil {
		p.room = from.DescriptorQuota
		p.before = &link{place: p, batches: batches{carries: from.carry == carryForm && o.Prepare != nil}}
		p.before.conn = o.Loop.Attach(from.fd, p.before)
		p.before.conn.OnDescriptors(p.before.takeRights)
		if len(from.rest) > 0 {
			p.before.OnData(from.rest)
		}
	}
	p.open()
	return p
}

func (p *Coordinator) open() {
	if p.closed {
		return
	}
	if at, err := os.Stat(p.o.Path); err == nil && p.own != nil && os.SameFile(at, p.own) {
		return // nobody had taken it
	}
	door, err := p.o.Loop.ListenUnix(p.o.Path, p.accept)
	if err != nil {
		zap.L().Warn("handover_place_not_taken", zap.Error(err))
		return
	}
	if p.door != nil {
		p.door.Close()
	}
	p.door = door
	p.own, _ = os.Stat(p.o.Path)
}

const mostLinks = 4

func (p *Coordinator) accept(c *loop.Conn) loop.Handler {
	if len(p.after) >= mostLinks || !c.SameUser() {
		return nil
	}
	k := &link{place: p, conn: c, later: true}
	p.after = append(p.after, k)
	p.o.Loop.At(p.o.Loop.Now().Add(helloTime), func() {
		if k.lent == 0 && !k.over {
			k.drop(errors.New("no hello came in time"))
		}
	})
	return k
}

// HasPredecessor reports whether the process that lent to this one still runs.
func (p *Coordinator) HasPredecessor() bool { return p.before != nil }

// DescriptorQuota is what that process lends.
func (p *Coordinator) DescriptorQuota() int { return p.room }

// Successor reports whether a process started later runs beside this one, and whether one is ready to take over.
func (p *Coordinator) Successor() (linked, ready bool) {
	for _, k := range p.after {
		linked, ready = linked || k.lent > 0, ready || k.ready
	}
	return linked, ready
}

// GrantedQuota is what all of those may hold.
func (p *Coordinator) GrantedQuota() (n int) {
	for _, k := range p.after {
		n += k.lent
	}
	return n
}

// Ready tells the process before that this one takes clients.
func (p *Coordinator) Ready() {
	if p.before != nil {
		p.before.conn.Write(line{Kind: "ready"}.bytes())
		p.before.tellRoom("free")
	}
}

// RaiseQuota raises what the newest process may hold to what leaves none of total unused beside own.
func (p *Coordinator) RaiseQuota(total, own int) {
	if len(p.after) == 0 {
		return
	}
	k := p.after[len(p.after)-1]
	if n := total - own - (p.GrantedQuota() - k.lent); k.lent > 0 && n > k.lent {
		k.lent = n
		k.conn.Write(line{Kind: "room", Room: n}.bytes())
	}
}

// Close leaves the place: nobody finds this process any more. The links stay.
func (p *Coordinator) Close() {
	p.closed = true
	if p.door != nil {
		p.door.Close()
	}
}

// link is the connection to one other process.
type link struct {
	place *Coordinator
	conn  *loop.Conn
	later bool // it was started after this one
	in    []byte
	lent  int // room; over 0 once it was given something
	ready bool
	over  bool
	batches
}

// OnConnect is for connections dialled.
func (k *link) OnConnect() {}

// OnDrained is of no use here.
func (k *link) OnDrained() {}

// OnData takes lines.
func (k *link) OnData(b []byte) {
	k.in = append(k.in, b...)
	for !k.over {
		if k.body > 0 {
			if len(k.in) < k.body {
				return
			}
			body := k.in[:k.body]
			k.in, k.body = k.in[k.body:], 0
			if k.learned {
				k.learned = false
				k.place.o.Learned(body)
			} else {
				k.hold(body)
			}
			continue
		}
		first, rest, whole := bytes.Cut(k.in, []byte("\n"))
		if !whole {
			if len(k.in) > mostLater {
				k.drop(errors.New("a line that is too long"))
			}
			return
		}
		k.in = rest
		var m line
		if err := json.Unmarshal(first, &m); err != nil {
			k.drop(err)
			return
		}
		k.take(m)
	}
}

func (k *link) take(m line) {
	p := k.place
	switch {
	case m.Kind == "hello" && k.later && k.lent == 0:
		if m.Version != version {
			k.drop(fmt.Errorf("version %d, not %d", m.Version, version))
			return
		}
		k.carries = m.Carry == carryForm
		k.lend()
	case m.Kind == "ready" && k.later && k.lent > 0:
		k.ready = true
		p.o.Changed()
	case m.Kind == "room" && !k.later && m.Room >= p.room:
		p.room = m.Room
		p.o.Changed()
		k.tellRoom("free")
	case k.carries && k.later && k.lent > 0 && k.giver(m), k.carries && !k.later && k.taker(m):
	default:
		k.drop(fmt.Errorf("an unexpected line %q", m.Kind))
	}
}

// lend answers a hello.
func (k *link) lend() {
	what := k.place.o.Grant()
	m := line{Kind: "lent", Version: version, Discovery: what.Discovery, List: &what.List, Room: what.DescriptorQuota}
	if k.carries {
		m.Carry = carryForm
		if len(what.Learned) <= mostLearned {
			m.Learned = what.Learned
		}
		if len(m.bytes()) > mostLine { // the list is worth more than what was learned of it
			m.Learned = nil
		}
	}
	var rights []int
	for name, fd := range what.Sockets {
		m.Sockets, rights = append(m.Sockets, name), append(rights, fd)
	}
	if what.Datagrams >= 0 {
		m.Datagrams, rights = true, append(rights, what.Datagrams)
	}
	k.lent = max(1, what.DescriptorQuota)
	if err := k.conn.SendDescriptors(m.bytes(), rights...); err != nil {
		k.drop(err)
		return
	}
	zap.L().Info("handover_lent", zap.Int("sockets", len(rights)), zap.Int("hosts", len(what.List.Servers)), zap.Int("descriptors", what.DescriptorQuota))
	k.place.o.Changed()
}

func (k *link) drop(why error) {
	zap.L().Warn("handover_link_dropped", zap.Error(why))
	k.letGo()
	k.conn.Abort()
	k.gone()
}

// OnEnd notes that the other process is gone, or is none of this kind.
func (k *link) OnEnd(error) {
	k.conn.End()
	k.gone()
}

func (k *link) gone() {
	if k.over {
		return
	}
	k.over = true
	p := k.place
	k.ended()
	if p.before == k {
		p.before = nil
	}
	for i, o := range p.after {
		if o == k {
			p.after = append(p.after[:i:i], p.after[i+1:]...)
			if linked, _ := p.Successor(); k.lent > 0 && !linked { // it had taken the path; without it nobody would be found there
				p.open()
			}
			break
		}
	}
	if k.lent > 0 || !k.later {
		zap.L().Info("handover_other_gone", zap.Bool("started_later", k.later))
		p.o.Changed()
	}
}
