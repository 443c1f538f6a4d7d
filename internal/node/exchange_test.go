package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurwinch/internal/config"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/platform/discovery"
)

// listenAll opens the listeners that the exchange names in its first line, for example "# hosts: h1 h2".
func listenAll(t *testing.T, player *transcript.Player, text string) (names []string) {
	t.Helper()
	first, _, _ := strings.Cut(text, "\n")
	list, ok := strings.CutPrefix(first, "# hosts:")
	if !ok {
		t.Fatal("first line of the exchange must begin with '# hosts:'")
	}
	for _, name := range strings.Fields(list) {
		if name == "reports" || name == "notready" {
			continue
		}
		names = append(names, name)
		player.Values[name] = player.Listen(t, name)
	}
	return names
}

// eachExchange plays each exchange of a directory in testdata as a subtest.
func eachExchange(t *testing.T, dir string, play func(t *testing.T, text string)) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("list exchanges: got none or an error, want at least one file: ", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			play(t, string(raw))
		})
	}
}

// TestPlatformExchanges plays the exchanges of the platform's protocol with clients, servers and discovery.
func TestPlatformExchanges(t *testing.T) {
	eachExchange(t, "platform", playPlatform)
}

func playPlatform(t *testing.T, text string) {
	t.Helper()
	player := &transcript.Player{Values: map[string]string{
		"long":     strings.Repeat("x", 5000),
		"hundreds": strings.Repeat(`OPEN 01 01 c=chat,d=2000\r\n`, 300),
	}}
	eventLoop := newLoop(t)
	first, _, _ := strings.Cut(text, "\n")
	reports := "off"
	if strings.Contains(first, " reports") {
		reports = "on_probe"
	}
	node := config.Node{Listen: "127.0.0.1:0", Seed: 1, KnownServers: &discovery.List{}}
	node.Settings = decodeSettings(t, "REPORTS", reports)
	var entries []string
	for _, name := range listenAll(t, player, text) {
		entry := serverEntry("s-"+name, player.Values[name], "SERVING")
		player.Values["entry-"+name] = entry
		entries = append(entries, entry)
	}
	node.Discovery = player.Listen(t, "d")
	player.Values["d"] = node.Discovery
	if !strings.Contains(first, " notready") {
		node.KnownServers = parseList(t, 7, entries...)
	}
	program := newProgram(eventLoop)
	platform, addr, err := program.newPlatform(node, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := program.listenAdmin("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	player.Address = addr.String()
	player.Values["admin"] = program.adminAddr.String()
	player.Callbacks = platformActions(t, program, platform, reports)
	program.shutdownTime = time.Minute // the process must not end during an exchange
	start(t, eventLoop)
	player.Play(t, text)
}

// platformActions returns the actions on the node that an exchange may use, by name.
func platformActions(t *testing.T, program *Program, platform *platform, reports string) map[string]func() {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	discovery := platform.config.Discovery
	program.reloaders = append(program.reloaders, program.platformReloader(platform, path))
	reload := func(changes ...string) func() {
		return func() {
			changed := strings.NewReplacer(append(changes, "REPORTS", reports)...).Replace(settings)
			text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",`+
				`"limits":{"cores":1,"memory_mb":64,"sockets":512},"known":{"version":1,"full":true,"servers":[]},`+
				`"settings":%s}`, discovery, changed)
			writeFile(t, path, text)
			program.loop.Post(program.Reload)
			time.Sleep(100 * time.Millisecond)
		}
	}
	return map[string]func(){
		"wait":    func() { time.Sleep(400 * time.Millisecond) },
		"long":    func() { time.Sleep(5 * time.Second) },
		"trade":   reload(`"name":"chat"`, `"name":"trade"`, `"safe"`, `"unsafe"`, `"sendCap":4`, `"sendCap":2`),
		"chat":    reload(),
		"broken":  reload(`"giveUpS":4`, `"giveUpS":0`),
		"sigterm": func() { program.loop.Post(program.Shutdown) },
	}
}

// TestXMPPExchanges plays the exchanges of XMPP clients and servers.
func TestXMPPExchanges(t *testing.T) {
	eachExchange(t, "xmpp", playXMPP)
}

func playXMPP(t *testing.T, text string) {
	t.Helper()
	player := &transcript.Player{Values: map[string]string{"ns": xmppNamespaces, "big": strings.Repeat("x", 10001)}}
	names := listenAll(t, player, text)
	for _, name := range names {
		player.Values["entry-"+name] = serverEntry("s-"+name, player.Values[name], "SERVING")
	}
	path := writeTemp(t, "operator.toml", xmppFile(player, names, "serving"))
	node := newOperatorNode(t, path, 1)
	player.Address = node.addr()
	player.Callbacks = map[string]func(){
		"sigterm": func() {
			node.loop.Post(func() { drainAll(node.cores) })
		},
		"drain": func() {
			writeFile(t, path, xmppFile(player, names, "draining"))
			if err := node.reload(); err != nil {
				t.Error(err)
			}
		},
		"wait": func() { time.Sleep(1200 * time.Millisecond) },
	}
	start(t, node.loop)
	player.Play(t, text)
	checkOneAnswerEach(t, node)
}

// xmppFile returns an operator's file with all servers in one state. If the first name is "d", the file contains the
// address of that discovery instead of the servers.
func xmppFile(player *transcript.Player, names []string, state string) string {
	var file strings.Builder
	file.WriteString("[limits]\nstanza_bytes = 10000\nheader_time = \"1s\"\n" +
		"[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n" +
		"[[class]]\nname = \"c\"\npatience = \"5s\"\n[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n" +
		"[[cluster]]\nname = \"k\"\nleave = \"400ms\"\ndrain_grace = \"1s\"\n")
	if names[0] == "d" {
		fmt.Fprintf(&file, "discovery = %q\n", player.Values["d"])
		return file.String()
	}
	for _, name := range names {
		fmt.Fprintf(&file, "[[cluster.host]]\nid = %q\naddr = %q\nstate = %q\n", name, player.Values[name], state)
	}
	return file.String()
}

// checkOneAnswerEach checks that each session got exactly one final answer, unless its client left.
func checkOneAnswerEach(t *testing.T, node *operatorNode) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		mismatch := ""
		runOn(node.loop, func() {
			answers := node.fronts.xmpp.Answers
			if answers.Sessions != answers.Established+answers.Errors+answers.Abandoned {
				mismatch = fmt.Sprintf("%+v", answers)
			}
		})
		if mismatch == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatal("final answers: want one for each session, got ", mismatch)
		}
	}
}

// drainAll begins to drain all cores.
func drainAll(cores []*edge.Core) {
	for _, core := range cores {
		core.Drain(func() {})
	}
}
