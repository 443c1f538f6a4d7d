package policy

import "time"

// Rules are the fleet's timing of changes. They stand in the list of nodes, the same at all of them.
type Rules struct {
	Window        time.Duration // after a decision the policy before it is in use for so long at most
	AnswerTimeout time.Duration // a live member has so long to acknowledge a change
}

// clockDrift is the fraction by which the clocks of two machines may run apart.
const clockDrift = 0.01

// Lease is how long a node may serve by a leader's notice, counted from a moment at which that leader surely led.
func (r Rules) Lease(notice LeaderNotice) time.Duration {
	window := min(r.Window, time.Duration(notice.Window)*time.Millisecond)
	return time.Duration(float64(window) * (1 - 2*clockDrift)) // each of the two clocks may be off
}

// LeaderNotice is the leader's summary of the policy in its newest message.
type LeaderNotice struct {
	_       struct{} `cbor:",toarray"`
	Entry   uint64   // newest entry of the log that carries a State
	InForce uint64   // number in force by it
	OnTrial uint64   // number that its canary serves by; 0: none
	Window  uint32   // of the leader's Rules, in milliseconds: where lists of nodes differ, the shorter one counts
}

// NoticeOf is what a state that stands in an entry of the log means to the nodes, but for the window.
func NoticeOf(entry uint64, state *State) LeaderNotice {
	notice := LeaderNotice{Entry: entry, InForce: state.Number}
	if state.Change != nil && state.Change.Stage == StageCanary {
		notice.OnTrial = state.Change.Number
	}
	return notice
}

// Active is the number that a node may serve under.
type Active struct {
	Number uint64
	Text   []byte // the document; none for number 0, which is the node's own files
	Known  bool   // the node has the document; else it serves nothing
}

// ActiveFor is the number that a node may serve under: the newest that it knows to be in force, or the one on trial if
// the node is one of the canary. node is its number in the list of nodes. entry is that of state, which is on the
// node's disk; the leader's notice may be newer or older than it.
func ActiveFor(node int, zone string, entry uint64, state *State, notice LeaderNotice) Active {
	inForce := max(state.Number, notice.InForce)
	onTrial := NoticeOf(entry, state).OnTrial
	if notice.Entry > entry { // what was decided meanwhile supersedes this node's state
		onTrial = notice.OnTrial
	}
	change := state.Change
	if change != nil && change.Number == onTrial && onTrial > inForce && change.Canary.Includes(node, zone) {
		return Active{Number: onTrial, Text: change.Text, Known: true}
	}
	if inForce == 0 {
		return Active{Known: true}
	}
	text, ok := state.Text(inForce)
	return Active{Number: inForce, Text: text, Known: ok}
}
