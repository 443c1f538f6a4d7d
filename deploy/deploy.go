// Package deploy holds the examples that programs need at hand.
package deploy

import _ "embed"

// FleetEvening is the fleet file of a harvest evening.
//
//go:embed fleet-evening.toml
var FleetEvening []byte
