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
	fleetRetryInterval = 250 * time.Millisecond // while another process holds the fleet's address and files
	lateTickThreshold  = time.Second            // ticks that are delayed by more than this are logged
	streamBacklog      = 16                     // maximum number of connections waiting to be accepted
)

// fleet connects the node to its fleet. It provides the agent with sockets, files and ticks, and applies the agent's
// decisions to the core. Only the loop may use it.
type fleet struct {
	loop     *loop.Loop
	core     *edge.Core
	config   config.Fleet
	agent    *agent.Agent // nil until this process holds the address and the files
	newVoter agent.NewVoter
	start    time.Time // the agent's times are relative to it
	socket   *loop.Datagrams
	listener *loop.Listener
	closed   bool
	lastTick time.Time

	store  *consensus.Store // nil: the node stores no records
	saving bool             // a record is being written outside the loop

	inboundStreams  []*inboundStream // whose messages are not complete, the oldest first
	outboundStreams int

	policy     policyState
	admissions admissionLog
}

// joinFleet makes a core follow the fleet's plans. If another process still holds the address and the files, the node
// joins as soon as that process has released them.
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
	// Until it receives a plan, the node uses the servers of its own zone only.
	standalone := failover.ZonePlanFor(failover.Standalone, nil, 0, member.zone(), nil, 0, failover.LeasedCapacity{})
	core.ApplyZonePlan(standalone)
	if settings.List.Policy != nil { // the node admits no request until it knows which policy is in force
		retryAfter := time.Duration(settings.RetryAfter)
		core.UseLease(edge.Lease{RetryAfter: retryAfter, OnDecision: member.admissionRecorder()})
	}
	member.open()
}

func (f *fleet) zone() string {
	list := f.config.List.List
	return list.Node(list.Index(f.config.Self)).Zone
}

// now returns the current time on the agent's clock, which starts at f.start.
func (f *fleet) now() time.Duration { return time.Since(f.start) }

// open opens the address and the files, and starts the agent. After a failure it retries all steps.
func (f *fleet) open() {
	if f.closed {
		return
	}
	// The listener is opened first because only one process can hold it. The process that holds it may open the rest.
	listener, err := f.loop.ListenUncounted(f.config.Listen, streamBacklog, f.accept)
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

// openStore opens the node's store and reads its records. If the file is corrupt, it logs that and returns no error, so
// that the node starts without the records.
func (f *fleet) openStore() ([]consensus.Record, error) {
	if f.config.Dir == "" {
		return nil, nil
	}
	var records []consensus.Record
	var err error
	f.store, records, err = consensus.OpenStore(f.config.Dir)
	if errors.Is(err, consensus.ErrCorrupt) {
		zap.L().Error("fleet_files_spoilt", zap.Error(err),
			zap.String("what", "this node starts without its stored records; a voter rejoins as a new voter"))
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

// classNames returns the names of all classes, in the order of their indices.
func (f *fleet) classNames() (names []string) {
	for _, class := range f.core.Classes() {
		names = append(names, class.Name)
	}
	return names
}

// plannedClasses returns the classes in the form that plans use. It leaves out removed classes and all classes beyond
// failover.MaxClasses.
func (f *fleet) plannedClasses() (all []failover.Class) {
	for _, class := range f.core.Classes() {
		if class.Removed {
			continue
		}
		stayInRegion := slices.Contains(f.config.List.Plan.RegionalClasses, class.Name)
		all = append(all, failover.Class{Name: class.Name, Priority: class.Priority, StayInRegion: stayInRegion})
	}
	return all[:min(len(all), failover.MaxClasses)]
}

func (f *fleet) receiveDatagram(_ netip.AddrPort, message []byte) {
	if f.agent != nil && !f.closed {
		f.agent.Receive(message, f.now())
		f.applyDecisions()
	}
}

// tick passes the time to the agent, and the core's observations when they are due. It runs every
// consensus.TickInterval.
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

// updateClasses passes the core's classes to the agent after the settings have changed.
func (f *fleet) updateClasses() {
	if f.agent != nil {
		f.agent.UpdateClasses(f.classNames())
		f.applyDecisions()
	}
}

// applyDecisions applies the agent's decisions: it applies the policy and the plan, saves records and sends messages.
// It must be called after each call to the agent. The agent holds back a message that depends on a record until
// Persisted is called for that record.
func (f *fleet) applyDecisions() {
	f.applyPolicy()
	if plan, changed := f.agent.ZonePlan(); changed {
		f.core.ApplyZonePlan(plan)
	}
	f.save()
	for _, message := range f.agent.TakeMessages() {
		f.send(f.config.List.Addrs[message.To], message.Data)
	}
}

// send sends a message to a node's address, over a stream if the message is too long for a datagram.
func (f *fleet) send(to string, data []byte) {
	if len(data) > agent.MaxDatagram {
		f.sendStream(to, data)
		return
	}
	if addr, err := netip.ParseAddrPort(to); err == nil {
		_ = f.socket.Send(addr, data) // a send error is ignored because a datagram can also be lost in transit
	}
}

// close leaves the fleet immediately. Another process of the node may then open the address and the files.
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
	if !f.saving { // otherwise onSaved calls release once the record is written
		f.release()
	}
}

// release closes the listener and the store, so that another process can open them.
func (f *fleet) release() {
	if f.listener != nil {
		f.listener.Close()
	}
	if f.store != nil {
		_ = f.store.Close() // Save has already synced each record
	}
	f.listener = nil
	f.store = nil
}
