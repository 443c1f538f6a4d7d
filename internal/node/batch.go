package node

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"spurwinch/internal/edge"
	"spurwinch/internal/operations/hotrestart"
	"spurwinch/internal/xmpp"
)

const (
	// maxBatchBytes is the total size of connection states above which a batch is full. The last connection may exceed
	// it because the successor accepts four times as much.
	maxBatchBytes = 256 << 10
	connectionFDs = 2 // maximum descriptors of a connection: one of its client and one of its server
)

// A stream's open elements are one list in the state of its connection.
const _ = uint(hotrestart.MaxListElements - xmpp.MaxDepth)

// maxBatchConnections is the maximum number of connections in a batch. It is a variable so that tests can lower it.
var maxBatchConnections = hotrestart.MaxBatchConnections

// connectionState is the state of one connection in the form that is sent to another process.
type connectionState struct {
	Front   frontName             `cbor:"1,keyasint"`
	Cluster string                `cbor:"2,keyasint,omitempty"`
	Open    *edge.ConnectionState `cbor:"3,keyasint,omitempty"` // nil: the client has sent no request yet
	State   cbor.RawMessage       `cbor:"4,keyasint"`           // state of its front
}

// frontName names a front in a connectionState.
type frontName string

// The fronts whose connections can be transferred.
const (
	frontPlatform frontName = "platform"
	frontXMPP     frontName = "xmpp"
)

// detachable is a connection that can be transferred. Detach removes it from the loop; afterwards the caller calls
// Reattach or Release.
type detachable interface {
	Detach() (fds []int, state any, ok bool)
	Reattach()
	Release()
}

// transferable is a connection that can be transferred, with the name of its cluster. A client without a request
// belongs to no cluster.
type transferable struct {
	detachable
	cluster string
}

// transferBatch is a batch of connections for the successor.
type transferBatch struct {
	connections []detachable
	items       []hotrestart.TransferItem
	bytes       int
	descriptors int // descriptors that the successor can accept in addition to the batch

	maxConnections int
}

// add moves a connection from the loop to the batch if the connection can be transferred now.
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

// full reports whether another connection might exceed the limits of the batch or of the successor.
func (b *transferBatch) full() bool {
	return len(b.connections) >= b.maxConnections || b.bytes > maxBatchBytes || b.descriptors < connectionFDs
}

// finish releases all connections if the successor has accepted them, otherwise it reattaches them.
func (b *transferBatch) finish(accepted bool) {
	for _, connection := range b.connections {
		if accepted {
			connection.Release()
		} else {
			connection.Reattach()
		}
	}
}

// detach removes a connection from the loop and encodes its state.
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

// encode returns the body of the connection's transfer item, which is its CBOR encoding with frontState as State.
func (c connectionState) encode(frontState any) (body []byte, err error) {
	c.State, err = cbor.Marshal(frontState)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(c)
}
