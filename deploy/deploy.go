// Package deploy holds the examples that programs need at hand.
package deploy

import "embed"

// FleetEvening is the fleet file of a harvest evening.
//
//go:embed fleet-evening.toml
var FleetEvening []byte

// Faults are the fault laboratory's scenarios.
//
//go:embed faults/*.toml
var Faults embed.FS
