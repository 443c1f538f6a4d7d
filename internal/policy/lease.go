package policy

import "time"

// Rules holds the timing of policy changes. The list of nodes sets it, so that it is the same on all nodes.
type Rules struct {
	Window        time.Duration // longest time for which the previous policy is still in use after a decision
	AnswerTimeout time.Duration // longest time that a live member may take to acknowledge a change
}

// clockDrift is the largest fraction by which the clock of one machine may run fast or slow.
const clockDrift = 0.01

// Lease returns how long a node may apply the document that a leader's notice names, counted from a moment at which
// that leader was certainly the leader.
func (r Rules) Lease(notice LeaderNotice) time.Duration {
	window := min(r.Window, time.Duration(notice.Window)*time.Millisecond)
	return time.Duration(float64(window) * (1 - 2*clockDrift)) // each of the two clocks may drift
}

// LeaderNotice is the summary of the policy in the leader's newest message.
type LeaderNotice struct {
	_            struct{} `cbor:",toarray"`
	Entry        uint64   // newest entry of the log that carries a State
	InForce      uint64   // number in force according to that entry
	CanaryNumber uint64   // number that the canary applies; 0: no canary
	Window       uint32   // of the leader's Rules, in milliseconds; if lists of nodes differ, the shorter one counts
}

// NewLeaderNotice returns the notice for a state and the log entry that carries it. The caller sets the window.
func NewLeaderNotice(entry uint64, state *State) LeaderNotice {
	notice := LeaderNotice{Entry: entry, InForce: state.Number}
	if state.Change != nil && state.Change.Stage == StageCanary {
		notice.CanaryNumber = state.Change.Number
	}
	return notice
}

// ActiveDocument is the document that a node may apply.
type ActiveDocument struct {
	Number uint64
	Text   []byte // the document; empty for number 0, with which the node uses its own files
	Known  bool   // the node has the document; otherwise it can't serve
}

// ActiveFor returns the document that a node may apply: the newest one that the node knows to be in force or, if the
// node belongs to the canary, the one that the canary applies. node is the node's number in the list of nodes. state is
// the state on the node's disk, entry is the log entry that carries it. The leader's notice may be newer or older.
func ActiveFor(node int, zone string, entry uint64, state *State, notice LeaderNotice) ActiveDocument {
	inForce := max(state.Number, notice.InForce)
	canaryNumber := NewLeaderNotice(entry, state).CanaryNumber
	if notice.Entry > entry { // a later decision supersedes the state that this node has
		canaryNumber = notice.CanaryNumber
	}
	change := state.Change
	if change != nil && change.Number == canaryNumber && canaryNumber > inForce && change.Canary.Includes(node, zone) {
		return ActiveDocument{Number: canaryNumber, Text: change.Text, Known: true}
	}
	if inForce == 0 {
		return ActiveDocument{Known: true}
	}
	text, ok := state.Text(inForce)
	return ActiveDocument{Number: inForce, Text: text, Known: ok}
}
