package agent

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spurwinch/internal/consensus"
)

// Voter is a replica of the log. internal/consensus/replica implements it.
type Voter interface {
	Tick()
	Receive(from int, data []byte) error
	Ready() (record consensus.Record, replacesAll, ok bool)
	Persisted() (messages []consensus.Message, results []consensus.ProposalResult)
	Compact() (record consensus.Record, ok bool)
	Propose(proposal consensus.Proposal) error
	ConfirmLeadership() (call uint64)
	ConfirmedCall() uint64
	State() consensus.State
	Result(id string) (consensus.ProposalResult, bool)
	IsLeader() bool
	Leader() int
	Term() uint64
	Err() error
}

// NewVoter creates voter number self of the given number of voters, with the records on its disk.
type NewVoter func(self, voters int, records []consensus.Record, rng *rand.Rand) (Voter, error)

// startVoter starts this node's replica if the node is a voter.
func (a *Agent) startVoter() error {
	list := a.options.List
	self := list.VoterIndex(a.options.Self)
	if self < 0 {
		return nil
	}
	if a.options.Voter == nil {
		return fmt.Errorf("node %s is a voter, but %w", list.Node(a.options.Self).Name, ErrNoVoter)
	}
	voter, err := a.options.Voter(self, len(list.Voters()), a.options.Records, a.rng)
	if err != nil {
		return fmt.Errorf("start voter %d: %w", self, err)
	}
	a.voter = voter
	return nil
}

// IsLeader reports whether this node is the leader and makes plans, as far as it knows.
func (a *Agent) IsLeader() bool { return a.planner != nil && a.voter != nil && a.voter.IsLeader() }

// tickVoter calls the voter's Tick for each tick that is due. Ticks missed while the process was suspended are not made
// up for.
func (a *Agent) tickVoter(now time.Duration) {
	for ; a.schedule.voterTick <= now; a.schedule.voterTick += consensus.TickInterval {
		if now-a.schedule.voterTick > suspendThreshold {
			a.schedule.voterTick = now
		}
		if a.voter != nil {
			a.voter.Tick()
		}
	}
}

// handleConsensus passes a message from another voter to this node's voter.
func (a *Agent) handleConsensus(head header, body []byte) {
	from := a.options.List.VoterIndex(head.from)
	if a.voter == nil || from < 0 {
		return
	}
	err := a.voter.Receive(from, body)
	if err != nil {
		sender := a.options.List.Node(head.from).Name
		a.options.Log("fleet_consensus_message_rejected", "from", sender, "error", err.Error())
	}
}

// advanceVoter sets pendingRecord to the voter's next record. If that record is empty, the voter continues at once.
// more is true if there may be more to do.
func (a *Agent) advanceVoter(now time.Duration) (more bool) {
	if record, ok := a.voter.Compact(); ok {
		record.Newest = a.follower.Entries()
		a.pendingRecord = &pendingRecord{record: record, replacesAll: true}
		return true
	}
	if record, _, ok := a.voter.Ready(); ok {
		if record.Empty() {
			a.voterPersisted(now)
		} else {
			a.pendingRecord = &pendingRecord{record: record, fromVoter: true}
		}
		return true
	}
	if err := a.voter.Err(); err != nil {
		a.options.Log("fleet_voter_broken", "error", err.Error())
		a.voter = nil
	}
	return false
}

// voterPersisted sends the messages and applies the entries that the voter releases once its record is on disk.
func (a *Agent) voterPersisted(now time.Duration) {
	messages, results := a.voter.Persisted()
	voters := a.options.List.Voters()
	for _, message := range messages {
		if message.To >= 0 && message.To < len(voters) {
			a.send(voters[message.To], kindConsensus, message.Data, now)
		}
	}
	if state := a.voter.State(); state.LogID != 0 {
		for _, kind := range sortedKinds(state.Newest) {
			entry := state.Newest[kind]
			if entry.Index > a.follower.Newest(kind).Index {
				a.acceptEntry(state.LogID, entry, fromOwnVoter, now)
			}
		}
	}
	a.logCommittedPolicy()
	if a.planner == nil {
		return
	}
	for _, result := range results {
		a.options.Log("fleet_decided", "id", result.ID, "number", result.Index, "taken", result.Accepted)
	}
	a.acknowledgeSummaries(now)
}

func sortedKinds(entries map[consensus.Kind]consensus.Entry) (kinds []consensus.Kind) {
	for kind := range entries {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}
