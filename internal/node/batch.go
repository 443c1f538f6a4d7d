package node

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/internal/edge"
	"spurwinch/internal/operations/hotrestart"
	"spurwinch/internal/xmpp"
)

const (
	// maxBatchBytes is from how many bytes of connections' states on a batch is full. The last connection may exceed
	// it: the successor accepts four times as much.
	maxBatchBytes = 256 << 10
	connectionFDs = 2 // the most descriptors of a connection: its client's and its server's
)

// maxBatchConnections is the most connections of a batch; a variable, so that tests can lower it.
var maxBatchConnections = hotrestart.MaxBatchConnections

// connectionState is one connection as it is sent to another process.
type connectionState struct {
	Front   frontName             `cbor:"1,keyasint"`
	Cluster string                `cbor:"2,keyasint,omitempty"`
	Open    *edge.ConnectionState `cbor:"3,keyasint,omitempty"` // nil: it has no request yet
	State   cbor.RawMessage       `cbor:"4,keyasint"`           // of its front
}

// frontName names a front in a connectionState.
type frontName string

// The fronts whose connections can be transferred.
const (
	frontPlatform frontName = "platform"
	frontXMPP     frontName = "xmpp"
)

// detachable is a connection that can be transferred: Detach takes it off the loop, then it is reattached or released.
type detachable interface {
	Detach() (fds []int, state any, ok bool)
	Reattach()
	Release()
}

// transferable is a connection with the cluster that it is in; a client without a request is in none.
type transferable struct {
	detachable
	cluster string
}

// transferBatch is a batch of connections on its way to the successor.
type transferBatch struct {
	connections []detachable
	items       []hotrestart.TransferItem
	bytes       int
	descriptors int // that the successor can accept beyond the batch
}

// add takes a connection off the loop and into the batch, if it can be transferred now.
func (b *transferBatch) add(connection transferable) {
	item, ok := detach(connection.detachable, connection.cluster)
	if !ok {
		return
	}
	b.connections = append(b.connections, connection.detachable)
	b.items = append(b.items, item)
	b.bytes += len(item.Body)
	b.descriptors -= len(item.FDs)
}

// full reports whether another connection might exceed what one batch, or the successor, may hold.
func (b *transferBatch) full() bool {
	return len(b.connections) >= maxBatchConnections || b.bytes > maxBatchBytes || b.descriptors < connectionFDs
}

// finish releases the connections once the successor has accepted them, or reattaches all of them.
func (b *transferBatch) finish(accepted bool) {
	for _, connection := range b.connections {
		if accepted {
			connection.Release()
		} else {
			connection.Reattach()
		}
	}
}

// detach takes a connection off the loop and encodes its state.
func detach(connection detachable, cluster string) (item hotrestart.TransferItem, ok bool) {
	sent := connectionState{Front: frontPlatform, Cluster: cluster}
	if request, isRequest := connection.(*edge.Request); isRequest {
		open, isOpen := request.ConnectionState()
		if !isOpen {
			return item, false
		}
		sent.Open = &open
	}
	fds, state, ok := connection.Detach()
	if !ok {
		return item, false
	}
	if _, isXMPP := state.(xmpp.ConnectionState); isXMPP {
		sent.Front = frontXMPP
	}
	body, err := sent.encode(state)
	if err != nil {
		zap.L().Error("connection_state_not_encoded", zap.Error(err))
		connection.Reattach()
		return item, false
	}
	return hotrestart.TransferItem{FDs: fds, Body: body}, true
}

// encode returns the body of the connection's transfer item: its CBOR with frontState as its State.
func (c connectionState) encode(frontState any) (body []byte, err error) {
	c.State, err = cbor.Marshal(frontState)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(c)
}
