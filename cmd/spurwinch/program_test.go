package main

import (
	"errors"
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

// TestConnectionUntilPlannedStop starts the program as the platform does, places a connection and stops the program as
// a planned restart does. After SIGTERM the program must still accept connections and answer health checks.
func TestConnectionUntilPlannedStop(t *testing.T) {
	program := build(t)
	player := &transcript.Player{Values: map[string]string{}}
	server := player.Listen(t, "h1")
	path := filepath.Join(t.TempDir(), "config.json")
	nodeConfig{
		discovery: player.Listen(t, "d"),
		seed:      "8c1f30d27a5be964",
		limits:    `{"cores":1,"memory_mb":192,"sockets":1024}`,
		known:     knownServers(41, serverEntry("s-1", server)),
		settings:  settings("off"),
	}.write(t, path)
	proc := start(t, program, []string{"GW_CONFIG=" + path})
	player.Address = proc.addr
	player.Callbacks = map[string]func(){"sigterm": func() { proc.signal(syscall.SIGTERM) }}
	player.Play(t, `
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
# The program still accepts connections and answers health checks.
b open
b > PING
b < PONG
c < MOVE
c < END
s < END
`)
	proc.waitForExit(t)
}

// TestFailedStartPrintsOneLine checks that a start that fails prints one line on standard error and that the status
// isn't 0.
func TestFailedStartPrintsOneLine(t *testing.T) {
	program := build(t)
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		writeFile(t, path, text)
		return path
	}
	config := func(name, text string) []string { return []string{"GW_CONFIG=" + file(name, text)} }
	operator := func(name, text string) []string { return []string{"-operator", file(name, text)} }
	occupied, err := net.Listen("tcp", freePort)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, occupied)
	required := `"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1"`
	badState := "{" + required + `,"settings":` + settings("off") + `,"known":{"servers":[{"id":"x","state":"?"}]}}`
	occupiedAddress := `{"listen":"` + occupied.Addr().String() + `","discovery":"127.0.0.1:9",` +
		`"settings":` + settings("off") + "}"
	for _, test := range []struct {
		name, want string
		env        []string
		args       []string
	}{
		{"no configuration", "GW_CONFIG is not set", nil, nil},
		{"no file", "no such file", []string{"GW_CONFIG=" + dir + "/none"}, nil},
		{"no JSON", "invalid character", config("a", "listen: x"), nil},
		{"no address", "is not IP:PORT", config("b", `{"listen":"here"}`), nil},
		{"no settings", "settings", config("c", "{"+required+"}"), nil},
		{"no class", "az is missing", config("d", "{"+required+`,"settings":{}}`), nil},
		{"bad state", "known: entry", config("e", badState), nil},
		{"address in use", "listen", config("f", occupiedAddress), nil},
		{"unknown flag", "not defined", nil, []string{"-x"}},
		{"unknown command", "unknown command", nil, []string{"serve"}},
		{"operator: no TOML", "toml", nil, operator("g", "= 3")},
		{"operator: unknown key", "unknown key", nil, operator("h", "limit = 3")},
		{"operator: no listener", "no [[listener]]", nil, operator("i", "")},
		{
			"importer without spurwinchctl", "spurwinchctl in place of this program", nil,
			[]string{"import-nginx", file("j", "http {")},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			command := exec.Command(program, test.args...)
			command.Env = test.env
			var out strings.Builder
			command.Stderr = &out
			err := command.Run()
			var exit *exec.ExitError
			if !errors.As(err, &exit) {
				t.Errorf("Run: got error %v, want an exit status other than 0", err)
			}
			if strings.Count(out.String(), "\n") != 1 || !strings.Contains(out.String(), test.want) {
				t.Errorf("standard error: got %q, want one line with %q", out.String(), test.want)
			}
		})
	}
}

// TestOperatorFile starts the program with deploy/operator.toml, on a free port. It then drains a server in the file
// and reloads the file.
func TestOperatorFile(t *testing.T) {
	program := build(t)
	content, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	player := &transcript.Player{Values: map[string]string{
		"ns": "xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'",
	}}
	text := strings.Replace(string(content), "127.0.0.1:5222", freePort, 1)
	text = strings.Replace(text, "127.0.0.1:15222", player.Listen(t, "h1"), 1)
	text = strings.Replace(text, "127.0.0.1:15223", player.Listen(t, "h2"), 1)
	path := filepath.Join(t.TempDir(), "operator.toml")
	writeFile(t, path, text)
	proc := start(t, program, nil, "-operator", path)
	player.Address = proc.addr
	player.Callbacks = map[string]func(){"drain": func() {
		text = strings.Replace(text, `id = "visits-2"`, "id = \"visits-2\"\nstate = \"draining\"", 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
		proc.signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
	}}
	const openStream = `
C open
C >> <stream:stream to='chat.example.org' version='1.0' {ns}>
S accept HOST
S << <stream:stream to='chat.example.org' version='1.0' {ns}>
`
	script := strings.NewReplacer("C", "c0", "S", "s0", "HOST", "*").Replace(openStream) + "do drain\n"
	for i := 1; i <= 6; i++ { // all are placed on the only server that isn't draining
		names := strings.NewReplacer("C", fmt.Sprint("c", i), "S", fmt.Sprint("s", i), "HOST", "h1")
		script += names.Replace(openStream)
	}
	player.Play(t, script)
}
