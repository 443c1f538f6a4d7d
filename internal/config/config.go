// Package config reads what a node is told: the GW_* variables and config.json, and the operator's file.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"

	"spurwinch/choice"
	"spurwinch/internal/cluster"
	"spurwinch/internal/wire"
)

// Node is the configuration of a node on the platform.
type Node struct {
	Name      string
	Listen    string
	Discovery string
	Mgmt      string // where operators ask; empty: nowhere
	Seed      uint64
	Sockets   int // descriptors that the process may hold; 0: not told
	MemoryMB  int
	Known     *cluster.List
	Settings  wire.Settings
	// PeerListen is where datagrams of other nodes arrive, Peers the addresses of all nodes by their numbers, this one's
	// among them. Both are empty where nodes may not speak to one another.
	PeerListen string
	Peers      []netip.AddrPort
}

type file struct {
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
	Known      *cluster.List   `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// FromEnvironment reads the GW_* variables and the file that GW_CONFIG names. A variable beats the file.
func FromEnvironment(getenv func(string) string) (Node, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return Node{}, errors.New("GW_CONFIG is not set")
	}
	f, err := read(path)
	if err != nil {
		return Node{}, err
	}
	n := Node{Name: or(getenv("GW_NAME"), f.Name), Listen: or(getenv("GW_LISTEN"), f.Listen),
		Discovery: or(getenv("GW_DISCOVERY"), f.Discovery), Mgmt: or(getenv("GW_MGMT"), f.Mgmt), Sockets: f.Limits.Sockets, MemoryMB: f.Limits.MemoryMB, Known: f.Known}
	for _, a := range []struct{ what, addr string }{{"listen", n.Listen}, {"discovery", n.Discovery}, {"mgmt", or(n.Mgmt, "127.0.0.1:0")}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return n, fmt.Errorf("%s: %s address %q is not IP:PORT", path, a.what, a.addr)
		}
	}
	if n.Settings, err = wire.DecodeSettings(f.Settings); err != nil {
		return n, fmt.Errorf("%s: settings: %w", path, err)
	}
	if n.PeerListen, n.Peers, err = peers(path, f, n.Settings.Settings); err != nil {
		return n, err
	}
	if f.Known != nil {
		if _, err := f.Known.Hosts(); err != nil {
			return n, fmt.Errorf("%s: known: %w", path, err)
		}
	}
	if n.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		h := fnv.New64a() // any other text is a seed as well
		h.Write([]byte(f.Seed + n.Name))
		n.Seed = h.Sum64()
	}
	return n, nil
}

// peers reads the addresses of the other nodes. Without them, or where the settings forbid messages, there are none.
func peers(path string, f file, s choice.Settings) (listen string, all []netip.AddrPort, err error) {
	if !s.Limits.MayTell || len(f.Peers) < 2 || f.PeerListen == "" {
		return "", nil, nil
	}
	if len(f.Peers) != s.Nodes {
		return "", nil, fmt.Errorf("%s: peers has %d addresses, settings.groupSize says %d", path, len(f.Peers), s.Nodes)
	}
	for i, a := range append([]string{f.PeerListen}, f.Peers...) {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			return "", nil, fmt.Errorf("%s: %q is not IP:PORT in peer_listen or peers", path, a)
		}
		if i > 0 {
			all = append(all, ap)
		}
	}
	return f.PeerListen, all, nil
}

func read(path string) (f file, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return f, err
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// DiscoveryNow is the address of discovery in a configuration that was replaced while the node runs. No variable
// beats it: those are as old as the process.
func DiscoveryNow(path string) (string, error) {
	f, err := read(path)
	if err != nil {
		return "", err
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return "", fmt.Errorf("%s: discovery address %q is not IP:PORT", path, f.Discovery)
	}
	return f.Discovery, nil
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
