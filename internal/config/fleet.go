package config

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

// Fleet is a node's own part of what it needs to be one of a fleet.
type Fleet struct {
	Self       string   `toml:"self,omitempty"`      // this node's name in the list
	Listen     string   `toml:"listen,omitempty"`    // IP:PORT for datagrams and streams of other nodes
	Nodes      string   `toml:"nodes,omitempty"`     // file with the list of nodes and what is common
	KeyFile    string   `toml:"key_file,omitempty"`  // file with the key that signs messages between nodes
	Dir        string   `toml:"dir,omitempty"`       // for what must outlive the process; voters need it
	Cluster    string   `toml:"cluster,omitempty"`   // whose zones are planned; empty: the platform's
	RetryAfter Duration `toml:"come_again,omitzero"` // advice to clients whose request is rejected
	// PolicyLevel holds this node to policies without keys of a later level, as while a fleet goes over to a newer
	// version; 0: all that it knows.
	PolicyLevel int `toml:"policy_level,omitzero"`

	List   *FleetList `toml:"-"` // of the file that Nodes names
	Secret []byte     `toml:"-"` // of KeyFile
}

// minFleetKey is the least length of a fleet's key, in bytes: as long as the HMAC-SHA-256 that it signs messages with.
const minFleetKey = 32

// Votes says whether this node is a voter.
func (c *Fleet) Votes() bool { return c.List.List.Node(c.List.List.Index(c.Self)).Voter }

// check checks a node's part and reads the files that it names.
func (c *Fleet) check(file *tomlfile.File) {
	tomlfile.Fill(&c.RetryAfter, Duration(time.Second))
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		file.Fault("fleet.listen", "[fleet] listen = %q is not IP:PORT", c.Listen)
	}
	c.readList(file)
	if c.List != nil && c.List.Policy != nil {
		c.checkPolicy(file)
	}
	if c.PolicyLevel < 0 || c.PolicyLevel > policyLevel {
		file.Fault("fleet.policy_level", "[fleet] policy_level = %d: 1 to %d are known, 0 is all of them",
			c.PolicyLevel, policyLevel)
	}
	c.readSecret(file)
}

// readList reads the list of nodes and finds this node in it.
func (c *Fleet) readList(file *tomlfile.File) {
	if c.Nodes == "" {
		file.Fault("fleet.nodes", "[fleet] without nodes: the file with the list of nodes is wanted")
		return
	}
	list, err := ReadFleetList(c.Nodes)
	if err != nil {
		file.Fault("fleet.nodes", "%v", err)
		return
	}
	c.List = list
	if list.List.Index(c.Self) < 0 {
		file.Fault("fleet.self", "[fleet] self = %q: a name in %s is wanted", c.Self, c.Nodes)
		return
	}
	if c.Votes() && c.Dir == "" {
		file.Fault("fleet.dir", "[fleet] without dir: %q is a voter, and what it promises must outlive its process",
			c.Self)
	}
}

// checkPolicy checks what a fleet with its policy on the log needs of each node.
func (c *Fleet) checkPolicy(file *tomlfile.File) {
	if c.Dir == "" {
		file.Fault("fleet.dir", "[fleet] without dir: the fleet has its policy on the log, "+
			"and what a node knows of it must outlive its process")
	}
	if c.Cluster != "" {
		file.Fault("fleet.cluster", "[fleet] cluster = %q: a fleet with its policy on the log "+
			"serves the platform's front, which has no cluster", c.Cluster)
	}
}

// readSecret reads the fleet's key: the whole text of the file, without the white space around it, is the key.
func (c *Fleet) readSecret(file *tomlfile.File) {
	raw, err := os.ReadFile(c.KeyFile)
	if err != nil {
		file.Fault("fleet.key_file", "[fleet] key_file: %v", err)
		return
	}
	key := strings.TrimSpace(string(raw))
	if len(key) < minFleetKey {
		file.Fault("fleet.key_file", "[fleet] key_file: %s has a key of %d characters: %d or more are wanted",
			c.KeyFile, len(key), minFleetKey)
		return
	}
	c.Secret = []byte(key)
}
