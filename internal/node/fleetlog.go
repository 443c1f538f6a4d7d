package node

import "go.uber.org/zap"

// logAgentEvent logs an event of the agent. fields alternates between field names and values.
func logAgentEvent(event string, fields ...any) {
	level := zap.L().Info
	switch event {
	case "fleet_log_conflict", "fleet_voter_broken", "fleet_plan_unreadable":
		level = zap.L().Error
	}
	var logged []zap.Field
	for i := 0; i+1 < len(fields); i += 2 {
		name, _ := fields[i].(string) // a name that is not a string becomes empty
		if data, ok := fields[i+1].([]byte); ok {
			if zap.L().Core().Enabled(zap.DebugLevel) { // an encoded plan of the Raft log, for tools
				logged = append(logged, zap.Binary(name, data))
			}
			continue
		}
		logged = append(logged, zap.Any(name, fields[i+1]))
	}
	level(event, logged...)
}
