package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

// program is the built program, started as the platform starts it.
type program struct {
	cmd  *exec.Cmd
	addr string // of the first front
	door string // the operators'; empty: none was set
	done chan error
}

func build(t testing.TB) string {
	bin := filepath.Join(t.TempDir(), "spurwinch")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// buildAsDeployed builds the program as deploy/balancer.toml does: dynamically, against the C library.
func buildAsDeployed(t testing.TB) string {
	bin := filepath.Join(t.TempDir(), "spurwinch")
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", bin, ".")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

// launch starts the program and waits for the line that names its address.
func launch(t testing.TB, bin string, env []string, args ...string) *program {
	p := &program{cmd: exec.Command(bin, args...), done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), env...)
	log, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	lines := make(chan string, 8)
	go func() {
		for s := bufio.NewScanner(log); s.Scan(); {
			if strings.Contains(s.Text(), "listening") {
				lines <- s.Text()
			}
		}
		p.done <- p.cmd.Wait()
	}()
	doors := strings.Contains(strings.Join(env, " "), "GW_MGMT=")
	for p.addr == "" || doors && p.door == "" {
		select {
		case line := <-lines:
			_, at, _ := strings.Cut(line, `"address": "`)
			if at = strings.TrimRight(at, `"}`); strings.Contains(line, `"operators"`) {
				p.door = at
			} else if p.addr == "" {
				p.addr = at
			}
		case err := <-p.done:
			t.Fatal("the program ended: ", err)
		case <-time.After(30 * time.Second):
			t.Fatal("the program does not listen")
		}
	}
	return p
}

// ends waits for the end of a planned stop, with status 0.
func (p *program) ends(t testing.TB) {
	t.Helper()
	select {
	case err := <-p.done:
		if err != nil {
			t.Fatal("the program ended with ", err)
		}
	case <-time.After(60 * time.Second):
		t.Fatal("the program does not end after SIGTERM")
	}
}

// TestProgram starts the program as the platform does, has a connection served, and ends it as in a planned restart.
func TestProgram(t *testing.T) {
	bin := build(t)
	p := &transcript.Player{Values: map[string]string{}}
	host, discovery := p.Listen(t, "h1"), p.Listen(t, "d")
	path := filepath.Join(t.TempDir(), "config.json")
	config := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
	 "known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}]},
	 "settings":%s}`, discovery, host, strings.Replace(transcript.Settings, "REPORTS", "off", 1))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	run := launch(t, bin, []string{"GW_CONFIG=" + path})
	p.Addr = run.addr
	p.Do = map[string]func(){"sigterm": func() { run.cmd.Process.Signal(syscall.SIGTERM) }}
	p.Play(t, `
c open
c > PING
c < PONG
d accept d
d < GET /v1/servers?after=41&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
c > OPEN 01 01 c=chat,t=acme,d=2000
s accept h1
s < OPEN 01 01 c=chat,t=acme,d={*}
s > UP 1
c < UP 1
do sigterm
# It goes on accepting and answering.
b open
b > PING
b < PONG
c < MOVE
c < END
s < END
`)
	run.ends(t)
}

// TestReload replaces the configuration of a started program, as the platform does: the watch moves to the new address
// although GW_DISCOVERY names the old one, a bad file changes nothing, and no number of SIGHUPs keeps SIGTERM out.
func TestReload(t *testing.T) {
	bin := build(t)
	p := &transcript.Player{Values: map[string]string{}}
	host, other := p.Listen(t, "h1"), p.Listen(t, "h2")
	old, next := p.Listen(t, "d1"), p.Listen(t, "d2")
	entry := func(id, addr string) string {
		return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":0,"state":"SERVING","weight":1,"started_ms":0}`, id, addr)
	}
	p.Values["list"] = fmt.Sprintf(`{"version":3,"full":true,"servers":[%s]}`, entry("s-2", other))
	p.Values["length"] = fmt.Sprint(len(p.Values["list"]))
	path := filepath.Join(t.TempDir(), "config.json")
	var run *program
	put := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
		if run != nil {
			run.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"memory_mb":64,"sockets":384},
		 "known":{"version":41,"full":true,"servers":[%s]},"settings":%s}`, discovery, entry("s-1", host), strings.NewReplacer("REPORTS", "off", `"mayProbe":true`, `"mayProbe":false`).Replace(transcript.Settings))
	}
	put(config("127.0.0.1:9"))
	run = launch(t, bin, []string{"GW_CONFIG=" + path, "GW_DISCOVERY=" + old})
	p.Addr = run.addr
	p.Do = map[string]func(){
		"bad":  func() { put(`{"discovery":`) },
		"none": func() { put(`{"name":"n1"}`) },
		"move": func() { put(config(next)) },
		"end": func() {
			for range 20 {
				run.cmd.Process.Signal(syscall.SIGHUP)
			}
			run.cmd.Process.Signal(syscall.SIGTERM)
			run.cmd.Process.Signal(syscall.SIGHUP)
		},
	}
	p.Play(t, `
a accept d1
a < GET /v1/servers?after=41&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
c open
c > OPEN 01 01 c=chat,d=2000
s accept h1
s < OPEN 01 01 c=chat,d={*}
s > UP 1
c < UP 1
do bad
a < SILENCE
do none
a < SILENCE
do move
a < END
b accept d2
b < GET /v1/servers HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
# The known list stands until the new address has answered, and so do open connections.
e open
e > OPEN 02 01 c=chat,d=2000
f accept h1
f < OPEN 02 01 c=chat,d={*}
f > UP 2
e < UP 2
b >> HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}
b < GET /v1/servers?after=3&wait_ms={*} HTTP/1.1\r\nHost: {*}\r\nAccept: application/json\r\n
g open
g > OPEN 03 01 c=chat,d=2000
k accept h2
k < OPEN 03 01 c=chat,d={*}
k > UP 3
g < UP 3
c > still here
s < still here
do end
c < MOVE
c < END
`[1:])
	run.ends(t)
}

// TestBadStart checks that a start that can't be gives one line on standard error and a status other than 0.
func TestBadStart(t *testing.T) {
	bin := build(t)
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	ok := `"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1"`
	for _, c := range []struct {
		name, want string
		env        []string
		args       []string
	}{
		{"nothing", "GW_CONFIG is not set", nil, nil},
		{"no file", "no such file", []string{"GW_CONFIG=" + dir + "/none"}, nil},
		{"no JSON", "invalid character", []string{"GW_CONFIG=" + file("a", "listen: x")}, nil},
		{"no address", "is not IP:PORT", []string{"GW_CONFIG=" + file("b", `{"listen":"here"}`)}, nil},
		{"no settings", "settings", []string{"GW_CONFIG=" + file("c", "{"+ok+"}")}, nil},
		{"no class", "az is missing", []string{"GW_CONFIG=" + file("d", "{"+ok+`,"settings":{}}`)}, nil},
		{"bad state", "known: entry", []string{"GW_CONFIG=" + file("e", "{"+ok+`,"settings":`+strings.Replace(transcript.Settings, "REPORTS", "off", 1)+`,"known":{"servers":[{"id":"x","state":"?"}]}}`)}, nil},
		{"taken address", "listen", []string{"GW_CONFIG=" + file("f", `{"listen":"`+taken.Addr().String()+`","discovery":"127.0.0.1:9","settings":`+strings.Replace(transcript.Settings, "REPORTS", "off", 1)+"}")}, nil},
		{"unknown flag", "not defined", nil, []string{"-x"}},
		{"unknown command", "unknown command", nil, []string{"serve"}},
		{"operator: no TOML", "toml", nil, []string{"-operator", file("g", "= 3")}},
		{"operator: unknown key", "unknown key", nil, []string{"-operator", file("h", "limit = 3")}},
		{"operator: no listener", "no [[listener]]", nil, []string{"-operator", file("i", "")}},
		{"importer that is not there", "spurwinchctl is to go on here", nil, []string{"import-nginx", file("j", "http {")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cmd := exec.Command(bin, c.args...)
			cmd.Env = c.env
			var out strings.Builder
			cmd.Stderr = &out
			err := cmd.Run()
			if _, failed := err.(*exec.ExitError); !failed {
				t.Errorf("ended with %v", err)
			}
			if strings.Count(out.String(), "\n") != 1 || !strings.Contains(out.String(), c.want) {
				t.Errorf("standard error: %q, want one line with %q", out.String(), c.want)
			}
		})
	}
}

// TestOperatorFile starts the program with the file in deploy/, on a free port, and re-reads it.
func TestOperatorFile(t *testing.T) {
	bin := build(t)
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	p := &transcript.Player{Values: map[string]string{"ns": "xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'"}}
	text := strings.Replace(string(raw), "127.0.0.1:5222", "127.0.0.1:0", 1)
	text = strings.Replace(text, "127.0.0.1:15222", p.Listen(t, "h1"), 1)
	text = strings.Replace(text, "127.0.0.1:15223", p.Listen(t, "h2"), 1)
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	run := launch(t, bin, nil, "-operator", path)
	p.Addr = run.addr
	p.Do = map[string]func(){"drain": func() {
		text = strings.Replace(text, `id = "visits-2"`, "id = \"visits-2\"\nstate = \"draining\"", 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
		run.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
	}}
	open := `
C open
C >> <stream:stream to='chat.example.org' version='1.0' {ns}>
S accept HOST
S << <stream:stream to='chat.example.org' version='1.0' {ns}>
`
	script := strings.NewReplacer("C", "c0", "S", "s0", "HOST", "*").Replace(open) + "do drain\n"
	for i := range 6 { // all go to the one that's left
		script += strings.NewReplacer("C", fmt.Sprint("c", i+1), "S", fmt.Sprint("s", i+1), "HOST", "h1").Replace(open)
	}
	p.Play(t, script)
}
