package choice

// Migration of open connections off servers that are overloaded: the exception to "connections stay where they are".

// migrationChance is the probability, for each message that misses its objective, of asking whether to migrate.
const migrationChance = 0.4

// migrate migrates a part of this node's connections on a server, in complete ones by chance.
func (b *Balancer) migrate(server *serverEntry, fraction float64) {
	connections := b.openConnectionsOn(server)
	count := min(len(connections), int(fraction*float64(len(connections))+b.random.Float64()))
	for _, request := range connections[:count] {
		b.actions = append(b.actions, Migrate{request.ID})
	}
}

// relieve migrates the excess off a server that a report shows overloaded, where nobody observes slow messages: what
// stays is served in time again, what goes was not. Not where no other server is much better.
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

// startMigrationCheck has a server checked because a connection there misses its objective: its client gains nothing by
// staying. Only some of these ask, and only the excess over what the server can do is migrated.
func (b *Balancer) startMigrationCheck(event DelayObservation, server *serverEntry) {
	request := b.requests[event.ID]
	chance := migrationChance
	if b.settings.GroupAffinity { // who leaves its group makes one more server pay for it
		chance /= 2
	}
	if request != nil && request.open && request.server == server &&
		event.Took > request.class.MessageObjective && b.random.Float64() < chance {
		server.migrating = request
		b.checkHealth(server)
	}
}

// endMigrationCheck migrates the connection that a health check was made for, by chance as much as the server has too
// much.
func (b *Balancer) endMigrationCheck(server *serverEntry, served bool) {
	excess := 1 - crowded/server.report.load
	request := server.migrating
	if request != nil && request.open && request.server == server && (!served || b.random.Float64() < excess) {
		b.actions = append(b.actions, Migrate{request.ID})
	}
	server.migrating = nil
}
