package simwire

import (
	"time"

	"spurwinch/choice"
)

// minTimerDelay is the shortest delay of a timer: the simulator rejects an afterS of 0.
const minTimerDelay = time.Microsecond

// encodeAction returns an action of an instance in the simulator's wire format.
func encodeAction(nodeID string, action choice.Action) wireStep {
	out := wireStep{NodeID: nodeID}
	switch action := action.(type) {
	case choice.StartAttempt:
		out.Op = opStartAttempt
		out.RequestID = string(action.ID)
		out.Server = string(action.Server)
		out.Timeout = action.Timeout.Seconds()
	case choice.Reject:
		out.Op = opReject
		out.RequestID = string(action.ID)
		out.RetryAfter = action.RetryAfter.Seconds()
	case choice.Fail:
		out.Op = opFail
		out.RequestID = string(action.ID)
	case choice.CancelAttempt:
		out.Op = opCancelAttempt
		out.RequestID = string(action.ID)
		out.Attempt = &action.Attempt
	case choice.HealthCheck:
		out.Op = opHealthCheck
		out.Server = string(action.Server)
	case choice.Migrate:
		out.Op = opMigrate
		out.RequestID = string(action.ID)
	case choice.SetTimer:
		out.Op = opSetTimer
		out.Token = action.Token
		out.After = max(action.After, minTimerDelay).Seconds()
	case choice.SendPeerMessage:
		out.Op = opSendPeerMessage
		out.Peer = &action.To
		out.Data = action.Data
	case choice.WatchList:
		out.Op = opWatchList
		out.Active = true
	}
	return out
}
