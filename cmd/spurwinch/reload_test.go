package main

import (
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"spurwinch/internal/lab/transcript"
)

// reloadScript changes the address of discovery while a connection is open, so that the watch uses the new address.
const reloadScript = `a accept d1
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
# The known list and open connections are kept until the new address has answered.
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
`

// TestReload replaces the configuration of a running program, as the platform does. The watch must use the new address
// although GW_DISCOVERY holds the old one, an invalid file must change nothing, and SIGTERM must stop the program
// although many SIGHUPs are sent before it.
func TestReload(t *testing.T) {
	program := build(t)
	player := &transcript.Player{Values: map[string]string{}}
	server := player.Listen(t, "h1")
	otherServer := player.Listen(t, "h2")
	discovery := player.Listen(t, "d1")
	nextDiscovery := player.Listen(t, "d2")
	list := knownServers(3, serverEntry("s-2", otherServer))
	player.Values["list"] = list
	player.Values["length"] = strconv.Itoa(len(list))
	config := func(discovery string) string {
		return nodeConfig{
			discovery: discovery,
			limits:    `{"cores":1,"memory_mb":64,"sockets":384}`,
			known:     knownServers(41, serverEntry("s-1", server)),
			settings:  settings("off", `"mayProbe":true`, `"mayProbe":false`),
		}.json()
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, config("127.0.0.1:9"))
	proc := start(t, program, []string{"GW_CONFIG=" + path, "GW_DISCOVERY=" + discovery})
	reload := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Error(err)
		}
		proc.signal(syscall.SIGHUP)
	}
	player.Address = proc.addr
	player.Callbacks = map[string]func(){
		"bad":  func() { reload(`{"discovery":`) },
		"none": func() { reload(`{"name":"n1"}`) },
		"move": func() { reload(config(nextDiscovery)) },
		"end": func() {
			for range 20 {
				proc.signal(syscall.SIGHUP)
			}
			proc.signal(syscall.SIGTERM)
			proc.signal(syscall.SIGHUP)
		},
	}
	player.Play(t, reloadScript)
	proc.waitForExit(t)
}
