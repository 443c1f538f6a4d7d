// Command spurwinch-voter is spurwinch with the replica of the fleet's log that a voter runs. It is a separate program
// because the replica links 3.4 MB of code that other nodes don't use. spurwinch replaces itself by spurwinch-voter if
// the node is a voter in the list of nodes.
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

// newVoter creates the replica of the log from the records that it persisted earlier.
func newVoter(self, voters int, persisted []consensus.Record, rng *rand.Rand) (agent.Voter, error) {
	return replica.New(self, voters, persisted, rng)
}
