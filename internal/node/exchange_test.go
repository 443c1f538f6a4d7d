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
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/cluster"
	"spurwinch/internal/simwire"
)

const settings = transcript.Settings

// operate sets up what an operator's file names.
func operate(l *loop.Loop, path string, seed uint64) ([]*edge.Core, *operatorFronts, error) {
	o, err := config.ReadOperator(path)
	if err != nil {
		return nil, nil, err
	}
	program := newProgram(l)
	fronts, err := newOperatorFronts(program, path, o, seed)
	return program.cores, fronts, err
}

// start runs a loop until the test ends.
func start(t *testing.T, l *loop.Loop) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
	})
}

// hosts opens the listeners that the exchange names in its first line, "hosts: h1 h2".
func hosts(t *testing.T, p *transcript.Player, text string) (names []string) {
	first, _, _ := strings.Cut(text, "\n")
	list, ok := strings.CutPrefix(first, "# hosts:")
	if !ok {
		t.Fatal("the first line is not '# hosts: ...'")
	}
	for _, n := range strings.Fields(list) {
		if n == "reports" || n == "notready" {
			continue
		}
		names = append(names, n)
		p.Values[n] = p.Listen(t, n)
	}
	return names
}

func each(t *testing.T, dir string, fn func(t *testing.T, text string)) {
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("no exchanges", err)
	}
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			fn(t, string(raw))
		})
	}
}

// TestPlatform plays the exchanges of the platform's protocol: clients, hosts and discovery.
func TestPlatform(t *testing.T) {
	each(t, "platform", func(t *testing.T, text string) {
		p := &transcript.Player{Values: map[string]string{"long": strings.Repeat("x", 5000),
			"hundreds": strings.Repeat(`OPEN 01 01 c=chat,d=2000\r\n`, 300)}}
		l, err := loop.New()
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := strings.Cut(text, "\n")
		via := "off"
		if strings.Contains(first, " reports") {
			via = "on_probe"
		}
		n := config.Node{Listen: "127.0.0.1:0", Seed: 1, Known: &cluster.List{}}
		if n.Settings, err = simwire.DecodeSettings([]byte(strings.Replace(settings, "REPORTS", via, 1))); err != nil {
			t.Fatal(err)
		}
		var entries []string
		for _, h := range hosts(t, p, text) {
			e := fmt.Sprintf(`{"id":"s-%s","addr":"%s","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}`, h, p.Values[h])
			p.Values["entry-"+h] = e
			entries = append(entries, e)
		}
		n.Discovery = p.Listen(t, "d")
		p.Values["d"] = n.Discovery
		if !strings.Contains(first, " notready") {
			if n.Known, err = cluster.Parse([]byte(`{"version":7,"full":true,"servers":[` + strings.Join(entries, ",") + `]}`)); err != nil {
				t.Fatal(err)
			}
		}
		program := newProgram(l)
		node, at, err := program.newPlatform(n, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := program.listenAdmin("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "config.json")
		program.reloaders = append(program.reloaders, program.platformReloader(node, path))
		reload := func(change ...string) func() {
			return func() {
				text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"sockets":512},"settings":%s}`, n.Discovery,
					strings.NewReplacer(append(change, "REPORTS", via)...).Replace(settings))
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Error(err)
				}
				l.Post(program.Reload)
				time.Sleep(100 * time.Millisecond)
			}
		}
		p.Addr, p.Values["door"] = at.String(), program.adminAddr.String()
		p.Do = map[string]func(){
			"wait":    func() { time.Sleep(400 * time.Millisecond) },
			"long":    func() { time.Sleep(5 * time.Second) },
			"trade":   reload(`"name":"chat"`, `"name":"trade"`, `"safe"`, `"unsafe"`, `"sendCap":4`, `"sendCap":2`),
			"chat":    reload(),
			"broken":  reload(`"giveUpS":4`, `"giveUpS":0`),
			"sigterm": func() { l.Post(program.Shutdown) },
		}
		program.shutdownTime = time.Minute // a process that ends by itself is not what is played
		start(t, l)
		p.Play(t, text)
	})
}

// TestXMPP plays the exchanges of XMPP clients and servers.
func TestXMPP(t *testing.T) {
	each(t, "xmpp", func(t *testing.T, text string) {
		p := &transcript.Player{Values: map[string]string{"ns": "xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'", "big": strings.Repeat("x", 10001)}}
		path := filepath.Join(t.TempDir(), "operator.toml")
		names := hosts(t, p, text)
		write := func(state func(string) string) {
			var b strings.Builder
			b.WriteString("[limits]\nstanza_bytes = 10000\nheader_time = \"1s\"\n[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n" +
				"[[class]]\nname = \"c\"\npatience = \"5s\"\n[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n" +
				"[[cluster]]\nname = \"k\"\nleave = \"400ms\"\ndrain_grace = \"1s\"\n")
			for _, h := range names {
				p.Values["entry-"+h] = fmt.Sprintf(`{"id":"s-%s","addr":"%s","zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}`, h, p.Values[h])
				if names[0] == "d" { // discovery tells the hosts
					if h == "d" {
						fmt.Fprintf(&b, "discovery = %q\n", p.Values[h])
					}
					continue
				}
				fmt.Fprintf(&b, "[[cluster.host]]\nid = %q\naddr = %q\nstate = %q\n", h, p.Values[h], state(h))
			}
			if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		write(func(string) string { return "serving" })
		l, err := loop.New()
		if err != nil {
			t.Fatal(err)
		}
		cores, op, err := operate(l, path, 1)
		if err != nil {
			t.Fatal(err)
		}
		p.Addr = op.addrs[0].String()
		p.Do = map[string]func(){
			"sigterm": func() {
				l.Post(func() { all(cores, func(c *edge.Core) { c.Drain(func() {}) }) })
			},
			"drain": func() {
				write(func(string) string { return "draining" })
				l.Post(func() { reread(t, op) })
			},
			"wait": func() { time.Sleep(1200 * time.Millisecond) },
		}
		start(t, l)
		p.Play(t, text)
		// Each session has one final answer, or its client left.
		checked := make(chan string, 1)
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			l.Post(func() {
				a := op.xmpp.Answers
				if a.Sessions != a.Established+a.Errors+a.Left {
					checked <- fmt.Sprintf("%+v", a)
					return
				}
				checked <- ""
			})
			bad := <-checked
			if bad == "" {
				return
			}
			if time.Now().After(end) {
				t.Fatal("not one answer a session: ", bad)
			}
		}
	})
}

func reread(t *testing.T, op *operatorFronts) {
	take, err := op.readFile()
	if err != nil {
		t.Error(err)
		return
	}
	take()
}

func all(cores []*edge.Core, fn func(*edge.Core)) {
	for _, c := range cores {
		fn(c)
	}
}
