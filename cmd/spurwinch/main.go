// Command spurwinch is a node: it places its clients' connections on upstream hosts. It reads GW_* and config.json,
// runs in the foreground, and on SIGTERM moves its clients away, then ends with status 0. On SIGHUP it reads its files
// again. A start that can't be gives one line on standard error and status 1. All that is not serving is in spurwinchctl,
// and a node that votes in its fleet goes on as spurwinch-voter.
package main

import (
	"os"

	"spurwinch/internal/node/command"
)

func main() { os.Exit(command.Main(nil)) }
