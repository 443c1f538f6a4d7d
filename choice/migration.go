package choice

// Migration of open connections off servers that are overloaded: the exception to "connections stay where they are".

// migrationChance is the probability that a message that misses its objective causes a health check for a migration.
const migrationChance = 0.4

// groupMigrationDivisor divides migrationChance where connections have groups: a connection that migrates away from its
// group makes one more server pay for that.
const groupMigrationDivisor = 2

// migrate migrates a fraction of this node's connections on a server; the broken rest of one is rounded by chance.
func (b *Balancer) migrate(server *serverEntry, fraction float64) {
	connections := b.openConnectionsOn(server)
	count := min(len(connections), int(fraction*float64(len(connections))+b.random.Float64()))
	for _, request := range connections[:count] {
		b.actions = append(b.actions, Migrate{request.ID})
	}
}

// relieve migrates the excess off a server that a report shows overloaded, where nobody observes slow messages. It
// migrates nothing where no other server has much less load.
func (b *Balancer) relieve(server *serverEntry) {
	load := b.predictedLoad(server)
	limit := max(crowded, b.leastLoad()+2*overflowMargin)
	if load > limit { // load may be under 0
		b.migrate(server, 1-limit/load)
	}
}

// observeDelay takes in how long a message took at a server.
func (b *Balancer) observeDelay(event DelayObservation) {
	server := b.findServer(event.Server)
	if server == nil || b.messageObjective == 0 || event.Took <= 0 {
		return
	}
	server.messageTime = event.Took
	load := b.loadOfDelay(event.Took)
	if load > b.predictedLoad(server) {
		b.setReport(server, load)
	}
	if b.settings.Reports != NoReports {
		b.startMigrationCheck(event, server)
		return
	}
	b.inference.slowMessages = b.inference.slowMessages || load > 0
	if event.Took > b.messageObjective { // each node migrates its part of the excess: no health check would confirm it
		b.migrate(server, (1-crowded/load)/2)
	}
}

// startMigrationCheck has a server's health checked, with some probability, because a message on a connection there
// missed its latency objective. endMigrationCheck decides by the result.
func (b *Balancer) startMigrationCheck(event DelayObservation, server *serverEntry) {
	request := b.requests[event.ID]
	chance := migrationChance
	if b.settings.GroupAffinity {
		chance /= groupMigrationDivisor
	}
	if request != nil && request.open && request.server == server &&
		event.Took > request.class.MessageObjective && b.random.Float64() < chance {
		server.migrationCandidate = request
		b.checkHealth(server)
	}
}

// endMigrationCheck decides on the migration that a health check was made for: always where the check failed, else with
// the excess part of the server's load as the probability, so that no more than the excess goes.
func (b *Balancer) endMigrationCheck(server *serverEntry, served bool) {
	excess := 1 - crowded/server.report.load
	request := server.migrationCandidate
	if request != nil && request.open && request.server == server && (!served || b.random.Float64() < excess) {
		b.actions = append(b.actions, Migrate{request.ID})
	}
	server.migrationCandidate = nil
}
