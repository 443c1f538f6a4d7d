package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"spurwinch/internal/config/tomlfile"
)

// Fleet is the part of a fleet's configuration that belongs to one node.
type Fleet struct {
	Self       string   `toml:"self,omitempty"`      // this node's name in the list
	Listen     string   `toml:"listen,omitempty"`    // IP:PORT for datagrams and streams of other nodes
	Nodes      string   `toml:"nodes,omitempty"`     // file with the list of nodes and the common rules
	KeyFile    string   `toml:"key_file,omitempty"`  // file with the key that signs messages between nodes
	Dir        string   `toml:"dir,omitempty"`       // directory of state that must outlive the process; voters need it
	Cluster    string   `toml:"cluster,omitempty"`   // cluster whose zones are planned; empty: the platform's
	RetryAfter Duration `toml:"come_again,omitzero"` // retry after this time: advice to clients of a rejected request
	// PolicyLevel restricts this node to policies without keys of a later level, for example while a fleet is being
	// upgraded to a newer version. 0 means that all keys known to this program are allowed.
	PolicyLevel int `toml:"policy_level,omitzero"`

	List   *FleetList `toml:"-"` // read from the file that Nodes names
	Secret []byte     `toml:"-"` // read from the file that KeyFile names
}

// minFleetKeyBytes is the minimum length of a fleet's key: the size of the HMAC-SHA-256 that signs messages.
const minFleetKeyBytes = 32

// IsVoter reports whether this node is a voter.
func (c *Fleet) IsVoter() bool { return c.List.List.Node(c.List.List.Index(c.Self)).Voter }

// check sets default values, checks the table and reads the files that it names.
func (c *Fleet) check(file *tomlfile.File) {
	tomlfile.Fill(&c.RetryAfter, Duration(time.Second))
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		file.Fault("fleet.listen", "[fleet] listen = %q is not IP:PORT", c.Listen)
	}
	c.readList(file)
	if c.List != nil && c.List.Policy != nil {
		c.checkPolicy(file)
	}
	if c.PolicyLevel < 0 || c.PolicyLevel > newestPolicyLevel {
		file.Fault("fleet.policy_level", "[fleet] policy_level = %d: must be 0 (all levels) or 1 to %d",
			c.PolicyLevel, newestPolicyLevel)
	}
	c.readSecret(file)
}

// readList reads the list of nodes and finds this node in it.
func (c *Fleet) readList(file *tomlfile.File) {
	if c.Nodes == "" {
		file.Fault("fleet.nodes", "[fleet] without nodes: nodes must name the file with the list of nodes")
		return
	}
	list, err := ReadFleetList(c.Nodes)
	if err != nil {
		file.FaultError("fleet.nodes", err)
		return
	}
	c.List = list
	if list.List.Index(c.Self) < 0 {
		file.Fault("fleet.self", "[fleet] self = %q: must be the name of a node in %s", c.Self, c.Nodes)
		return
	}
	if c.IsVoter() && c.Dir == "" {
		file.Fault("fleet.dir",
			"[fleet] without dir: %q is a voter and needs a directory for state that must outlive its process", c.Self)
	}
}

// checkPolicy checks the requirements for a node of a fleet that has its policy on the log.
func (c *Fleet) checkPolicy(file *tomlfile.File) {
	if c.Dir == "" {
		file.Fault("fleet.dir", "[fleet] without dir: the fleet has its policy on the log, "+
			"so a node needs a directory for the policy, which must outlive its process")
	}
	if c.Cluster != "" {
		file.Fault("fleet.cluster", "[fleet] cluster = %q: a fleet with its policy on the log "+
			"serves the platform's front end, so cluster must not be set", c.Cluster)
	}
}

// readSecret reads the fleet's key, which is the text of the file without leading and trailing white space.
func (c *Fleet) readSecret(file *tomlfile.File) {
	if c.KeyFile == "" {
		file.Fault("fleet.key_file", "[fleet] without key_file: must name the file with the fleet's key")
		return
	}
	raw, err := os.ReadFile(c.KeyFile)
	if err != nil {
		file.FaultError("fleet.key_file", fmt.Errorf("[fleet] key_file: %w", err))
		return
	}
	key := strings.TrimSpace(string(raw))
	if len(key) < minFleetKeyBytes {
		file.Fault("fleet.key_file", "[fleet] key_file: %s has a key of %d bytes: must have at least %d bytes",
			c.KeyFile, len(key), minFleetKeyBytes)
		return
	}
	c.Secret = []byte(key)
}
