package choice

// Migration of open connections away from overloaded servers. All other connections stay on their server.

// migrationChance is the probability that a message that misses its latency objective causes a health check to decide
// on a migration.
const migrationChance = 0.4

// groupMigrationDivisor divides migrationChance if connections have groups, since a connection that migrates away from
// its group makes another server do the group's shared work.
const groupMigrationDivisor = 2

// migrate migrates a fraction of this node's connections on a server. A fractional number of connections is rounded at
// random, up or down.
func (b *Balancer) migrate(server *serverEntry, fraction float64) {
	connections := b.openConnectionsOn(server)
	count := min(len(connections), int(fraction*float64(len(connections))+b.random.Float64()))
	for _, request := range connections[:count] {
		b.actions = append(b.actions, Migrate{request.ID})
	}
}

// relieve migrates the excess load away from a server that a report shows to be overloaded. It is used if slow messages
// are not observed. It migrates nothing if no other server has much less load.
func (b *Balancer) relieve(server *serverEntry) {
	load := b.predictedLoad(server)
	limit := max(crowdedLoad, b.leastLoad()+2*overflowMargin)
	if load > limit { // load may be below 0
		b.migrate(server, 1-limit/load)
	}
}

// observeDelay processes the time that a message took on a server.
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
	if event.Took > b.messageObjective { // no health check could confirm the excess; each node migrates its own part
		b.migrate(server, (1-crowdedLoad/load)/2)
	}
}

// startMigrationCheck checks a server's health, with some probability, after a message on one of its connections missed
// the latency objective. endMigrationCheck then decides on the migration.
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

// endMigrationCheck decides whether to migrate the connection for which a health check was made. It migrates the
// connection if the check failed. Otherwise the probability is the excess fraction of the server's load, so that no
// more than the excess migrates.
func (b *Balancer) endMigrationCheck(server *serverEntry, served bool) {
	excess := 1 - crowdedLoad/server.report.load
	request := server.migrationCandidate
	if request != nil && request.open && request.server == server && (!served || b.random.Float64() < excess) {
		b.actions = append(b.actions, Migrate{request.ID})
	}
	server.migrationCandidate = nil
}
