package node

import (
	"encoding/binary"
	"errors"
	"io"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/agree"
	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
)

const (
	fleetTry   = 250 * time.Millisecond // between two goes at the address and the files, while another process has them
	streamTime = 5 * time.Second        // for one message by a stream
	// mostStreams bounds streams each way at once: with a whole message in each, 4 MB of a node that has 32. What finds no place comes
	// again with the next word.
	mostStreams  = 8
	diskTry      = time.Second // between two goes at a record that the disk didn't take
	lateNews     = time.Second // a step of this process that came so late is told
	frameBytes   = 4
	streamsQueue = 16
)

// fleet is the node's part in its fleet: the agent with its sockets, its files and its core.
type fleet struct {
	loop     *loop.Loop
	core     *edge.Core
	conf     config.Fleet
	agent    *agent.Agent
	newVoter agent.NewVoter
	classes  func() ([]string, []choice.Class)
	begin    time.Time
	socket   *loop.Datagrams
	door     *loop.Listener
	store    *agree.Store
	saving   bool
	in, out  int // streams under way
	closed   bool
	last     time.Time
	lost     uint64 // messages that no stream took
	policy   policed
}

// joinFleet has a core go by the fleet's plans. The address and the files may be another process's yet: then it begins as
// soon as that one has given them back.
func (p *Program) joinFleet(c config.Fleet, core *edge.Core, newVoter agent.NewVoter, classes func() ([]string, []choice.Class)) {
	f := &fleet{policy: policed{program: p}, loop: p.loop, core: core, conf: c, newVoter: newVoter, classes: classes, begin: time.Now()}
	p.fleet = f
	p.leaves = append(p.leaves, f.close)
	p.closers = append(p.closers, f.close)
	// Until there is word of a plan the node serves by its own zone alone.
	core.ApplyZonePlan(failover.ZonePlanFor(failover.Standalone, nil, 0, f.zone(), nil, 0, failover.LeasedCapacity{}))
	if c.List.Policy != nil { // nor does it take anybody before it knows which policy is in force
		core.UseLease(edge.Lease{RetryAfter: time.Duration(c.ComeAgain), OnDecision: f.told()})
	}
	f.open()
}

func (f *fleet) zone() string {
	l := f.conf.List.List
	return l.Node(l.Index(f.conf.Self)).Zone
}

func (f *fleet) now() time.Duration { return time.Since(f.begin) }

func (f *fleet) again(event string, err error) {
	zap.L().Warn(event, zap.Error(err))
	f.giveBack()
	f.loop.At(f.loop.Now().Add(fleetTry), f.open)
}

func (f *fleet) giveBack() {
	if f.door != nil {
		f.door.Close()
	}
	if f.store != nil {
		f.store.Close()
	}
	f.door, f.store = nil, nil
}

func (f *fleet) open() {
	if f.closed {
		return
	}
	var err error
	// The listener first: only one process can have it, and who has it may touch the rest.
	if f.door, err = f.loop.ListenApart(f.conf.Listen, streamsQueue, f.accept); err != nil {
		f.door = nil
		f.again("fleet_address_taken", err)
		return
	}
	var kept []agree.Record
	if f.conf.Dir != "" {
		f.store, kept, err = agree.OpenStore(f.conf.Dir)
		if errors.Is(err, agree.ErrCorrupt) {
			zap.L().Error("fleet_files_spoilt", zap.Error(err), zap.String("what", "this node learns anew; as a voter it comes in as a new one"))
		} else if err != nil {
			f.again("fleet_files_not_opened", err)
			return
		}
	}
	names, _ := f.classes()
	rules := f.conf.List.Rules()
	rules.Classes = f.ruled()
	l := f.conf.List.List
	f.agent, err = agent.New(agent.Options{List: l, Self: l.Index(f.conf.Self), Key: f.conf.Secret, Rules: rules, Classes: names,
		RetryAfter: time.Duration(f.conf.ComeAgain), Records: kept, Seed: uint64(time.Now().UnixNano()), Log: say, Voter: f.newVoter,
		Policy: f.policyOptions()}, f.now())
	if err != nil {
		f.again("fleet_not_begun", err)
		return
	}
	f.socket, _, err = f.loop.ListenDatagrams(f.conf.Listen, agent.MostDatagram, func(_ netip.AddrPort, b []byte) {
		if f.agent != nil && !f.closed {
			f.agent.Receive(b, f.now())
			f.pump()
		}
	})
	if err != nil {
		f.agent = nil
		f.again("fleet_datagrams_not_heard", err)
		return
	}
	zap.L().Info("fleet_joined", zap.String("node", f.conf.Self), zap.String("zone", f.zone()), zap.Int("nodes", l.Len()), zap.Int("records", len(kept)))
	f.last = f.loop.Now()
	f.tick()
}

// ruled is the classes as plans know them.
func (f *fleet) ruled() (all []failover.Class) {
	_, classes := f.classes()
	for _, c := range classes {
		if !c.Removed {
			all = append(all, failover.Class{Name: c.Name, Priority: c.Priority, StayInRegion: slices.Contains(f.conf.List.Plan.Stay, c.Name)})
		}
	}
	return all[:min(len(all), failover.MaxClasses)]
}

func (f *fleet) tick() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	if late := now.Sub(f.last) - agree.Tick; late > lateNews {
		zap.L().Warn("fleet_step_late", zap.Duration("by", late))
	}
	f.last = now
	f.agent.Tick(f.now())
	if f.agent.Wants(f.now()) {
		f.agent.Observe(f.core.Observations(), f.now())
	}
	f.pump()
	f.tellAdmitted(now)
	f.loop.At(now.Add(agree.Tick), f.tick)
}

// adapt takes in the module's classes after a change of settings.
func (f *fleet) adapt() {
	if f.agent != nil {
		names, _ := f.classes()
		f.agent.UpdateClasses(names)
		f.pump()
	}
}

// pump carries out what the agent has decided.
func (f *fleet) pump() {
	f.stand()
	if plan, changed := f.agent.ZonePlan(); changed {
		f.core.ApplyZonePlan(plan)
	}
	f.save()
	for _, m := range f.agent.Out() {
		to := f.conf.List.Addr[m.To]
		if len(m.Data) > agent.MostDatagram {
			f.stream(to, m.Data)
			continue
		}
		if ap, err := netip.ParseAddrPort(to); err == nil {
			f.socket.Send(ap, m.Data) // or lost, as on the way
		}
	}
}

// save has the next record written, apart from the loop: a disk may take long.
func (f *fleet) save() {
	if f.saving {
		return
	}
	rec, whole, ok := f.agent.Save()
	if !ok {
		return
	}
	if f.store == nil { // a node that keeps nothing; voters always have a store
		f.agent.Persisted(f.now())
		return
	}
	f.saving = true
	store := f.store
	go func() {
		var err error
		if whole {
			err = store.Replace(rec)
		} else {
			err = store.Save(rec)
		}
		f.loop.Post(func() { f.saved(err) })
	}()
}

func (f *fleet) saved(err error) {
	f.saving = false
	if f.closed {
		f.giveBack()
		return
	}
	if err != nil {
		zap.L().Error("fleet_record_not_kept", zap.Error(err), zap.String("what", "this node promises nothing until its disk takes records again"))
		f.loop.At(f.loop.Now().Add(diskTry), func() {
			if !f.closed {
				f.save()
			}
		})
		return
	}
	f.agent.Persisted(f.now())
	f.pump()
}

// close ends the part in the fleet at once; another process of the node may take the address and the files.
func (f *fleet) close() {
	if f.closed {
		return
	}
	f.closed = true
	if f.socket != nil {
		f.socket.Close()
	}
	if f.door != nil {
		f.door.Close()
		f.door = nil
	}
	if !f.saving { // else when the record is written
		f.giveBack()
	}
}

// stream sends a message that no datagram holds.
func (f *fleet) stream(to string, data []byte) {
	if f.out >= mostStreams {
		f.lost++
		return
	}
	f.out++
	s := &sender{fleet: f}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+frameBytes), uint32(len(data)))
	s.data = append(frame, data...)
	s.conn = f.loop.Dial(to, f.loop.Now().Add(streamTime), s)
	s.stop = f.loop.At(f.loop.Now().Add(streamTime), func() { s.OnEnd(loop.ErrTimeout); s.conn.Abort() })
}

// sender is one message on its way by a stream.
type sender struct {
	fleet *fleet
	conn  *loop.Conn
	data  []byte
	stop  func()
	over  bool
}

// OnConnect sends the message.
func (s *sender) OnConnect() {
	s.conn.Write(s.data)
	s.done()
	s.conn.End()
}

// OnData is of no use: nothing is answered.
func (s *sender) OnData([]byte) {}

// OnDrained is of no use: End flushes.
func (s *sender) OnDrained() {}

// OnEnd counts a message that was not taken.
func (s *sender) OnEnd(error) {
	if !s.over {
		s.fleet.lost++
		s.done()
	}
}

func (s *sender) done() {
	if !s.over {
		s.over, s.data = true, nil
		s.fleet.out--
		s.stop()
	}
}

// accept takes a stream with one message of another node, or of an operator.
func (f *fleet) accept(c *loop.Conn) loop.Handler {
	if f.in >= mostStreams || f.closed {
		return nil
	}
	f.in++
	t := &taker{fleet: f, conn: c}
	t.stop = f.loop.At(f.loop.Now().Add(streamTime), func() { t.done(); c.Abort() })
	return t
}

type taker struct {
	fleet *fleet
	conn  *loop.Conn
	buf   []byte
	stop  func()
	over  bool
}

// OnConnect is for connections dialled.
func (t *taker) OnConnect() {}

// OnDrained is of no use here.
func (t *taker) OnDrained() {}

// OnData takes a piece of the one message.
func (t *taker) OnData(p []byte) {
	f := t.fleet
	if t.over {
		return
	}
	t.buf = append(t.buf, p...)
	if len(t.buf) < frameBytes {
		return
	}
	n := int(binary.BigEndian.Uint32(t.buf))
	switch {
	case n > agent.MostMessage || len(t.buf) > frameBytes+n:
		t.done()
		t.conn.Abort()
	case len(t.buf) == frameBytes+n:
		msg := t.buf[frameBytes:]
		t.done()
		if f.agent == nil || f.closed {
			t.conn.Abort()
			return
		}
		if reply, ok := f.agent.Answer(msg, f.now()); ok {
			t.conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(reply))), reply...))
		} else {
			f.agent.Receive(msg, f.now())
		}
		t.conn.End()
		f.pump()
	}
}

// OnEnd forgets a stream that ended before its message was whole.
func (t *taker) OnEnd(err error) {
	if t.over {
		return
	}
	t.done()
	if err == io.EOF {
		t.conn.End()
	}
}

func (t *taker) done() {
	if !t.over {
		t.over = true
		t.fleet.in--
		t.stop()
	}
}

// say writes an agent's event to the log.
func say(event string, fields ...any) {
	level := zap.L().Info
	switch event {
	case "fleet_log_conflict", "fleet_voter_broken", "fleet_plan_unreadable":
		level = zap.L().Error
	}
	var all []zap.Field
	for i := 0; i+1 < len(fields); i += 2 {
		name, _ := fields[i].(string)
		if b, ok := fields[i+1].([]byte); ok { // a plan as it stands on the log, for tools
			if zap.L().Core().Enabled(zap.DebugLevel) {
				all = append(all, zap.Binary(name, b))
			}
			continue
		}
		all = append(all, zap.Any(name, fields[i+1]))
	}
	level(event, all...)
}
