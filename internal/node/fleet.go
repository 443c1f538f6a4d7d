package node

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"spurwinch/internal/config"
	"spurwinch/internal/consensus"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
)

const (
	fleetRetryInterval = 250 * time.Millisecond // while another process has the fleet's address and files
	lateTickThreshold  = time.Second            // a tick that is later is logged
	streamBacklog      = 16                     // connections that wait to be accepted
)

// fleet is the node's part in its fleet: it gives the agent its sockets, its files and its ticks, and applies what the
// agent decides to the core. It belongs to the loop.
type fleet struct {
	loop     *loop.Loop
	core     *edge.Core
	config   config.Fleet
	agent    *agent.Agent // nil until the address and the files are this process's
	newVoter agent.NewVoter
	start    time.Time // the agent's times count from it
	socket   *loop.Datagrams
	listener *loop.Listener
	closed   bool
	lastTick time.Time

	store  *consensus.Store // nil: the node keeps nothing
	saving bool             // a record is being written, apart from the loop

	inboundStreams  int
	outboundStreams int

	policy     policyState
	admissions admissionLog
}

// joinFleet has a core serve by the fleet's plans. Another process may still have the address and the files: then the
// node joins as soon as that one has released them.
func (p *Program) joinFleet(settings config.Fleet, core *edge.Core, newVoter agent.NewVoter) {
	member := &fleet{
		loop:     p.loop,
		core:     core,
		config:   settings,
		newVoter: newVoter,
		start:    time.Now(),
		policy:   policyState{program: p},
	}
	p.fleet = member
	p.onShutdown = append(p.onShutdown, member.close)
	p.onClose = append(p.onClose, member.close)
	// Until a plan is known the node serves by its own zone alone.
	standalone := failover.ZonePlanFor(failover.Standalone, nil, 0, member.zone(), nil, 0, failover.LeasedCapacity{})
	core.ApplyZonePlan(standalone)
	if settings.List.Policy != nil { // nor does it admit any request before it knows which policy is in force
		retryAfter := time.Duration(settings.RetryAfter)
		core.UseLease(edge.Lease{RetryAfter: retryAfter, OnDecision: member.admissionRecorder()})
	}
	member.open()
}

func (f *fleet) zone() string {
	list := f.config.List.List
	return list.Node(list.Index(f.config.Self)).Zone
}

// now is the time as the agent counts it.
func (f *fleet) now() time.Duration { return time.Since(f.start) }

// open opens the address and the files, and starts the agent. What fails is retried.
func (f *fleet) open() {
	if f.closed {
		return
	}
	// The listener first: only one process can have it, and the one that has it may use the rest.
	listener, err := f.loop.ListenApart(f.config.Listen, streamBacklog, f.accept)
	if err != nil {
		f.retry("fleet_listen_failed", err)
		return
	}
	f.listener = listener
	records, err := f.openStore()
	if err != nil {
		f.retry("fleet_store_not_opened", err)
		return
	}
	f.agent, err = agent.New(f.agentOptions(records), f.now())
	if err != nil {
		f.retry("fleet_agent_not_started", err)
		return
	}
	f.socket, _, err = f.loop.ListenDatagrams(f.config.Listen, agent.MaxDatagram, f.receiveDatagram)
	if err != nil {
		f.agent = nil
		f.retry("fleet_datagram_listen_failed", err)
		return
	}
	zap.L().Info("fleet_joined", zap.String("node", f.config.Self), zap.String("zone", f.zone()),
		zap.Int("nodes", f.config.List.List.Len()), zap.Int("records", len(records)))
	f.lastTick = f.loop.Now()
	f.tick()
}

// retry logs why the node can't join yet, and schedules the next attempt.
func (f *fleet) retry(event string, err error) {
	zap.L().Warn(event, zap.Error(err))
	f.release()
	f.loop.At(f.loop.Now().Add(fleetRetryInterval), f.open)
}

// openStore opens the node's store and reads its records. A corrupt file is no error: the node starts without it.
func (f *fleet) openStore() ([]consensus.Record, error) {
	if f.config.Dir == "" {
		return nil, nil
	}
	var records []consensus.Record
	var err error
	f.store, records, err = consensus.OpenStore(f.config.Dir)
	if errors.Is(err, consensus.ErrCorrupt) {
		zap.L().Error("fleet_files_spoilt", zap.Error(err),
			zap.String("what", "this node learns anew; as a voter it comes in as a new one"))
		return records, nil
	}
	return records, err
}

func (f *fleet) agentOptions(records []consensus.Record) agent.Options {
	rules := f.config.List.Rules()
	rules.Classes = f.plannedClasses()
	list := f.config.List.List
	return agent.Options{
		List:       list,
		Self:       list.Index(f.config.Self),
		Key:        f.config.Secret,
		Rules:      rules,
		Classes:    f.classNames(),
		RetryAfter: time.Duration(f.config.RetryAfter),
		Records:    records,
		Seed:       uint64(time.Now().UnixNano()),
		Log:        logAgentEvent,
		Voter:      f.newVoter,
		Policy:     f.policyOptions(),
	}
}

// classNames are the names of all classes, by their index.
func (f *fleet) classNames() (names []string) {
	for _, class := range f.core.Classes() {
		names = append(names, class.Name)
	}
	return names
}

// plannedClasses are the classes as plans know them.
func (f *fleet) plannedClasses() (all []failover.Class) {
	for _, class := range f.core.Classes() {
		if class.Removed {
			continue
		}
		stays := slices.Contains(f.config.List.Plan.RegionalClasses, class.Name)
		all = append(all, failover.Class{Name: class.Name, Priority: class.Priority, StayInRegion: stays})
	}
	return all[:min(len(all), failover.MaxClasses)]
}

func (f *fleet) receiveDatagram(_ netip.AddrPort, message []byte) {
	if f.agent != nil && !f.closed {
		f.agent.Receive(message, f.now())
		f.applyDecisions()
	}
}

// tick gives the agent the time, and the core's observations where they are due, every consensus.TickInterval.
func (f *fleet) tick() {
	if f.closed {
		return
	}
	now := f.loop.Now()
	if late := now.Sub(f.lastTick) - consensus.TickInterval; late > lateTickThreshold {
		zap.L().Warn("fleet_tick_late", zap.Duration("by", late))
	}
	f.lastTick = now
	f.agent.Tick(f.now())
	if f.agent.WantsObservations(f.now()) {
		f.agent.Observe(f.core.Observations(), f.now())
	}
	f.applyDecisions()
	f.logAdmissions(now)
	f.loop.At(now.Add(consensus.TickInterval), f.tick)
}

// updateClasses gives the agent the module's classes after a change of settings.
func (f *fleet) updateClasses() {
	if f.agent != nil {
		f.agent.UpdateClasses(f.classNames())
		f.applyDecisions()
	}
}

// applyDecisions applies what the agent has decided: policy, plan, records to save and messages to send. It must follow
// each call of the agent. A message that depends on a record is held back by the agent until Persisted.
func (f *fleet) applyDecisions() {
	f.applyPolicy()
	if plan, changed := f.agent.ZonePlan(); changed {
		f.core.ApplyZonePlan(plan)
	}
	f.save()
	for _, message := range f.agent.TakeMessages() {
		f.send(f.config.List.Addr[message.To], message.Data)
	}
}

// send sends a message to a node's address, by a stream if it is too long for a datagram.
func (f *fleet) send(to string, data []byte) {
	if len(data) > agent.MaxDatagram {
		f.sendStream(to, data)
		return
	}
	if addr, err := netip.ParseAddrPort(to); err == nil {
		_ = f.socket.Send(addr, data) // a datagram may be lost on its way as well
	}
}

// close leaves the fleet at once; another process of the node may open the address and the files.
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
	if !f.saving { // else as soon as the record is written
		f.release()
	}
}

// release closes the address and the files.
func (f *fleet) release() {
	if f.listener != nil {
		f.listener.Close()
	}
	if f.store != nil {
		_ = f.store.Close() // each record was synced when it was saved
	}
	f.listener = nil
	f.store = nil
}
