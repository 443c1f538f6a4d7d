package downstream

import "go.uber.org/zap"

// A client that reads slowly makes the node stop reading from its server, which bounds the memory of the connection. A
// client that accepts no byte for stallTimeout is migrated, so that its server's connection and its descriptors are
// free again.

// watchStall begins to watch whether the client accepts bytes, unless it is watched already.
func (c *client) watchStall() {
	if c.stopStallTimer == nil {
		c.checkStallLater()
	}
}

func (c *client) checkStallLater() {
	c.pendingAtCheck = c.conn.Pending()
	c.stopStallTimer = c.front.loop.At(c.front.loop.Now().Add(c.front.stallTimeout), c.checkStall)
}

// checkStall migrates the client if it has accepted no byte since the last check. Its server is not read from since
// then, so that its pending bytes only become fewer.
func (c *client) checkStall() {
	c.stopStallTimer = nil
	if c.closed || !c.established {
		return
	}
	if c.conn.Pending() < c.pendingAtCheck {
		c.checkStallLater()
		return
	}
	zap.L().Warn("client_stalled", zap.Duration("for", c.front.stallTimeout), zap.Int("pending", c.conn.Pending()))
	c.sendMove()
	c.request.ClientGone()
}

// stopStallWatch ends the watch, because the client has accepted all bytes or its connection ends.
func (c *client) stopStallWatch() {
	if c.stopStallTimer != nil {
		c.stopStallTimer()
		c.stopStallTimer = nil
	}
}
