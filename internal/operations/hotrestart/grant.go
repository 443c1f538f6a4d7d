package hotrestart

import (
	"encoding/json"
	"fmt"

	"golang.org/x/sys/unix"

	"spurwinch/internal/platform/discovery"
)

// noDescriptor is the value of Grant.Datagrams when there is no gossip socket.
const noDescriptor = -1

// Grant is what the parent gives to a successor. The successor must close the descriptors in it.
type Grant struct {
	Sockets         map[string]int // listening sockets by their address in the configuration
	Datagrams       int            // the gossip socket; -1: none
	Discovery       string         // the discovery service that sent List
	List            discovery.List
	DescriptorQuota int    // descriptors that the successor may have open
	Learned         []byte // the encoded learned state of the parent

	fd              int    // the link to the parent
	unread          []byte // received on the link after the grant
	transferVersion int    // the parent's transferVersion; 0: the parent sends no connections
}

// Release closes the link to the parent and the granted descriptors, except those that this process serves. The node
// calls it after a failed start, because the parent treats this process as running while the link is open.
func (g *Grant) Release(serves func(fd int) bool) {
	descriptors := []int{g.fd}
	for _, fd := range g.Sockets {
		descriptors = append(descriptors, fd)
	}
	if g.Datagrams >= 0 {
		descriptors = append(descriptors, g.Datagrams)
	}
	for _, fd := range descriptors {
		if !serves(fd) {
			_ = unix.Close(fd) // the descriptor is closed even if Close reports an error
		}
	}
}

// parseGrant decodes a grant and assigns the descriptors received with it to their sockets.
func parseGrant(encoded []byte, descriptors []int) (*Grant, error) {
	var answer message
	if err := json.Unmarshal(encoded, &answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidGrant, err)
	}
	if err := answer.checkGrant(len(descriptors)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidGrant, err)
	}
	grant := &Grant{
		Sockets: map[string]int{}, Datagrams: noDescriptor, Discovery: answer.Discovery,
		DescriptorQuota: answer.Descriptors, Learned: answer.Learned, transferVersion: answer.TransferVersion,
	}
	if answer.List != nil {
		grant.List = *answer.List
	}
	for i, address := range answer.Sockets {
		if _, duplicate := grant.Sockets[address]; duplicate {
			return nil, fmt.Errorf("%w: socket %q is listed twice, must be listed once", ErrInvalidGrant, address)
		}
		grant.Sockets[address] = descriptors[i]
	}
	if answer.HasDatagrams {
		grant.Datagrams = descriptors[len(descriptors)-1]
	}
	return grant, nil
}

// checkGrant returns an error if the message is not a valid grant received with this number of descriptors.
func (m message) checkGrant(descriptors int) error {
	wantDescriptors := len(m.Sockets)
	if m.HasDatagrams {
		wantDescriptors++
	}
	switch {
	case m.Kind != kindGrant:
		return &UnexpectedMessageError{Kind: string(m.Kind)}
	case m.Version != protocolVersion:
		return &VersionError{Got: m.Version, Want: protocolVersion}
	case wantDescriptors != descriptors:
		return fmt.Errorf("received %d descriptors for %d sockets", descriptors, wantDescriptors)
	case m.Descriptors < 0:
		return fmt.Errorf("the descriptor quota must not be negative, got %d", m.Descriptors)
	}
	if m.List == nil {
		return nil
	}
	if _, err := m.List.ServerEntries(); err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	return nil
}

// message returns the message that sends the grant to a successor, and the descriptors in the order of its sockets.
func (g *Grant) message(withTransfers bool) (m message, descriptors []int) {
	m = message{
		Kind: kindGrant, Version: protocolVersion,
		Discovery: g.Discovery, List: &g.List, Descriptors: g.DescriptorQuota,
	}
	if withTransfers {
		m.TransferVersion = transferVersion
		if len(g.Learned) <= MaxLearnedBytes {
			m.Learned = g.Learned
		}
		if len(m.encode()) > maxGrantBytes { // the list matters more than the learned state
			m.Learned = nil
		}
	}
	for address, fd := range g.Sockets {
		m.Sockets = append(m.Sockets, address)
		descriptors = append(descriptors, fd)
	}
	if g.Datagrams >= 0 {
		m.HasDatagrams = true
		descriptors = append(descriptors, g.Datagrams)
	}
	return m, descriptors
}
