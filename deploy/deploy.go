// Package deploy embeds the example files that programs need at run time.
package deploy

import "embed"

// ExampleFleet is an example of the planner's fleet file, with four data centres at the hours of their highest load.
//
//go:embed fleet-evening.toml
var ExampleFleet []byte

// Faults holds the fault laboratory's scenarios.
//
//go:embed faults/*.toml
var Faults embed.FS
