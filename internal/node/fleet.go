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
	fleetRetryInterval = 250 * time.Millisecond // between two goes at the address and the files, while another process has them
	streamTimeout      = 5 * time.Second        // for one message by a stream
	// maxStreams bounds streams each way at once: with a whole message in each, 4 MB of a node that has 32. What finds no place comes
	// again with the next word.
	maxStreams        = 8
	diskRetryInterval = time.Second // between two goes at a record that the disk didn't take
	lateTickThreshold = time.Second // a step of this process that came so late is told
	frameBytes        = 4
	streamBacklog     = 16
)

// fleet is the node's part in its fleet: the agent with its sockets, its files and its core.
type fleet struct {
	loop                            *loop.Loop
	core                            *edge.Core
	config                          config.Fleet
	agent                           *agent.Agent
	newVoter                        agent.NewVoter
	classes                         func() ([]string, []choice.Class)
	start                           time.Time
	socket                          *loop.Datagrams
	listener                        *loop.Listener
	store                           *agree.Store
	saving                          bool
	inboundStreams, outboundStreams int // streams under way
	closed                          bool
	lastTick                        time.Time
	lostMessages                    uint64 // messages that no stream took
	policy                          policyState
}

// joinFleet has a core go by the fleet's plans. The address and the files may be another process's yet: then it begins as
// soon as that one has given them back.
func (p *Program) joinFleet(c config.Fleet, core *edge.Core, newVoter agent.NewVoter, classes func() ([]string, []choice.Class)) {
	f := &fleet{policy: policyState{program: p}, loop: p.loop, core: core, config: c, newVoter: newVoter, classes: classes, start: time.Now()}
	p.fleet = f
	p.onShutdown = append(p.onShutdown, f.close)
	p.onClose = append(p.onClose, f.close)
	// Until there is word of a plan the node serves by its own zone alone.
	core.ApplyZonePlan(failover.ZonePlanFor(failover.Standalone, nil, 0, f.zone(), nil, 0, failover.LeasedCapacity{}))
	if c.List.Policy != nil { // nor does it take anybody before it knows which policy is in force
		core.UseLease(edge.Lease{RetryAfter: time.Duration(c.ComeAgain), OnDecision: f.admissionRecorder()})
	}
	f.open()
}

func (f *fleet) zone() string {
	l := f.config.List.List
	return l.Node(l.Index(f.config.Self)).Zone
}

func (f *fleet) now() time.Duration { return time.Since(f.start) }

func (f *fleet) retry(event string, err error) {
	zap.L().Warn(event, zap.Error(err))
	f.release()
	f.loop.At(f.loop.Now().Add(fleetRetryInterval), f.open)
}

func (f *fleet) release() {
	if f.listener != nil {
		f.listener.Close()
	}
	if f.store != nil {
		f.store.Close()
	}
	f.listener, f.store = nil, nil
}

func (f *fleet) open() {
	if f.closed {
		return
	}
	var err error
	// The listener first: only one process can have it, and who has it may touch the rest.
	if f.listener, err = f.loop.ListenApart(f.config.Listen, streamBacklog, f.accept); err != nil {
		f.listener = nil
		f.retry("fleet_listen_failed", err)
		return
	}
	var kept []agree.Record
	if f.config.Dir != "" {
		f.store, kept, err = agree.OpenStore(f.config.Dir)
		if errors.Is(err, agree.ErrCorrupt) {
			zap.L().Error("fleet_files_spoilt", zap.Error(err), zap.String("what", "this node learns anew; as a voter it comes in as a new one"))
		} else if err != nil {
			f.retry("fleet_store_not_opened", err)
			return
		}
	}
	names, _ := f.classes()
	rules := f.config.List.Rules()
	rules.Classes = f.plannedClasses()
	l := f.config.List.List
	f.agent, err = agent.New(agent.Options{List: l, Self: l.Index(f.config.Self), Key: f.config.Secret, Rules: rules, Classes: names,
		RetryAfter: time.Duration(f.config.ComeAgain), Records: kept, Seed: uint64(time.Now().UnixNano()), Log: logAgentEvent, Voter: f.newVoter,
		Policy: f.policyOptions()}, f.now())
	if err != nil {
		f.retry("fleet_agent_not_started", err)
		return
	}
	f.socket, _, err = f.loop.ListenDatagrams(f.config.Listen, agent.MostDatagram, func(_ netip.AddrPort, b []byte) {
		if f.agent != nil && !f.closed {
			f.agent.Receive(b, f.now())
			f.carryOut()
		}
	})
	if err != nil {
		f.agent = nil
		f.retry("fleet_datagram_listen_failed", err)
		return
	}
	zap.L().Info("fleet_joined", zap.String("node", f.config.Self), zap.String("zone", f.zone()), zap.Int("nodes", l.Len()), zap.Int("records", len(kept)))
	f.lastTick = f.loop.Now()
	f.tick()
}

// plannedClasses is the classes as plans know them.
func (f *fleet) plannedClasses() (all []failover.Class) {
	_, classes := f.classes()
	for _, c := range classes {
		if !c.Removed {
			all = append(all, failover.Class{Name: c.Name, Priority: c.Priority, StayInRegion: slices.Contains(f.config.List.Plan.Stay, c.Name)})
		}
	}
	return all[:min(len(all), failover.MaxClasses)]
}

func (f *fleet) tick() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	if late := now.Sub(f.lastTick) - agree.Tick; late > lateTickThreshold {
		zap.L().Warn("fleet_tick_late", zap.Duration("by", late))
	}
	f.lastTick = now
	f.agent.Tick(f.now())
	if f.agent.Wants(f.now()) {
		f.agent.Observe(f.core.Observations(), f.now())
	}
	f.carryOut()
	f.logAdmitted(now)
	f.loop.At(now.Add(agree.Tick), f.tick)
}

// updateClasses takes in the module's classes after a change of settings.
func (f *fleet) updateClasses() {
	if f.agent != nil {
		names, _ := f.classes()
		f.agent.UpdateClasses(names)
		f.carryOut()
	}
}

// carryOut carries out what the agent has decided.
func (f *fleet) carryOut() {
	f.applyPolicy()
	if plan, changed := f.agent.ZonePlan(); changed {
		f.core.ApplyZonePlan(plan)
	}
	f.save()
	for _, m := range f.agent.Out() {
		to := f.config.List.Addr[m.To]
		if len(m.Data) > agent.MostDatagram {
			f.sendStream(to, m.Data)
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
		f.loop.Post(func() { f.onSaved(err) })
	}()
}

func (f *fleet) onSaved(err error) {
	f.saving = false
	if f.closed {
		f.release()
		return
	}
	if err != nil {
		zap.L().Error("fleet_record_not_saved", zap.Error(err), zap.String("what", "this node promises nothing until its disk takes records again"))
		f.loop.At(f.loop.Now().Add(diskRetryInterval), func() {
			if !f.closed {
				f.save()
			}
		})
		return
	}
	f.agent.Persisted(f.now())
	f.carryOut()
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
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
	if !f.saving { // else when the record is written
		f.release()
	}
}

// sendStream sends a message that no datagram holds.
func (f *fleet) sendStream(to string, data []byte) {
	if f.outboundStreams >= maxStreams {
		f.lostMessages++
		return
	}
	f.outboundStreams++
	s := &outboundStream{fleet: f}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+frameBytes), uint32(len(data)))
	s.data = append(frame, data...)
	s.conn = f.loop.Dial(to, f.loop.Now().Add(streamTimeout), s)
	s.stop = f.loop.At(f.loop.Now().Add(streamTimeout), func() { s.OnEnd(loop.ErrTimeout); s.conn.Abort() })
}

// outboundStream is one message on its way by a stream.
type outboundStream struct {
	fleet *fleet
	conn  *loop.Conn
	data  []byte
	stop  func()
	over  bool
}

// OnConnect sends the message.
func (s *outboundStream) OnConnect() {
	s.conn.Write(s.data)
	s.done()
	s.conn.End()
}

// OnData is of no use: nothing is answered.
func (s *outboundStream) OnData([]byte) {}

// OnDrained is of no use: End flushes.
func (s *outboundStream) OnDrained() {}

// OnEnd counts a message that was not taken.
func (s *outboundStream) OnEnd(error) {
	if !s.over {
		s.fleet.lostMessages++
		s.done()
	}
}

func (s *outboundStream) done() {
	if !s.over {
		s.over, s.data = true, nil
		s.fleet.outboundStreams--
		s.stop()
	}
}

// accept takes a stream with one message of another node, or of an operator.
func (f *fleet) accept(c *loop.Conn) loop.Handler {
	if f.inboundStreams >= maxStreams || f.closed {
		return nil
	}
	f.inboundStreams++
	t := &inboundStream{fleet: f, conn: c}
	t.stop = f.loop.At(f.loop.Now().Add(streamTimeout), func() { t.done(); c.Abort() })
	return t
}

type inboundStream struct {
	fleet *fleet
	conn  *loop.Conn
	buf   []byte
	stop  func()
	over  bool
}

// OnConnect is for connections dialled.
func (t *inboundStream) OnConnect() {}

// OnDrained is of no use here.
func (t *inboundStream) OnDrained() {}

// OnData takes a piece of the one message.
func (t *inboundStream) OnData(p []byte) {
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
		f.carryOut()
	}
}

// OnEnd forgets a stream that ended before its message was whole.
func (t *inboundStream) OnEnd(err error) {
	if t.over {
		return
	}
	t.done()
	if err == io.EOF {
		t.conn.End()
	}
}

func (t *inboundStream) done() {
	if !t.over {
		t.over = true
		t.fleet.inboundStreams--
		t.stop()
	}
}

// logAgentEvent writes an agent's event to the log.
func logAgentEvent(event string, fields ...any) {
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
