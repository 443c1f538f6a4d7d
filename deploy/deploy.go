// Package deploy holds the examples that programs need at hand.
package deploy

import "embed"

// ExampleFleet is the example of a planner's fleet file: four data centres at the hours of their highest load.
//
//go:embed fleet-evening.toml
var ExampleFleet []byte

// Faults are the fault laboratory's scenarios.
//
//go:embed faults/*.toml
var Faults embed.FS
