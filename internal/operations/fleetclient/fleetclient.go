// Package fleetclient makes an operator's call to a node of a fleet, over a TCP connection of its own.
//
// spurwinchctl and the test harness call it. It keeps no state.
package fleetclient

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
)

const (
	dialTimeout = 2 * time.Second
	callTimeout = 3 * time.Second // from the connection on, to the end of the reply
	lengthBytes = 4               // before each message: its length, big-endian
)

// ErrNoAnswer says that the node ended the connection, or let the time pass, without a reply: it gives none to a call
// that it can't open.
var ErrNoAnswer = errors.New("gives no answer (another key, or another list of nodes?)")

// ReplySizeError says that a node announced a reply that is longer than any message may be.
type ReplySizeError struct {
	Node  string
	Bytes uint32 // as announced
}

// Error names the node and the size that it announced.
func (e *ReplySizeError) Error() string {
	return fmt.Sprintf("%s: an answer of %d bytes", e.Node, e.Bytes)
}

// Call sends an operator's call to the node with that name at addr (HOST:PORT) and returns its reply. The call is
// sealed with the fleet's key. The error is ErrNoAnswer, a *ReplySizeError, one of the network, or one of agent.Unseal;
// what the node itself objects to is in the reply.
func Call(addr string, key []byte, fleet *config.FleetList, node string, call agent.Call) (agent.Reply, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return agent.Reply{}, err
	}
	defer func() { _ = conn.Close() }() // the reply was read, or the error is known
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return agent.Reply{}, err
	}
	if err := writeMessage(conn, agent.Seal(key, fleet.List, fleet.List.Index(node), call)); err != nil {
		return agent.Reply{}, err
	}
	message, err := readMessage(conn, node)
	if err != nil {
		return agent.Reply{}, err
	}
	return agent.Unseal(key, fleet.List, message)
}

func writeMessage(w io.Writer, message []byte) error {
	framed := binary.BigEndian.AppendUint32(nil, uint32(len(message)))
	_, err := w.Write(append(framed, message...))
	return err
}

func readMessage(r io.Reader, node string) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, fmt.Errorf("%s %w: %w", node, ErrNoAnswer, err)
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > agent.MaxMessage {
		return nil, &ReplySizeError{Node: node, Bytes: size}
	}
	message := make([]byte, size)
	_, err := io.ReadFull(r, message)
	return message, err
}
