// Command spurwinch-voter is spurwinch with what a voter of the fleet's log needs. It is a program of its own because that part links
// code of 3.4 MB which no other node uses; spurwinch gives way to it by itself where the list of nodes says that a node votes.
package main

import (
	"math/rand/v2"
	"os"

	"spurwinch/internal/agree"
	"spurwinch/internal/agree/voter"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/node/start"
)

func main() {
	os.Exit(start.Main(func(self, n int, kept []agree.Record, rng *rand.Rand) (agent.Voter, error) {
		return voter.New(self, n, kept, rng)
	}))
}
