// Package fleetclient sends an operator's call to a node of a fleet. Each call uses a new TCP connection.
//
// spurwinchctl and the test harness use the package. It keeps no state.
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
	callTimeout = 3 * time.Second // from the established connection to the end of the reply
	lengthBytes = 4               // size of the message length that precedes each message, big-endian
)

// ErrNoAnswer means that the node closed the connection or let the deadline pass without a reply. A node does not reply
// to a call that it can't decode or authenticate.
var ErrNoAnswer = errors.New("gives no answer (another key, or another list of nodes?)")

// ReplySizeError means that a node announced a reply that exceeds the size limit of messages.
type ReplySizeError struct {
	Node  string
	Bytes uint32 // as announced
}

// Error returns a message that names the node and the announced size.
func (e *ReplySizeError) Error() string {
	return fmt.Sprintf("%s: a reply of %d bytes exceeds the size limit of messages", e.Node, e.Bytes)
}

// Call sends an operator's call to the named node at addr (HOST:PORT) and returns its reply. It seals the call with the
// fleet's key. The error is ErrNoAnswer, a *ReplySizeError, a network error or an error of agent.Unseal. If the node
// rejects the call, Call returns no error: the reply contains the reason.
func Call(addr string, key []byte, fleet *config.FleetList, node string, call agent.Call) (agent.Reply, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return agent.Reply{}, err
	}
	defer func() { _ = conn.Close() }() // the reply has been read, or another error is returned
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
