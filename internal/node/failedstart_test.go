package node

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
	"spurwinch/internal/operations/hotrestart"
)

// kernelWithoutWatches is a kernel that fails to watch any descriptor.
type kernelWithoutWatches struct{ loop.Linux }

func (kernelWithoutWatches) Watch(*netpoll.Poller, int, int, int) error { return unix.ENOMEM }

// TestFailedStartReturnsGrant starts processes that receive a grant from a running process and then fail. The running
// process must get back everything that it granted, and must grant the same to the next attempt.
func TestFailedStartReturnsGrant(t *testing.T) {
	player := &transcript.Player{Values: map[string]string{}}
	discovery := player.Listen(t, "d")
	listen := transcript.FreeAddr(t) // chosen after all listeners that let the system choose their port
	path := writeTemp(t, "config.json", `{"name":"n1","listen":"`+listen+`","discovery":"`+discovery+
		`","seed":"1","limits":{"sockets":1024},"settings":`+strings.Replace(settings, "REPORTS", "off", 1)+`}`)
	dir := filepath.Dir(path)
	env := func(name string) string { return map[string]string{"GW_CONFIG": path, "TMPDIR": dir}[name] }
	startOn := func(kernel loop.Kernel) (*loop.Loop, *Program, error) {
		eventLoop, err := loop.NewWithKernel(kernel)
		if err != nil {
			t.Fatal(err)
		}
		program, err := New(eventLoop, env, "", nil)
		return eventLoop, program, err
	}
	eventLoop, running, err := startOn(loop.Linux{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(eventLoop.Close)
	start(t, eventLoop)
	grantedQuota := func() (quota int) {
		runOn(eventLoop, func() { quota = running.restart.coordinator.GrantedQuota() })
		return quota
	}
	for range 6 {
		failing, _, err := startOn(kernelWithoutWatches{})
		if !loop.IsTransient(err) {
			t.Fatalf("New without watches: got error %v, want a transient error", err)
		}
		failing.Close()
	}
	transcript.WaitFor(t, "the running process has the quota of its grant back", func() bool {
		return grantedQuota() == 0
	})
	_, err = hotrestart.RequestGrant(hotrestart.Path(dir, listen), time.Now().Add(grantTimeout))
	if err != nil {
		t.Error("RequestGrant after failed starts: want a grant, got error ", err)
	}
}
