// Package fleetclient makes an operator's call to a node of a fleet, by a stream of its own.
package fleetclient

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
)

// Ask makes an operator's call to a node.
func Ask(addr string, key []byte, l *config.FleetList, name string, c agent.Call) (r agent.Reply, err error) {
	s, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return r, err
	}
	defer s.Close()
	s.SetDeadline(time.Now().Add(3 * time.Second))
	p := agent.Seal(key, l.List, l.List.Index(name), c)
	if _, err := s.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(p))), p...)); err != nil {
		return r, err
	}
	var head [4]byte
	if _, err := io.ReadFull(s, head[:]); err != nil {
		return r, fmt.Errorf("%s gives no answer (another key, or another list of nodes?): %w", name, err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > agent.MaxMessage {
		return r, fmt.Errorf("%s: an answer of %d bytes", name, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s, body); err != nil {
		return r, err
	}
	return agent.Unseal(key, l.List, body)
}
