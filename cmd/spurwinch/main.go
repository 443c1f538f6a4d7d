// Command spurwinch is a node: it places its clients' connections on upstream servers. It reads GW_* and config.json,
// runs in the foreground, and on SIGTERM migrates its clients, then ends with status 0. On SIGHUP it reloads its files.
// A start that fails gives one line on standard error and status 1. All that is not serving is in spurwinchctl, and a
// node that votes in its fleet replaces itself by spurwinch-voter.
package main

import (
	"os"

	"spurwinch/internal/node/command"
)

func main() { os.Exit(command.Main(nil)) }
