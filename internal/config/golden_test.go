package config

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/edge"
	"spurwinch/internal/failover"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/membership"
	"spurwinch/internal/policy"
	"spurwinch/internal/simwire"
)

// goldenSettings returns the settings in testdata/config.json.
func goldenSettings() choice.Settings {
	return choice.Settings{
		Nodes: 3, Node: 2, Zone: "zone-a",
		Classes: []choice.Class{
			{
				Name: "chat", Priority: 1.75,
				SetupObjective:    800 * time.Millisecond,
				Deadline:          4 * time.Second,
				MessageObjective:  60 * time.Millisecond,
				Idempotency:       choice.IdempotentByKey,
				IdempotencyScope:  choice.ScopeZone,
				IdempotencyWindow: 6 * time.Second,
			},
			{
				Name: "bulk", Priority: 0.5,
				SetupObjective:    900 * time.Millisecond,
				Deadline:          5 * time.Second,
				MessageObjective:  70 * time.Millisecond,
				Idempotency:       choice.NotIdempotent,
				IdempotencyScope:  choice.ScopeCell,
				IdempotencyWindow: 7 * time.Second,
			},
		},
		Tenants:       []choice.Tenant{{Name: "acme", Rate: 10, Connections: 33, Share: 0.75}},
		GroupAffinity: true, PacketPassThrough: true, Park: 400 * time.Millisecond, Subscribe: true,
		Reports: choice.AllReports,
		ReportFields: []choice.ReportField{
			choice.Latency, choice.Utilization, choice.Load, choice.Backlog, choice.InFlight, choice.Queue,
			choice.Throughput, choice.ErrorRate, choice.OtherField,
		},
		Sizes: choice.LiveSize, DelaysObserved: true, OverQuotaPriority: 0.05, PriorityPerWork: true,
		RoundTrip: 5 * time.Millisecond,
		Limits: choice.Limits{
			MaxAttempts: 5, HealthChecks: true, Cancellation: true, PeerMessages: true, HedgedRequests: true,
			RetryAfter: true, MaxRetryAfter: 2500 * time.Millisecond, ConnectTimeout: 1500 * time.Millisecond,
		},
		Rules: choice.Rules{
			AnswerSlack: 20 * time.Millisecond, MaxPollInterval: 10 * time.Second, DrainGrace: 3 * time.Second,
			SlowStartFraction: 0.14, WarmUp: 24 * time.Second, OverloadMultiple: 4.5, OverloadTime: 2 * time.Second,
		},
		Costs: choice.Costs{
			HealthCheck: 0.002, Migration: 0.006, PeerMessage: 0.007, CrossZone: 0.003, LateFailure: 0.004,
			Waste: 0.008,
		},
	}
}

// goldenNode returns the node that testdata/config.json configures.
func goldenNode() Node {
	return Node{
		Name: "node-1", Listen: "127.0.0.1:3001", Discovery: "127.0.0.1:8501", ManagementAddr: "127.0.0.1:9001",
		Seed: 0x1f, Sockets: 385, MemoryMB: 65,
		PeerListen: "127.0.0.1:7001",
		Peers: []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:7002"),
			netip.MustParseAddrPort("127.0.0.1:7003"),
			netip.MustParseAddrPort("127.0.0.1:7004"),
		},
		Settings: simwire.Settings{
			Settings:     goldenSettings(),
			ClassByName:  map[string]int{"chat": 0, "bulk": 1},
			TenantByName: map[string]int{"acme": 0},
			ReportFields: []string{
				"recent_ms", "utilization", "x0", "x1", "outstanding", "backlog", "throughput", "errors_per_s", "other",
			},
		},
	}
}

// TestGoldenNode checks the meaning of each key of a node's config.json, and that the GW_* variables override keys.
func TestGoldenNode(t *testing.T) {
	path := filepath.Join("testdata", "config.json")
	environment := map[string]string{"GW_CONFIG": path}
	getenv := func(name string) string { return environment[name] }
	got, err := ReadNode(getenv)
	if err != nil {
		t.Fatal(err)
	}
	servers, err := got.KnownServers.ServerEntries()
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "servers", servers, []edge.ServerEntry{{Addr: "127.0.0.1:9101", Server: choice.Server{
		ID: "s-1", Zone: "zone-b", Kind: "m5", Cell: 3, State: choice.Draining, Size: 1.25,
		Started: 1700000000123 * time.Millisecond,
	}}})
	if got.KnownServers.Version != 12 || !got.KnownServers.Full {
		t.Errorf("known list: got version %d and full %v, want 12 and true",
			got.KnownServers.Version, got.KnownServers.Full)
	}
	got.KnownServers = nil
	requireIncomplete(t, &got)
	want := goldenNode()
	requireEqual(t, "Node", got, want)
	requireEqual(t, "Settings", got.Settings.Settings, want.Settings.Settings)

	environment["GW_NAME"] = "node-2"
	environment["GW_LISTEN"] = "127.0.0.1:3002"
	environment["GW_DISCOVERY"] = "127.0.0.1:8502"
	environment["GW_MGMT"] = "127.0.0.1:9002"
	if got, err = ReadNode(getenv); err != nil {
		t.Fatal(err)
	}
	want.Name, want.Listen, want.Discovery, want.ManagementAddr =
		"node-2", "127.0.0.1:3002", "127.0.0.1:8502", "127.0.0.1:9002"
	got.KnownServers = nil
	requireIncomplete(t, &got)
	requireEqual(t, "Node by variables", got, want)
}

// requireIncomplete checks that testdata/config.json, which has only the keys that nodes use, lacks a key for a reload.
// It then removes the error from the node, because goldenNode has none.
func requireIncomplete(t *testing.T, node *Node) {
	t.Helper()
	var keyError *KeyError
	if !errors.As(node.Incomplete, &keyError) || keyError.Key != "settings.clients" {
		t.Errorf("Incomplete: got %v, want a KeyError of settings.clients", node.Incomplete)
	}
	node.Incomplete = nil
}

// goldenOperator returns the content of testdata/operator.toml.
func goldenOperator() Operator {
	const second = Duration(time.Second)
	return Operator{
		Limits: Limits{
			Connections: 4097, StanzaBytes: 262145, EarlyBytes: 65537, Resumable: 10001,
			HeaderTime: 9 * second / 4, HandshakeTimeout: 11 * second,
		},
		Listeners: []Listener{
			{Addr: "127.0.0.1:5222", Protocol: "xmpp", TLS: "starttls"},
			{Addr: "127.0.0.1:5443", Protocol: "xmpp-websocket", TLS: "direct"},
		},
		Domains: []Domain{{
			Name: "chat.example.org", Cluster: "visits", Class: "visit",
			StreamLimits: StreamLimits{Streams: 31, Unauthenticated: 32, Rate: 33.5, Burst: 34},
		}},
		Classes: []Class{{Name: "visit", SetupObjective: 17 * second / 8, Deadline: 21 * second, Priority: 1.5}},
		Clusters: []Cluster{
			{
				Name: "visits", Zone: "zone-1", Sessions: 1001, Nodes: 2, Attempts: 3,
				ConnectTimeout: 7 * second / 4, DrainGrace: 11 * second / 4, DrainPeriod: 12 * second,
				SlowStartFraction: 0.16, WarmUp: 31 * second, OverloadMultiple: 4.25, OverloadTime: 33 * second / 16,
				Servers: []StaticServer{{
					ID: "visits-1", Addr: "127.0.0.1:15222", Zone: "zone-2", Kind: "m6", Weight: 1.25,
					State: "draining", Started: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
				}},
			},
			{
				Name: "others", Zone: "zone-3", Discovery: "127.0.0.1:8502", Sessions: 1002, Nodes: 4, Attempts: 2,
				ConnectTimeout: 3 * second / 2, DrainGrace: 5 * second / 2, DrainPeriod: 13 * second,
				SlowStartFraction: 0.17, WarmUp: 32 * second, OverloadMultiple: 4.5, OverloadTime: 65 * second / 32,
			},
		},
		Capture: Capture{
			Path: "captured/load", FileMB: 65, Files: 9, Fraction: 0.5, Key: "0123456789abcdefg", Queue: 8193,
		},
		Fleet: &Fleet{
			Self: "node-b", Listen: "127.0.0.1:7101", Nodes: "nodes.toml", KeyFile: "fleet.key", Dir: "state",
			Cluster: "visits", RetryAfter: 5 * second / 4, PolicyLevel: 1,
		},
		Peers: Peers{
			PrefixBits4: 24, PrefixBits6: 56, MaxPeers: 65535, Deny: "deny.txt", Allow: "allow.txt",
			StreamLimits: StreamLimits{Streams: 21, Unauthenticated: 22, Rate: 23.5, Burst: 24},
		},
		Certificates:      []Certificate{{Cert: "cert.pem", Key: "key.pem"}},
		ClientAuthorities: "authorities.pem",
	}
}

// operatorFiles writes the files that testdata/operator.toml names to a temporary directory, and makes it the working
// directory.
func operatorFiles(t *testing.T) {
	t.Helper()
	nodes, err := os.ReadFile(filepath.Join("testdata", "nodes.toml"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key := transcript.WriteCertificate(t, dir, time.Now().Add(time.Hour), "chat.example.org")
	t.Chdir(dir)
	write := func(name string, text []byte) {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, path := range map[string]string{"cert.pem": cert, "authorities.pem": cert, "key.pem": key} {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		write(name, raw)
	}
	write("deny.txt", []byte("10.0.0.0/8\n"))
	write("allow.txt", []byte("10.1.0.0/16\n"))
	write("fleet.key", []byte(strings.Repeat("k", minFleetKeyBytes)+"\n"))
	_, withoutPolicy, ok := bytes.Cut(nodes, []byte("[plan]"))
	if !ok {
		t.Fatal("testdata/nodes.toml has no [plan]")
	}
	write("nodes.toml", append([]byte("[plan]"), withoutPolicy...)) // with a policy on its log, a fleet has no cluster
}

// TestGoldenOperator checks the meaning of each key of an operator's file, and the form in which the converter of nginx
// configurations encodes one.
func TestGoldenOperator(t *testing.T) {
	path, err := filepath.Abs(filepath.Join("testdata", "operator.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want := goldenOperator()
	encoded := encode(t, want)
	requireSet(t, "Operator", reflect.ValueOf(want))
	if form := golden(t, "operator_encoded.toml", encoded); !bytes.Equal(encoded, form) {
		t.Errorf("encode: got\n%s\nwant\n%s", encoded, form)
	}
	operatorFiles(t)
	got, err := ReadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	if got.Keys == nil || got.Networks == nil || got.Fleet.List == nil {
		t.Errorf("ReadOperator: got %+v, want keys, networks and a list of nodes from the named files", got)
	}
	if key := string(got.Fleet.Secret); key != strings.Repeat("k", minFleetKeyBytes) {
		t.Errorf("key of the fleet: got %q, want the text of the file", key)
	}
	list := got.Fleet.List
	got.Keys, got.Networks, got.Fleet.List, got.Fleet.Secret = nil, nil, nil, nil
	requireEqual(t, "Operator", got, want)
	requireEqual(t, "Fleet", *got.Fleet, *want.Fleet)
	if list.Addrs[list.List.Index("node-b")] != "127.0.0.1:7101" {
		t.Errorf("addresses by number: got %v, want 127.0.0.1:7101 for node-b", list.Addrs)
	}
}

// TestGoldenDefaultValues checks the default values of keys that a file omits.
func TestGoldenDefaultValues(t *testing.T) {
	operator := Operator{
		Listeners: []Listener{{Addr: "127.0.0.1:1", Protocol: "xmpp"}},
		Domains:   []Domain{{Name: "d", Cluster: "c"}},
		Clusters:  []Cluster{{Name: "c", Servers: []StaticServer{{Addr: "127.0.0.1:2"}}}},
		Capture:   Capture{Path: "p", Key: "0123456789abcdef"},
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, encode(t, operator), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := ReadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	encoded := encode(t, got)
	if want := golden(t, "operator_usual.toml", encoded); !bytes.Equal(encoded, want) {
		t.Errorf("ReadOperator of a minimal file: got\n%s\nwant\n%s", encoded, want)
	}

	list := &FleetList{
		Policy:   &FleetPolicy{},
		NodeList: []FleetNode{{Name: "n", Addr: "127.0.0.1:1", Zone: "z", Voter: true}},
	}
	if err := os.WriteFile(path, encode(t, list), 0o600); err != nil {
		t.Fatal(err)
	}
	if list, err = ReadFleetList(path); err != nil {
		t.Fatal(err)
	}
	const second = Duration(time.Second)
	requireEqual(t, "Plan", list.Plan, FleetPlan{
		UtilizationLimit: 0.85, GrantLifetime: 30 * second, RecoveryDelay: 4 * second, RecoveryRamp: 0.2,
	})
	requireEqual(t, "Policy", *list.Policy, FleetPolicy{Window: 5 * second, AnswerTimeout: 10 * second})

	const minimal = "[[class]]\nname = \"a\"\naim = \"1s\"\npatience = \"2s\"\n[plan]\n"
	document, err := ReadPolicy("p", []byte(minimal), 0)
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "Document", *document, policy.Document{
		Attempts: 4, RetryAfter: time.Second,
		Classes:  []policy.Class{{Name: "a", SetupObjective: time.Second, Deadline: 2 * time.Second, Priority: 1}},
		Failover: &policy.FailoverRules{UtilizationLimit: 0.85, RecoveryRamp: 0.2, RecoveryDelay: 4 * time.Second},
	})
}

// goldenFleetList returns the content of testdata/nodes.toml.
func goldenFleetList() FleetList {
	const second = Duration(time.Second)
	return FleetList{
		NodeList: []FleetNode{
			{Name: "node-b", Addr: "127.0.0.1:7101", Zone: "zone-1", Region: "region-1", Voter: true},
			{Name: "node-a", Addr: "127.0.0.1:7102", Zone: "zone-2", Region: "region-2"},
		},
		Plan: FleetPlan{
			UtilizationLimit: 0.8, GrantLifetime: 31 * second, RecoveryDelay: 5 * second, RecoveryRamp: 0.25,
			RegionalClasses: []string{"visit", "bulk"},
		},
		RegionDistances: []RegionDistance{{Between: []string{"region-1", "region-2"}, Cost: 2.5}},
		Policy:          &FleetPolicy{Window: 6 * second, AnswerTimeout: 11 * second},
	}
}

// TestGoldenFleetList checks the meaning of each key of the list of nodes.
func TestGoldenFleetList(t *testing.T) {
	got, err := ReadFleetList(filepath.Join("testdata", "nodes.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want := goldenFleetList()
	requireSet(t, "FleetList", reflect.ValueOf(want))
	encoded := encode(t, want)
	if form := golden(t, "nodes_encoded.toml", encoded); !bytes.Equal(encoded, form) {
		t.Errorf("encode: got\n%s\nwant\n%s", encoded, form)
	}
	requireEqual(t, "rules of changes", got.Policy.Rules(),
		policy.Rules{Window: 6 * time.Second, AnswerTimeout: 11 * time.Second})
	rules := got.Rules()
	for pair, cost := range map[[2]string]float64{
		{"region-1", "region-2"}: 2.5, {"region-2", "region-1"}: 2.5, {"region-1", "other"}: 1,
	} {
		if got := rules.RegionDistance(pair[0], pair[1]); got != cost {
			t.Errorf("RegionDistance between %v: got %v, want %v", pair, got, cost)
		}
	}
	rules.RegionDistance = nil
	requireEqual(t, "rules of plans", rules, failover.Rules{
		UtilizationLimit: 0.8, GrantLifetime: 31 * time.Second, RecoveryDelay: 5 * time.Second, RecoveryRamp: 0.25,
	})
	for number, node := range []membership.Node{
		{Name: "node-a", Zone: "zone-2", Region: "region-2"},
		{Name: "node-b", Zone: "zone-1", Region: "region-1", Voter: true},
	} {
		requireEqual(t, "node of the list", got.List.Node(number), node)
	}
	requireEqual(t, "addresses by number", got.Addrs, []string{"127.0.0.1:7102", "127.0.0.1:7101"})
	got.List, got.Addrs = nil, nil
	requireEqual(t, "FleetList", *got, want)
}

// goldenDocument returns the policy document in testdata/policy.toml.
func goldenDocument() policy.Document {
	return policy.Document{
		Attempts: 3, RetryAfter: 2 * time.Second, OverQuotaPriority: 0.1,
		Classes: []policy.Class{
			{
				Name: "gold", Priority: 2.5, ServedByBase: true,
				SetupObjective:   500 * time.Millisecond,
				Deadline:         3 * time.Second,
				MessageObjective: 60 * time.Millisecond,
			},
			{
				Name: "plain", Priority: 1.5,
				SetupObjective:   800 * time.Millisecond,
				Deadline:         4 * time.Second,
				MessageObjective: 70 * time.Millisecond,
			},
		},
		Tenants:      []policy.Tenant{{Name: "acme", Connections: 40, Rate: 12.5}},
		Base:         policy.BasePolicy{Attempts: 1, Deadline: 2500 * time.Millisecond},
		Requirements: policy.Requirements{Descriptors: 512, MemoryMB: 64},
		Failover: &policy.FailoverRules{
			UtilizationLimit: 0.75, RecoveryRamp: 0.25, RecoveryDelay: 5 * time.Second,
			RegionalClasses: []string{"plain"},
			RegionDistances: []policy.RegionDistance{{A: "region-1", B: "region-2", Cost: 2}},
		},
	}
}

// TestGoldenPolicy checks the meaning of each key of a policy document.
func TestGoldenPolicy(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "policy.toml"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadPolicy("policy", text, 0)
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, "Document", *got, goldenDocument())
	source := &policyFile{}
	if file := tomlfile.Decode("policy", text, source); file.HasFaults() {
		t.Fatal(file.Err())
	}
	requireSet(t, "policyFile", reflect.ValueOf(*source))
	encoded := encode(t, source)
	if form := golden(t, "policy_encoded.toml", encoded); !bytes.Equal(encoded, form) {
		t.Errorf("encode: got\n%s\nwant\n%s", encoded, form)
	}
}
