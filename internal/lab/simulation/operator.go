package simulation

import (
	"fmt"
	"time"

	"spurwinch/internal/failover/agent"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/policy"
)

const (
	callTimeout       = time.Second      // timeout of an operator's call to one voter
	commandTimeout    = 20 * time.Second // timeout of a command, after which its result is unknown
	commandFreeTail   = 8 * time.Second  // in this time before the end of a run, no command starts
	firstCommandTime  = 4 * time.Second  // earliest time of an operator's first command
	firstCommandRange = 3 * time.Second  // range of the random part of that time
	readOnlyPause     = 20 * time.Millisecond
	statusRetryDelay  = 100 * time.Millisecond
	confirmDelay      = 50 * time.Millisecond
	maxConfirmations  = 20 // maximum number of polls for the confirmation of one answer
	proposalPollDelay = 150 * time.Millisecond
	minCallDelay      = time.Millisecond
	callDelaySpread   = 5 * time.Millisecond
	maxAbortDelay     = 2 * time.Second
)

// Verbs of the operators' commands, as recorded in the history.
const (
	verbStatus       = "status"
	verbPropose      = "propose"
	verbProposeAgain = "again"
)

// Verbs of the operators' calls to voters.
const (
	callStatus  = "policy"
	callPropose = "policy-propose"
	callAbort   = "policy-abort"
)

// operator simulates a person or script that runs commands from a separate machine.
type operator struct {
	world       *World
	name        string
	knownNumber uint64 // number of the newest policy that it knows
	commands    int
	lastChange  *agent.Call // its latest change whose result it knows
	readOnly    bool        // it only runs status queries
}

// command is one command of an operator.
type command struct {
	operator *operator
	id       string
	start    time.Duration
	deadline time.Duration
}

// addOperators adds operators. Each runs its first command at a random time within firstCommandRange after
// firstCommandTime.
func (w *World) addOperators(count int) {
	for range count {
		added := &operator{world: w, name: fmt.Sprintf("op%d", len(w.operators))}
		w.operators = append(w.operators, added)
		w.schedule(firstCommandTime+time.Duration(w.rng.Float64()*float64(firstCommandRange)), added.startNextCommand)
	}
}

// drawPause draws the time until the operator's next command.
func (o *operator) drawPause() time.Duration {
	if o.readOnly {
		return readOnlyPause
	}
	return time.Duration(o.world.rng.ExpFloat64() * float64(operatorPause))
}

// startNextCommand draws and starts the operator's next command.
func (o *operator) startNextCommand() {
	world := o.world
	if world.now > world.options.Length-commandFreeTail {
		return
	}
	o.commands++
	started := &command{
		operator: o,
		id:       fmt.Sprintf("%s-%d", o.name, o.commands),
		start:    world.now,
		deadline: world.now + commandTimeout,
	}
	if !o.readOnly && o.lastChange != nil && world.rng.IntN(10) == 0 {
		started.proposeAgain(*o.lastChange)
		return
	}
	isStatusQuery := world.rng.IntN(10) < 4
	if isStatusQuery || o.readOnly {
		started.queryStatus()
		return
	}
	started.proposeNew()
}

// end records the command's result and schedules the operator's next command.
func (c *command) end(verb string, result faults.Result, number uint64) {
	world := c.operator.world
	world.record(faults.Event{
		Kind: faults.KindCommand, ID: c.id, Node: c.operator.name, Detail: verb, Result: result, Number: number,
		Value: c.start.Seconds(),
	})
	world.schedule(world.now+c.operator.drawPause(), c.operator.startNextCommand)
}

// proposeAgain repeats the proposal of a change that has already ended, with the same ID. The repeated proposal has no
// effect and reports the same result as before.
func (c *command) proposeAgain(change agent.Call) {
	c.id = change.ID
	c.propose(change, 0, func(result faults.Result, number uint64) { c.end(verbProposeAgain, result, number) })
}

// queryStatus asks which policy is in force and ends the command with the answer.
func (c *command) queryStatus() {
	c.operator.queryStatus(c.deadline, func(status *agent.PolicyReply) {
		if status == nil {
			c.end(verbStatus, faults.ResultUnknown, 0)
			return
		}
		c.operator.knownNumber = status.Number
		c.end(verbStatus, faults.ResultOK, status.Number)
	})
}

// proposeNew draws and proposes a change, which it may abort after a random delay.
func (c *command) proposeNew() {
	world := c.operator.world
	change := agent.Call{
		Verb: callPropose,
		ID:   c.id,
		Data: []byte(world.drawDocument(c.id)),
		Base: c.operator.knownNumber,
	}
	if world.rng.IntN(4) == 0 {
		change.Part = policy.Canary{OneIn: 3, Seconds: 1 + 3*world.rng.Float64(), MaxExtraRejections: 0.2}
	}
	abortAt := time.Duration(0)
	if world.rng.IntN(6) == 0 {
		abortAt = world.now + time.Duration(world.rng.Float64()*float64(maxAbortDelay))
	}
	c.propose(change, abortAt, func(result faults.Result, number uint64) {
		if result == faults.ResultAccepted || result == faults.ResultAbandoned {
			c.operator.lastChange = &change
		}
		c.end(verbPropose, result, number)
	})
}

// drawDocument draws a policy document. Some documents contain a key that some nodes do not accept.
func (w *World) drawDocument(id string) string {
	document := fmt.Sprintf("of=%s", id)
	choices := 8
	if w.hasOlderNodes {
		choices = 3
	}
	switch w.rng.IntN(choices) {
	case 0:
		document += " " + keyNewer + "=1"
	case 1:
		document += " " + keyDescriptors + "=1"
	}
	return document
}

// call sends a request to one voter and calls done with the reply, or with ok set to false after a timeout. The request
// and the reply may be lost.
func (o *operator) call(voter *node, request agent.Call, done func(reply agent.Reply, ok bool)) {
	world := o.world
	finished := false
	finish := func(reply agent.Reply, ok bool) {
		if !finished {
			finished = true
			done(reply, ok)
		}
	}
	world.schedule(world.now+max(callTimeout, world.minCallTimeout), func() { finish(agent.Reply{}, false) })
	isLost := func() bool {
		return voter.isolated && !voter.reachableByOperators || world.rng.Float64() < world.network.lossRate
	}
	if !voter.up || isLost() {
		return
	}
	delay := func() time.Duration {
		return minCallDelay + time.Duration(world.rng.Float64()*float64(callDelaySpread))
	}
	voter.schedule(world.now+delay(), func() {
		sealed, ok := voter.agent.Answer(agent.Seal([]byte(fleetKey), world.list, voter.index, request), voter.clock())
		if !ok || isLost() {
			return
		}
		world.schedule(world.now+delay(), func() {
			reply, err := agent.Unseal([]byte(fleetKey), world.list, sealed)
			finish(reply, err == nil)
		})
	})
}

// statusQuery asks voters for the policy in force until a voter confirms that its answer is not older than the query.
type statusQuery struct {
	operator *operator
	deadline time.Duration
	done     func(status *agent.PolicyReply) // status is nil if no voter answered in time
}

// queryStatus queries the policy in force.
func (o *operator) queryStatus(deadline time.Duration, done func(status *agent.PolicyReply)) {
	query := &statusQuery{operator: o, deadline: deadline, done: done}
	query.start()
}

// start asks a random voter, which returns a token with which the operator polls for a confirmed answer.
func (q *statusQuery) start() {
	world := q.operator.world
	if world.now > q.deadline {
		q.done(nil)
		return
	}
	voters := world.voters()
	voter := voters[world.rng.IntN(len(voters))]
	q.operator.call(voter, agent.Call{Verb: callStatus}, func(reply agent.Reply, ok bool) {
		if !ok || reply.Policy == nil {
			q.retry()
			return
		}
		q.confirm(voter, reply.Policy.Token, 1)
	})
}

// retry restarts the query after statusRetryDelay.
func (q *statusQuery) retry() {
	world := q.operator.world
	world.schedule(world.now+statusRetryDelay, q.start)
}

// confirm polls the voter with the token of its first answer until the voter confirms that its answer is up to date.
func (q *statusQuery) confirm(voter *node, token string, attempt int) {
	world := q.operator.world
	q.operator.call(voter, agent.Call{Verb: callStatus, Arg: token}, func(reply agent.Reply, ok bool) {
		answered := ok && reply.Policy != nil
		switch {
		case answered && !reply.Retry:
			q.done(reply.Policy)
		case answered && attempt < maxConfirmations && world.now < q.deadline:
			world.schedule(world.now+confirmDelay, func() { q.confirm(voter, token, attempt+1) })
		default:
			q.retry()
		}
	})
}

// proposal is a policy change that an operator proposes and polls until it has ended.
type proposal struct {
	operator   *operator
	change     agent.Call
	deadline   time.Duration
	abortAt    time.Duration // zero if the change is not to be aborted, or the abort call has been sent
	mayBeInLog bool          // a voter may have received the change
	done       func(result faults.Result, number uint64)
}

// propose proposes a change and waits until it has ended.
func (c *command) propose(change agent.Call, abortAt time.Duration, done func(faults.Result, uint64)) {
	started := &proposal{operator: c.operator, change: change, deadline: c.deadline, abortAt: abortAt, done: done}
	started.send()
}

// scheduleStep runs the next step of the proposal after proposalPollDelay.
func (p *proposal) scheduleStep(step func()) {
	world := p.operator.world
	world.schedule(world.now+proposalPollDelay, step)
}

// send sends the change to a random voter.
func (p *proposal) send() {
	world := p.operator.world
	if world.now > p.deadline {
		if p.mayBeInLog {
			p.done(faults.ResultUnknown, 0)
		} else {
			p.done(faults.ResultRejected, 0)
		}
		return
	}
	voters := world.voters()
	p.operator.call(voters[world.rng.IntN(len(voters))], p.change, p.handleReply)
}

// handleReply decides, based on a voter's reply, whether to send the change again, to poll for its result or to end
// the proposal.
func (p *proposal) handleReply(reply agent.Reply, ok bool) {
	isFollower := reply.Leader != "" && !reply.Leads
	switch {
	case !ok, reply.Error == "":
		p.mayBeInLog = true
		p.scheduleStep(p.poll)
	case isFollower:
		p.scheduleStep(p.send)
	case !reply.Retry && !p.mayBeInLog:
		p.done(faults.ResultRejected, 0)
	case p.mayBeInLog:
		p.scheduleStep(p.poll)
	default:
		p.scheduleStep(p.send)
	}
}

// poll queries the status to learn whether and how the change has ended.
func (p *proposal) poll() {
	p.operator.queryStatus(p.deadline, p.handleStatus)
}

// handleStatus ends the proposal if the change has ended. Otherwise it aborts a change whose abort time has passed,
// polls again or, if the change is not in progress, sends it again.
func (p *proposal) handleStatus(status *agent.PolicyReply) {
	if status == nil {
		p.done(faults.ResultUnknown, 0)
		return
	}
	p.operator.knownNumber = status.Number
	for _, ended := range status.Outcomes {
		if ended.ID != p.change.ID {
			continue
		}
		result := faults.ResultAbandoned
		if ended.Accepted {
			result = faults.ResultAccepted
		}
		p.done(result, ended.Number)
		return
	}
	world := p.operator.world
	inProgress := status.Change != nil && status.Change.ID == p.change.ID
	switch {
	case inProgress && p.abortAt > 0 && world.now > p.abortAt:
		p.abortAt = 0
		abort := agent.Call{Verb: callAbort, ID: p.change.ID}
		p.operator.call(world.leader(), abort, func(agent.Reply, bool) { p.scheduleStep(p.poll) })
	case inProgress:
		p.scheduleStep(p.poll)
	default:
		p.scheduleStep(p.send)
	}
}
