package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"

	"spurwinch/internal/platform/discovery"
	"spurwinch/internal/simwire"
)

// Node is the configuration of a node that runs on the platform.
type Node struct {
	Name           string
	Listen         string // IP:PORT for clients
	Discovery      string // IP:PORT of the discovery service
	ManagementAddr string // IP:PORT for operators' requests; empty: not served
	Seed           uint64
	Sockets        int             // maximum descriptors of the process; 0: unknown
	MemoryMB       int             // maximum memory of the process in megabytes; 0: unknown
	KnownServers   *discovery.List // servers to use until discovery replies; nil: none
	Settings       simwire.Settings
	// PeerListen is the address that receives datagrams from other nodes. Peers holds the addresses of all nodes by
	// their numbers, including this node's. Both are empty if nodes may not send messages to one another.
	PeerListen string
	Peers      []netip.AddrPort
	// Incomplete names the first key that a file must have at a reload and that the file of the start lacks; nil: none.
	Incomplete error
	// RestartKeys are the keys of a reloaded file whose values differ from those of the start's file and are applied
	// only at a restart.
	RestartKeys []string

	fixed fixedValues // of the start's file
}

// nodeFile is the content of config.json. The tags are the platform's names.
type nodeFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Known      *discovery.List `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// ReadNode reads the GW_* variables and the file that GW_CONFIG names. A variable overrides the file. At a start a file
// needs only the keys that this program uses; Node.Incomplete tells whether a reload of it would be rejected.
func ReadNode(getenv func(string) string) (Node, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Node{}, ErrNoConfigFile
	}
	file, err := readNodeFile(path)
	if err != nil {
		return Node{}, err
	}
	incomplete := file.checkKeys()
	file.Name = cmp.Or(getenv("GW_NAME"), file.Name)
	file.Listen = cmp.Or(getenv("GW_LISTEN"), file.Listen)
	file.Discovery = cmp.Or(getenv("GW_DISCOVERY"), file.Discovery)
	file.Mgmt = cmp.Or(getenv("GW_MGMT"), file.Mgmt)
	node, err := file.node()
	if err != nil {
		return node, &FileError{File: path, Err: err}
	}
	if incomplete != nil {
		node.Incomplete = &FileError{File: path, Err: incomplete}
	}
	return node, nil
}

// ReloadNode reads the file again. current is the configuration in force. Variables don't override the file, because
// their values date from the start of the process. ReloadNode checks the whole file. The file must have every key that
// nodeKeys requires, because a file that was cut short lacks settings that its author meant to keep. Which keys the
// file in force had does not matter.
func ReloadNode(path string, current Node) (Node, error) {
	file, err := readNodeFile(path)
	if err != nil {
		return Node{}, err
	}
	if err := file.checkKeys(); err != nil {
		return Node{}, &FileError{File: path, Err: err}
	}
	file.Listen = cmp.Or(file.Listen, current.Listen) // an empty address may have been overridden by a variable
	node, err := file.node()
	if err != nil {
		return node, &FileError{File: path, Err: err}
	}
	node.Settings = node.Settings.WithIndicesOf(current.Settings)
	node.RestartKeys = current.fixed.changedIn(node.fixed)
	node.fixed = current.fixed
	return node, nil
}

// parsedFile is the JSON object of a config.json.
type parsedFile struct {
	nodeFile
	object    map[string]any // all keys of the file
	fixed     fixedValues
	wrongType error // a value has a wrong type, so that nodeFile is not complete; nil: none has
}

// readNodeFile reads a file and parses it.
func readNodeFile(path string) (*parsedFile, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, err := parseNodeFile(raw)
	if err != nil {
		return nil, &FileError{File: path, Err: err}
	}
	return file, nil
}

// parseNodeFile parses the text of a file.
func parseNodeFile(raw []byte) (*parsedFile, error) {
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, ErrEmptyFile
	}
	file := &parsedFile{}
	document, err := nodeKeys.Decode(raw, &file.nodeFile)
	if document == nil && err != nil {
		return nil, err
	}
	object, ok := document.(map[string]any)
	if !ok {
		return nil, ErrNoObject
	}
	file.object = object
	file.fixed = fixedValues{Name: file.Name, Listen: file.Listen, Mgmt: file.Mgmt, PeerListen: file.PeerListen}
	file.wrongType = valueError(err)
	return file, nil
}

// needsMessageKeys reports whether the settings allow messages between several nodes.
func (f *parsedFile) needsMessageKeys() bool {
	settings, err := simwire.DecodeSettings(f.Settings)
	return err == nil && settings.Limits.PeerMessages && settings.Nodes > 1
}

// node checks the values of the file. It reports the first error, in the order of the checks: the types of values, the
// addresses and limits, the settings, the peers (which the settings may forbid), the known servers.
func (f *parsedFile) node() (Node, error) {
	if f.wrongType != nil {
		return Node{}, f.wrongType
	}
	node := Node{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, ManagementAddr: f.Mgmt, Seed: f.seed(),
		Sockets: f.Limits.Sockets, MemoryMB: f.Limits.MemoryMB, KnownServers: f.Known, fixed: f.fixed,
	}
	if err := node.check(); err != nil {
		return node, err
	}
	var err error
	if node.Settings, err = simwire.DecodeSettings(f.Settings); err != nil {
		return node, settingsError(err)
	}
	if err := node.setPeers(f.nodeFile); err != nil {
		return node, err
	}
	return node, node.checkKnownServers()
}

func (n *Node) check() error {
	addresses := []struct{ key, addr string }{{"listen", n.Listen}, {"discovery", n.Discovery}}
	if n.ManagementAddr != "" {
		addresses = append(addresses, struct{ key, addr string }{"mgmt", n.ManagementAddr})
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.addr); err != nil {
			problem := fmt.Sprintf("%s address %q is not IP:PORT", address.key, address.addr)
			return &KeyError{Key: address.key, Problem: problem, Err: err}
		}
	}
	if n.Sockets < 0 || n.MemoryMB < 0 {
		return &KeyError{Key: "limits", Problem: fmt.Sprintf(
			"limits: sockets is %d and memory_mb %d, both must be 0 (unknown) or greater", n.Sockets, n.MemoryMB)}
	}
	return nil
}

func (n *Node) checkKnownServers() error {
	if n.KnownServers == nil {
		return nil
	}
	if _, err := n.KnownServers.ServerEntries(); err != nil {
		return &KeyError{Key: "known", Problem: "known: " + err.Error(), Err: err}
	}
	return nil
}

// setPeers sets PeerListen and Peers. It leaves both empty if the file has no other node or no address to receive
// datagrams, or if the settings forbid messages between nodes.
func (n *Node) setPeers(file nodeFile) error {
	if !n.Settings.Limits.PeerMessages || len(file.Peers) < 2 || file.PeerListen == "" {
		return nil
	}
	if len(file.Peers) != n.Settings.Nodes {
		return &KeyError{Key: "peers", Problem: fmt.Sprintf(
			"peers has %d addresses, must have %d (settings.groupSize)", len(file.Peers), n.Settings.Nodes)}
	}
	if err := checkPeer("peer_listen", file.PeerListen); err != nil {
		return err
	}
	var peers []netip.AddrPort
	for _, text := range file.Peers {
		if err := checkPeer("peers", text); err != nil {
			return err
		}
		peers = append(peers, netip.MustParseAddrPort(text))
	}
	n.PeerListen = file.PeerListen
	n.Peers = peers
	return nil
}

func checkPeer(key, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &KeyError{Key: key, Problem: fmt.Sprintf("%q is not IP:PORT in peer_listen or peers", addr), Err: err}
	}
	return nil
}

// seed returns the seed that the file sets as a hexadecimal number. From any other text it derives a seed that differs
// between nodes.
func (f *nodeFile) seed() uint64 {
	if seed, err := strconv.ParseUint(f.Seed, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(f.Seed + f.Name)) // writing to a hash never fails
	return hash.Sum64()
}
