package config

import "spurwinch/internal/simwire"

// nodeKeys lists the keys of config.json. It includes keys that this program doesn't use, because a file without one of
// them was cut short or is damaged.
var nodeKeys = simwire.KeyTable{
	"name":        {},
	"listen":      {},
	"discovery":   {},
	"mgmt":        {Optional: true}, // empty: no admin server
	"seed":        {},
	"limits":      {Object: simwire.KeyTable{"cores": {}, "memory_mb": {}, "sockets": {}}},
	"peer_listen": {Optional: true}, // like peers and peers_all, see messageKeys
	"peers":       {Optional: true},
	"peers_all":   {Optional: true},
	"known":       {Object: simwire.KeyTable{"version": {}, "full": {}, "servers": {List: serverKeys}}},
	"settings":    {Object: simwire.SetupKeys},
}

// serverKeys lists the keys of a server in the list that the node last held.
var serverKeys = simwire.KeyTable{
	"id":         {},
	"addr":       {},
	"zone":       {},
	"kind":       {},
	"cell":       {},
	"state":      {},
	"weight":     {},
	"started_ms": {Optional: true}, // missing or 0: long ago
}

// messageKeys lists the keys that a file needs in addition if its settings allow messages between several nodes.
var messageKeys = simwire.KeyTable{"peer_listen": {}, "peers": {}, "peers_all": {}}

// checkKeys returns a *KeyError for the first key that a file must have and lacks.
func (f *parsedFile) checkKeys() error {
	err := nodeKeys.CheckKeys(f.object, "")
	if err == nil && f.needsMessageKeys() {
		err = messageKeys.CheckKeys(f.object, "")
	}
	return keyPathError(err)
}
