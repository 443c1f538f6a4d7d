package hotrestart

import (
	"encoding/json"
	"fmt"

	"golang.org/x/sys/unix"

	"spurwinch/internal/platform/discovery"
)

// noDescriptor stands in Grant.Datagrams where there is no socket.
const noDescriptor = -1

// Grant is what the running process gives to a successor. Its descriptors are the successor's to close.
type Grant struct {
	Sockets         map[string]int // listening sockets by the address that the configuration names
	Datagrams       int            // the gossip socket; -1: none
	Discovery       string         // the discovery service that List is from
	List            discovery.List
	DescriptorQuota int // descriptors that the successor may hold
	Learned         []byte

	fd           int    // the link to the parent
	unread       []byte // received on the link behind the grant
	transferForm int    // of the connections that the parent sends; 0: it sends none
}

// Release closes what was granted and is not served by this process. A start that has failed calls it: an open link
// would have the parent take this process for running.
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
			_ = unix.Close(fd) // the descriptor is gone either way
		}
	}
}

// parseGrant reads a grant and assigns the descriptors that came along to their names.
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
		DescriptorQuota: answer.Descriptors, Learned: answer.Learned, transferForm: answer.TransferForm,
	}
	if answer.List != nil {
		grant.List = *answer.List
	}
	for i, address := range answer.Sockets {
		if _, twice := grant.Sockets[address]; twice {
			return nil, fmt.Errorf("%w: socket %q is there twice", ErrInvalidGrant, address)
		}
		grant.Sockets[address] = descriptors[i]
	}
	if answer.HasDatagrams {
		grant.Datagrams = descriptors[len(descriptors)-1]
	}
	return grant, nil
}

// checkGrant reports what is wrong with a message as a grant that came with so many descriptors.
func (m message) checkGrant(descriptors int) error {
	named := len(m.Sockets)
	if m.HasDatagrams {
		named++
	}
	switch {
	case m.Kind != kindGrant:
		return &UnexpectedMessageError{Kind: string(m.Kind)}
	case m.Version != protocolVersion:
		return &VersionError{Got: m.Version, Want: protocolVersion}
	case named != descriptors:
		return fmt.Errorf("%d descriptors came for %d names", descriptors, named)
	case m.Descriptors < 0:
		return fmt.Errorf("the descriptor quota is %d", m.Descriptors)
	}
	if m.List == nil {
		return nil
	}
	if _, err := m.List.ServerEntries(); err != nil {
		return fmt.Errorf("endpoint list: %w", err)
	}
	return nil
}

// message returns the grant as it is sent to a successor, and its descriptors in their order.
func (g *Grant) message(withTransfers bool) (m message, descriptors []int) {
	m = message{
		Kind: kindGrant, Version: protocolVersion,
		Discovery: g.Discovery, List: &g.List, Descriptors: g.DescriptorQuota,
	}
	if withTransfers {
		m.TransferForm = transferForm
		if len(g.Learned) <= maxLearnedBytes {
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
