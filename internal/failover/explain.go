package failover

import (
	"fmt"
	"time"
)

// NodeView is what is known of a node.
type NodeView struct {
	Live            bool
	Plan            uint64
	HeardSecondsAgo float64 // seconds since it was heard; under 0: never
}

// NodeView tells what is known of a node.
func (p *Planner) NodeView(node int, now time.Duration) NodeView {
	s := NodeView{Live: p.cut.Live(node), Plan: p.confirmed[node], HeardSecondsAgo: -1}
	if at, ok := p.cut.Heard(node); ok {
		s.HeardSecondsAgo = (now - at).Seconds()
	}
	return s
}

// Explain tells in lines what led to a zone's state.
func (p *Planner) Explain(zone string, now time.Duration) (lines []string) {
	z := p.state[zone]
	if z == nil {
		return nil
	}
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	say("%s is %s since %v", zone, z.state, (now - z.since).Round(time.Second))
	v, own, ok := p.view(zone, now)
	switch {
	case !ok:
		say("nobody has told of its hosts within %v", freshFor)
	default:
		who := "its own nodes tell"
		if !own {
			who = "other zones' nodes tell"
		}
		n := float64(max(v.Nodes, 1))
		say("%s (%.0f of them): %.1f hosts serve, %.1f are left out, together they can do %.1f and have %.1f", who, n, float64(v.Ready)/n,
			float64(v.Ejected)/n, float64(v.Capacity)/n, float64(v.Load)/n)
	}
	if bad, why := p.judge(zone, now); bad {
		say("it is taken for bad: %s", why)
	} else if z.state == Lost {
		say("it is well again since %v; it comes back after %v, and %v after it last came back", (now - z.goodFrom).Round(time.Second), p.rules.RecoveryDelay, turnHold)
	}
	say("room %.1f in told load, of which %.1f may be given now", z.room, z.usable(p.rules))
	for _, from := range p.zones {
		if s := p.paths[[2]string{from, zone}]; s != nil && now-s.at < freshFor && s.tried >= 1 {
			say("from %s: %.0f tries of late, %.0f failed", from, s.tried, s.failed)
		}
	}
	for i, class := range p.rules.Classes {
		say("its clients want %.1f of class %s", z.want[i], class.Name)
	}
	return lines
}
