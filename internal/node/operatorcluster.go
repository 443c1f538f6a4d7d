package node

import (
	"go.uber.org/zap"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/discovery"
)

// operatorCluster is a cluster of the operator's file.
type operatorCluster struct {
	name     string
	core     *edge.Core
	settings choice.Settings
	seed     uint64
	watch    *discovery.Watch // nil: the servers are static
}

// watchDiscovery creates the watch of the discovery service at an address. It makes no call until followList is called.
func (c *operatorCluster) watchDiscovery(eventLoop *loop.Loop, address string) {
	c.watch = discovery.New(eventLoop, address, nil, watchMode(c.settings), c.seed, c.core.UpdateServers)
}

// followList makes the watch, if there is one, wait for the next list.
func (c *operatorCluster) followList() {
	if c.watch != nil {
		c.watch.Follow()
	}
}

// setDiscovery makes the cluster's servers come from the discovery service at an address. The servers of before stay in
// use until the service has answered.
func (c *operatorCluster) setDiscovery(eventLoop *loop.Loop, address string) {
	current := ""
	if c.watch != nil {
		current, _ = c.watch.Position()
	}
	if current == address {
		return
	}
	zap.L().Info("discovery_address_changed", zap.String("cluster", c.name), zap.String("address", address))
	c.core.ListSourceChanged()
	if c.watch != nil {
		c.watch.SetAddress(address)
		return
	}
	c.setSubscribe(true)
	c.watchDiscovery(eventLoop, address)
	c.watch.Follow()
}

// removeDiscovery stops the watch, if there is one. The caller then sets static servers.
func (c *operatorCluster) removeDiscovery() {
	if c.watch == nil {
		return
	}
	zap.L().Info("discovery_address_changed", zap.String("cluster", c.name), zap.String("address", ""))
	c.watch.Stop()
	c.watch = nil
	c.core.ListSourceChanged()
	c.setSubscribe(false)
}

// setSubscribe sets whether the core asks for the server list.
func (c *operatorCluster) setSubscribe(subscribe bool) {
	c.settings.Subscribe = subscribe
	c.core.UpdateSettings(c.settings)
}
