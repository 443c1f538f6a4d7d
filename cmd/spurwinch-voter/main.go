// Command spurwinch-voter is spurwinch with what a voter of the fleet's log needs. It is a program of its own because
// that part links code of 3.4 MB which no other node uses; spurwinch replaces itself by it where the list of nodes says
// that a node votes.
package main

import (
	"math/rand/v2"
	"os"

	"spurwinch/internal/consensus"
	"spurwinch/internal/consensus/replica"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/node/command"
)

func main() { os.Exit(command.Main(newVoter)) }

// newVoter makes the replica of the log from what it has persisted.
func newVoter(self, voters int, persisted []consensus.Record, rng *rand.Rand) (agent.Voter, error) {
	return replica.New(self, voters, persisted, rng)
}
