package config

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestRestartKeysOfOperator checks which keys of an operator's file are reported as not applied at a reload.
func TestRestartKeysOfOperator(t *testing.T) {
	for want, change := range map[string]func(o *Operator){
		"":                      func(*Operator) {},
		"limits.stanza_bytes":   func(o *Operator) { o.Limits.StanzaBytes++ },
		"listener.1.addr":       func(o *Operator) { o.Listeners[1].Addr = "127.0.0.1:1" },
		"listener":              func(o *Operator) { o.Listeners = o.Listeners[:1] },
		"class.0.patience":      func(o *Operator) { o.Classes[0].Deadline++ },
		"capture.path":          func(o *Operator) { o.Capture.Path = "elsewhere" },
		"fleet":                 func(o *Operator) { o.Fleet = nil },
		"fleet.listen":          func(o *Operator) { o.Fleet.Listen = "127.0.0.1:1" },
		"domain.new":            func(o *Operator) { o.Domains = append(o.Domains, Domain{Name: "new"}) },
		"domain.d.class":        func(o *Operator) { o.Domains[0].Class = "other" },
		"cluster.new":           func(o *Operator) { o.Clusters = append(o.Clusters, Cluster{Name: "new"}) },
		"cluster.b":             func(o *Operator) { o.Clusters = o.Clusters[:1] },
		"cluster.a.sessions":    func(o *Operator) { o.Clusters[0].Sessions++ },
		"cluster.b.drain_grace": func(o *Operator) { o.Clusters[1].DrainGrace++ },
	} {
		next := restartOperator()
		change(&next)
		before := restartOperator()
		if got := strings.Join(before.RestartKeys(&next), " "); got != want {
			t.Errorf("RestartKeys: got %q, want %q", got, want)
		}
	}
	reloaded := restartOperator()
	reloaded.Clusters[0].Discovery, reloaded.Clusters[0].Servers = "127.0.0.1:1", nil
	reloaded.Clusters[0], reloaded.Clusters[1] = reloaded.Clusters[1], reloaded.Clusters[0]
	reloaded.Domains[0].Streams = 5
	reloaded.Peers.Rate = 3
	reloaded.Certificates = nil
	before := restartOperator()
	if got := before.RestartKeys(&reloaded); len(got) > 0 {
		t.Errorf("RestartKeys of values that a reload applies: got %v, want none", got)
	}
}

func restartOperator() Operator {
	return Operator{
		Listeners: []Listener{{Addr: "127.0.0.1:2"}, {Addr: "127.0.0.1:3"}},
		Domains:   []Domain{{Name: "d", Cluster: "a", Class: "c"}},
		Classes:   []Class{{Name: "c", Deadline: Duration(time.Second)}},
		Clusters: []Cluster{
			{Name: "a", Servers: []StaticServer{{Addr: "127.0.0.1:4"}}},
			{Name: "b", Discovery: "127.0.0.1:5"},
		},
		Fleet: &Fleet{Listen: "127.0.0.1:6"},
	}
}

// TestRestartKeysOfNode checks which keys of config.json are reported as not applied at a reload, also at the reload
// after the next, and that values which variables override are compared as they are in the files.
func TestRestartKeysOfNode(t *testing.T) {
	path := writeConfig(t, completeConfig)
	environment := map[string]string{"GW_CONFIG": path, "GW_LISTEN": "127.0.0.1:3009", "GW_MGMT": "127.0.0.1:9009"}
	current, err := ReadNode(func(name string) string { return environment[name] })
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(
		"127.0.0.1:9000", "127.0.0.1:9001", `"n1"`, `"n2"`, "8500", "8501",
	).Replace(completeConfig)
	for i, test := range []struct {
		text string
		want []string
	}{{completeConfig, nil}, {changed, []string{"name", "mgmt"}}, {changed, []string{"name", "mgmt"}}} {
		next, err := ReloadNode(writeConfig(t, test.text), current)
		if err != nil || !reflect.DeepEqual(next.RestartKeys, test.want) {
			t.Errorf("reload %d: got error %v and RestartKeys %v, want %v", i, err, next.RestartKeys, test.want)
		}
		current = next
	}
}
