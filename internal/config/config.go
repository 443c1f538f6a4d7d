// Package config reads what a node is told: the GW_* variables and config.json, and the operator's file.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"spurwinch/choice"
	"spurwinch/internal/platform/cluster"
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
	shape      shape
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
	n, err := read(path, func(f *file) {
		f.Name, f.Listen = or(getenv("GW_NAME"), f.Name), or(getenv("GW_LISTEN"), f.Listen)
		f.Discovery, f.Mgmt = or(getenv("GW_DISCOVERY"), f.Discovery), or(getenv("GW_MGMT"), f.Mgmt)
	})
	return n, err
}

// Again reads the file anew for a node that runs by inForce. No variable beats it: those are as old as the process. The
// file is checked whole, and it must have every key that the one in force has: one that was cut short says less than
// was meant.
func Again(path string, inForce Node) (Node, error) {
	n, err := read(path, func(f *file) { f.Listen = or(f.Listen, inForce.Listen) }) // which a variable may have named
	if err != nil {
		return n, err
	}
	if key := inForce.shape.lacks(n.shape, ""); key != "" {
		return n, fmt.Errorf("%s: %s is missing: the configuration in force has it", path, key)
	}
	n.Settings = n.Settings.After(inForce.Settings)
	return n, nil
}

// read reads a file and checks it whole; change is for what beats the file.
func read(path string, change func(*file)) (n Node, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return n, err
	}
	n, err = decode(raw, change)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return n, err
}

func decode(raw []byte, change func(*file)) (n Node, err error) {
	var f file
	var all any
	if len(bytes.TrimSpace(raw)) == 0 {
		return n, errors.New("the file is empty: a JSON object is wanted")
	}
	if err := json.Unmarshal(raw, &all); err != nil {
		return n, err
	}
	if _, ok := all.(map[string]any); !ok {
		return n, errors.New("no JSON object: {\"name\": ..., \"settings\": {...}} is wanted")
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return n, err
	}
	change(&f)
	n = Node{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Mgmt: f.Mgmt, Sockets: f.Limits.Sockets,
		MemoryMB: f.Limits.MemoryMB, Known: f.Known, shape: shapeOf(all)}
	for _, a := range []struct{ what, addr string }{{"listen", n.Listen}, {"discovery", n.Discovery}, {"mgmt", or(n.Mgmt, "127.0.0.1:0")}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return n, fmt.Errorf("%s address %q is not IP:PORT", a.what, a.addr)
		}
	}
	if n.Sockets < 0 || n.MemoryMB < 0 {
		return n, fmt.Errorf("limits: sockets is %d and memory_mb %d: numbers over 0 are wanted, or none", n.Sockets, n.MemoryMB)
	}
	if n.Settings, err = wire.DecodeSettings(f.Settings); err != nil {
		return n, fmt.Errorf("settings: %w", err)
	}
	if n.PeerListen, n.Peers, err = peers(f, n.Settings.Settings); err != nil {
		return n, err
	}
	if f.Known != nil {
		if _, err := f.Known.Hosts(); err != nil {
			return n, fmt.Errorf("known: %w", err)
		}
	}
	if n.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		h := fnv.New64a() // any other text is a seed as well
		h.Write([]byte(f.Seed + n.Name))
		n.Seed = h.Sum64()
	}
	return n, nil
}

// shape is the keys of a JSON value: of an object, by name; of a list, those that all its elements have.
type shape map[string]shape

const element = "[]"

func shapeOf(v any) shape {
	switch v := v.(type) {
	case map[string]any:
		s := shape{}
		for k, in := range v {
			s[k] = shapeOf(in)
		}
		return s
	case []any:
		var all shape
		for i, in := range v {
			if all = all.common(shapeOf(in)); i == 0 {
				all = shapeOf(in)
			}
		}
		if len(all) > 0 {
			return shape{element: all}
		}
	}
	return nil
}

func (s shape) common(o shape) shape {
	out := shape{}
	for k, in := range s {
		if other, ok := o[k]; ok {
			out[k] = in.common(other)
		}
	}
	return out
}

// lacks names the first key, by name, that o has not; a list without elements lacks none.
func (s shape) lacks(o shape, path string) string {
	for _, k := range slices.Sorted(maps.Keys(s)) {
		in, ok := o[k]
		switch {
		case k == element && !ok:
			continue
		case !ok:
			return strings.TrimPrefix(path+"."+k, ".")
		}
		if key := s[k].lacks(in, path+"."+k); key != "" {
			return key
		}
	}
	return ""
}

// peers reads the addresses of the other nodes. Without them, or where the settings forbid messages, there are none.
func peers(f file, s choice.Settings) (listen string, all []netip.AddrPort, err error) {
	if !s.Limits.PeerMessages || len(f.Peers) < 2 || f.PeerListen == "" {
		return "", nil, nil
	}
	if len(f.Peers) != s.Nodes {
		return "", nil, fmt.Errorf("peers has %d addresses, settings.groupSize says %d", len(f.Peers), s.Nodes)
	}
	for i, a := range append([]string{f.PeerListen}, f.Peers...) {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			return "", nil, fmt.Errorf("%q is not IP:PORT in peer_listen or peers", a)
		}
		if i > 0 {
			all = append(all, ap)
		}
	}
	return f.PeerListen, all, nil
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
