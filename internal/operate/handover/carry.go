package handover

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/internal/loop"
)

// Connections in batches, from the process that leaves (the giver) to the one that takes the clients over (the taker).
// A batch is a line, its bytes behind it, and its descriptors. The taker holds it and says so; the giver closes its copies and
// says that it is given; then it is the taker's. docs/operators-days.md has what follows when either ends in between.

const (
	carryForm       = 1 // of a batch and what is in it; another form isn't taken
	MostConnections = 64
	mostBatch       = 1 << 20   // bytes that a taker reads
	mostLearned     = 512 << 10 // 202 bytes a host where ids have 64, and sessions that can be resumed
	heldTime        = time.Second
)

// TransferItem is one connection: its sockets, and what its process knows of it.
type TransferItem struct {
	FDs  []int
	Body []byte
}

// PreparedBatch is a batch that a taker has and does not touch yet. One of the two is called, once.
type PreparedBatch struct {
	Commit func() // it is this process's
	Abort  func() // it is not: its descriptors are closed and nothing else
}

// TransferHandler is what a Place needs to take connections.
type TransferHandler struct {
	// FreeDescriptors tells how many descriptors of connections this process has room for.
	FreeDescriptors func() int
	// Prepare checks a batch whole. With an error the descriptors stay the caller's to close.
	Prepare func([]TransferItem) (PreparedBatch, error)
	// Learned takes what the other process has found out, when it leaves.
	Learned func([]byte)
}

// batches is a link's part in carrying.
type batches struct {
	carries bool
	// The giver's.
	free int              // descriptors that the taker has room for
	done func(taken bool) // of the batch on its way
	back bool             // it is called back
	stop func()
	// The taker's.
	rights  []int // came, and belong to the batch that is being read
	body    int   // bytes behind a line that are due
	learned bool  // they are what the other process has found out
	held    *PreparedBatch
}

// packed is a parcel as it's written.
type packed struct {
	_       struct{} `cbor:",toarray"`
	Sockets int
	Body    []byte
}

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: MostConnections, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Decode reads what another process told, within bounds.
func Decode(body []byte, into any) error { return decoding.Unmarshal(body, into) }

// parseBatch reads a batch and puts its descriptors to its connections.
func parseBatch(body []byte, rights []int) ([]TransferItem, error) {
	var all []packed
	if err := Decode(body, &all); err != nil {
		return nil, fmt.Errorf("a batch: %w", err)
	}
	var parcels []TransferItem
	for _, k := range all {
		if k.Sockets < 1 || k.Sockets > len(rights) {
			return nil, fmt.Errorf("a batch with %d descriptors left for a connection of %d", len(rights), k.Sockets)
		}
		parcels = append(parcels, TransferItem{FDs: rights[:k.Sockets:k.Sockets], Body: k.Body})
		rights = rights[k.Sockets:]
	}
	if len(rights) > 0 || len(parcels) == 0 {
		return nil, fmt.Errorf("a batch of %d connections with %d descriptors too many", len(parcels), len(rights))
	}
	for _, p := range parcels {
		for _, fd := range p.FDs {
			if !loop.IsStreamSocket(fd) {
				return nil, errors.New("a batch with a descriptor that is no connection")
			}
		}
	}
	return parcels, nil
}

// taking is the link to the newest process that takes connections.
func (p *Coordinator) taking() *link {
	for i := len(p.after) - 1; i >= 0; i-- {
		if k := p.after[i]; k.ready && k.carries {
			return k
		}
	}
	return nil
}

// SuccessorAccepts reports whether a process is there that takes connections, and for how many descriptors it has room now: none
// while a batch is on its way.
func (p *Coordinator) SuccessorAccepts() (there bool, descriptors int) {
	k := p.taking()
	if k == nil {
		return false, 0
	}
	if k.done != nil || !k.conn.Sent() {
		return true, 0
	}
	return true, min(k.free, loop.MaxDescriptorsPerMessage)
}

// SendLearnedState tells the process that takes connections what this one has found out.
func (p *Coordinator) SendLearnedState(learned []byte) {
	if k := p.taking(); k != nil && len(learned) > 0 && len(learned) <= mostLearned {
		k.conn.Write(append(line{Kind: "learned", Size: len(learned)}.bytes(), learned...))
	}
}

// Transfer sends a batch. done is called once: taken, and then the caller closes its copies and the batch is the other
// process's; or not, and then it is the caller's as before.
func (p *Coordinator) Transfer(parcels []TransferItem, done func(taken bool)) {
	k := p.taking()
	var all []packed
	var rights []int
	for _, c := range parcels {
		all, rights = append(all, packed{Sockets: len(c.FDs), Body: c.Body}), append(rights, c.FDs...)
	}
	body, err := cbor.Marshal(all)
	switch {
	case err == nil && (k == nil || k.done != nil):
		err = errors.New("nobody takes a batch now")
	case err == nil && len(body) > mostBatch:
		err = errors.New("a batch that is too large")
	case err == nil:
		err = k.conn.SendDescriptors(append(line{Kind: "batch", Size: len(body)}.bytes(), body...), rights...)
	}
	if err != nil {
		zap.L().Warn("batch_not_sent", zap.Int("connections", len(parcels)), zap.Error(err))
		done(false)
		return
	}
	k.done, k.back = done, false
	k.free -= len(rights)
	k.stop = p.o.Loop.At(p.o.Loop.Now().Add(heldTime), k.callBack)
}

// callBack takes back a batch of which the taker has said nothing in time. It is the giver's once the taker can't hear
// of the batch without hearing this.
func (k *link) callBack() {
	if k.done == nil {
		return
	}
	if !k.back {
		k.back = true
		zap.L().Warn("batch_called_back")
		k.conn.Write(line{Kind: "back"}.bytes())
	}
	if k.conn.Sent() {
		k.carries = false // it was silent once
		k.end(false)
		return
	}
	k.stop = k.place.o.Loop.At(k.place.o.Loop.Now().Add(heldTime/20), k.callBack)
}

// end tells what became of the batch on its way.
func (k *link) end(taken bool) {
	if done := k.done; done != nil {
		k.done = nil
		k.stop()
		done(taken)
	}
}

// giver takes a line of the process that takes; false: it has no place here.
func (k *link) giver(m line) bool {
	switch {
	case m.Room < 0:
		return false
	case m.Kind == "free":
		k.free = m.Room
	case m.Kind == "held" && k.done != nil && !k.back:
		k.end(true)
		k.conn.Write(line{Kind: "given"}.bytes())
		k.free = m.Room
	case m.Kind == "refused" && k.done != nil && !k.back:
		k.end(false)
	case k.back: // said before it could read that the batch is called back
	default:
		return false
	}
	k.place.o.Changed()
	return true
}

// taker takes a line of the process that gives; false: it has no place here.
func (k *link) taker(m line) bool {
	switch {
	case m.Kind == "batch" && m.Size > 0 && m.Size <= mostBatch && k.held == nil:
		k.body = m.Size
	case m.Kind == "learned" && m.Size > 0 && m.Size <= mostLearned:
		k.body, k.learned = m.Size, true
	case m.Kind == "given" && k.held != nil:
		k.takes()
		k.tellRoom("free")
	case m.Kind == "back":
		k.drops()
	default:
		return false
	}
	return true
}

// takeRights keeps descriptors for the batch that they came with.
func (k *link) takeRights(fds []int) {
	if k.rights = append(k.rights, fds...); len(k.rights) > loop.MaxDescriptorsPerMessage {
		k.drop(errors.New("more descriptors than a batch has"))
	}
}

// hold takes a batch whole, and touches nothing of it yet.
func (k *link) hold(body []byte) {
	rights := k.rights
	k.rights = nil
	parcels, err := parseBatch(body, rights)
	var held PreparedBatch
	if err == nil {
		held, err = k.place.o.Prepare(parcels)
	}
	if err != nil {
		zap.L().Warn("batch_refused", zap.Error(err))
		loop.CloseAll(rights)
		k.conn.Write(line{Kind: "refused"}.bytes())
		return
	}
	k.held = &held
	k.tellRoom("held")
}

func (k *link) tellRoom(kind string) {
	if k.carries {
		k.conn.Write(line{Kind: kind, Room: max(0, k.place.o.FreeDescriptors())}.bytes())
	}
}

// letGo gives this end of the link up: what it holds and was not given is the other process's, or nobody's.
func (k *link) letGo() {
	k.drops()
	k.end(true) // of the giver: what it gives up without a word is the taker's at the link's end
	k.unread()
}

// ended settles what the link's end leaves: a batch that is held is this process's, since its giver is gone or has closed
// its copies; a batch that a taker did not live to take is the giver's again.
func (k *link) ended() {
	k.takes()
	k.end(false)
	k.unread()
}

// takes has the held batch be this process's.
func (k *link) takes() {
	if h := k.held; h != nil {
		k.held = nil
		h.Commit()
	}
}

// drops closes the held batch: the other process has it.
func (k *link) drops() {
	if h := k.held; h != nil {
		k.held = nil
		h.Abort()
	}
}

// unread closes descriptors of a batch that never came whole. They may come with the bytes of lines before it, so only
// the link's end says that nothing follows.
func (k *link) unread() {
	loop.CloseAll(k.rights)
	k.rights = nil
}
