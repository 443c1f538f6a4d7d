package simwire

import (
	"encoding/json"

	"spurwinch/choice"
)

// The structs in this file define the JSON messages that are exchanged with the simulator. Their tags are the
// simulator's names; their fields use the terms of package choice. Times and durations are in seconds.

// batch is a message from the simulator with the events of one point in time.
type batch struct {
	Time     *float64    `json:"tsS"`
	Sequence *uint64     `json:"seq"`
	Events   []wireEvent `json:"inbox"`
}

// wireEvent is an event at an instance. Op is its kind and determines which of the other keys are present.
type wireEvent struct {
	Op           eventOp         `json:"op"`
	NodeID       string          `json:"nodeId"`
	RequestID    string          `json:"opId"`
	Server       string          `json:"host"`
	Attempt      *int            `json:"trial"`
	Took         float64         `json:"rttS"`
	Final        bool            `json:"noMore"`
	Outcome      string          `json:"rc"`
	Report       []*float64      `json:"feedback"`
	Class        string          `json:"lane"`
	Tenant       string          `json:"owner"`
	Key          uint64          `json:"object"`
	Group        uint64          `json:"group"`
	TimeLeft     *float64        `json:"expiresInS"`
	LoadEstimate float64         `json:"estimateS"`
	Flags        requestFlags    `json:"options"`
	Token        string          `json:"token"`
	UpdateKind   updateKind      `json:"sort"`
	Value        *float64        `json:"x"`
	From         *int            `json:"srcPeer"`
	Data         []byte          `json:"payload"`
	ListKind     string          `json:"form"`
	Servers      []serverEntry   `json:"members"`
	Seed         json.RawMessage `json:"nonce64"`
	Setup        json.RawMessage `json:"setup"`
}

// eventOp is the kind of an event.
type eventOp string

const (
	opStart             eventOp = "Enlist"
	opStop              eventOp = "Stop"
	opServerList        eventOp = "Registry"
	opRequest           eventOp = "Inbound"
	opOpenConnection    eventOp = "Carried"
	opHealthCheckResult eventOp = "Checked"
	opEstablished       eventOp = "Streaming"
	opAttemptEnded      eventOp = "Completed"
	opUpdate            eventOp = "HintUpdate"
	opClientGone        eventOp = "ClientGone"
	opPeerMessage       eventOp = "NoteFrom"
	opTimerFired        eventOp = "TimeoutFired"
)

// requestFlags is a bit set of properties of a request.
type requestFlags int

const (
	flagLoadEstimate requestFlags = 1
	flagMidFlow      requestFlags = 8
	flagReturned     requestFlags = 16
)

func (f requestFlags) has(flag requestFlags) bool { return f&flag != 0 }

// updateKind determines the meaning and the unit of an update's value.
type updateKind int

const (
	updateLoad  updateKind = 1 // millionths of a core
	updateDelay updateKind = 2 // milliseconds
)

// serverEntry is an entry of the endpoint list.
type serverEntry struct {
	ID      string   `json:"host"`
	Zone    string   `json:"regionPart"`
	Kind    string   `json:"shape"`
	Cell    int      `json:"pod"`
	State   string   `json:"status"`
	Size    *float64 `json:"heft"`
	Started float64  `json:"startedAtS"`
}

// reply is the answer to a batch.
type reply struct {
	Sequence uint64     `json:"seq"`
	Steps    []wireStep `json:"steps"`
}

// wireStep is an action of an instance. Op is its kind and determines which of the other keys are present.
type wireStep struct {
	Op         stepOp  `json:"op"`
	NodeID     string  `json:"nodeId"`
	RequestID  string  `json:"opId,omitempty"`
	Server     string  `json:"host,omitempty"`
	Timeout    float64 `json:"capS,omitempty"`
	RetryAfter float64 `json:"stayAwayS,omitempty"`
	Attempt    *int    `json:"trial,omitempty"`
	Token      string  `json:"token,omitempty"`
	After      float64 `json:"afterS,omitempty"`
	Active     bool    `json:"active,omitempty"`
	Peer       *int    `json:"peer,omitempty"`
	Data       []byte  `json:"payload,omitempty"`
}

// stepOp is the kind of a step.
type stepOp string

const (
	opStartAttempt    stepOp = "Route"
	opReject          stepOp = "OverloadReply"
	opFail            stepOp = "Surrender"
	opCancelAttempt   stepOp = "DropAttempt"
	opHealthCheck     stepOp = "Ping"
	opMigrate         stepOp = "Evict"
	opSetTimer        stepOp = "Defer"
	opSendPeerMessage stepOp = "Say"
	opWatchList       stepOp = "Follow"
)

// Names that the wire protocol uses for values of package choice.
var (
	outcomeByName = map[string]choice.Outcome{
		"ok":             choice.Served,
		"error":          choice.Failed,
		"full":           choice.Full,
		"timeout":        choice.TimedOut,
		"connect_failed": choice.ConnectFailed,
		"reset":          choice.Reset,
		"cancelled":      choice.Cancelled,
		"moot":           choice.NeverSent,
	}
	listKindByName = map[string]choice.ListKind{
		"incr":      choice.ListChange,
		"total":     choice.ListFull,
		"warm_copy": choice.ListCached,
		"lost":      choice.ListUnavailable,
	}
	stateByName = map[string]choice.ServerState{
		"live":      choice.Ready,
		"quiescing": choice.Draining,
		"dead":      choice.Gone,
	}
)
