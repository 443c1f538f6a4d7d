// Command spurwinch runs a node, which places its clients' connections on upstream servers. It reads the GW_*
// environment variables and config.json and runs in the foreground. On SIGTERM it migrates its clients and then exits
// with status 0. On SIGHUP it reloads its files. If it can't start, it prints one line on standard error and exits with
// status 1. Commands that don't serve clients are in spurwinchctl. The process of a node that votes in its fleet
// replaces itself by spurwinch-voter.
package main

import (
	"os"

	"spurwinch/internal/node/command"
)

func main() { os.Exit(command.Main(nil)) }
