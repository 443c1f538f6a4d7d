package failover

import (
	"math"
	"slices"
)

// differs says how much: 0 not to speak of, 1 some, 2 so that it presses.
func differs(a, b *Plan) int {
	if len(a.Zones) != len(b.Zones) || !slices.Equal(a.Lost, b.Lost) || !slices.Equal(a.Classes, b.Classes) {
		return 2
	}
	most := 0
	for i, z := range b.Zones {
		if a.Zones[i].State != z.State || a.Zones[i].Nodes != z.Nodes || a.Zones[i].Name != z.Name || a.Zones[i].Lender != z.Lender {
			return 2
		}
		for c := range z.Want {
			if d := a.Admit[i][c] - b.Admit[i][c]; d > 12 || d < -12 {
				most = max(most, 1)
			}
		}
		if x, y := float64(a.Zones[i].Reserve), float64(z.Reserve); math.Abs(x-y) > 0.1*float64(z.Room)+0.5 && math.Abs(x-y) > 0.15*max(x, y) {
			most = max(most, 1)
		}
		have, get, want := 0.0, 0.0, 0.0 // of the zone's clients, in all zones
		for _, w := range z.Want {
			want += float64(w)
		}
		for j := range b.Zones {
			have, get = have+a.grant(i, j), get+b.grant(i, j)
		}
		if have < 1.3*want && get > have+0.03*want+0.5 {
			most = max(most, 1)
		}
		for j := range b.Zones {
			x, y := a.grant(i, j), b.grant(i, j)
			if d := math.Abs(x - y); d > 0.1*float64(z.Room)+0.5 && d > 0.15*max(x, y) {
				most = max(most, 1)
			}
			if i != j && x < 0.5*y && y > 0.5 {
				most = 2 // somebody has nowhere to go
			}
		}
		if z.State == Returning && float64(a.Zones[i].Room) < 0.9*float64(z.Room) {
			most = 2
		}
	}
	return most
}
