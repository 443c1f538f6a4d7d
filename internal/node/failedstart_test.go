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

// kernelWithoutWatches is a kernel that watches no descriptor.
type kernelWithoutWatches struct{ loop.Linux }

func (kernelWithoutWatches) Watch(*netpoll.Poller, int, int, int) error { return unix.ENOMEM }

// TestFailedStartReturnsGrant has a process start beside a running one, receive its grant, and fail: the running one
// has all of it back, and the next attempt finds it as the first did.
func TestFailedStartReturnsGrant(t *testing.T) {
	player := &transcript.Player{Values: map[string]string{}}
	discovery := player.Listen(t, "d")
	listen := transcript.FreeAddr(t) // after all listeners that get a port by themselves
	path := writeTemp(t, "config.json", `{"name":"n1","listen":"`+listen+`","discovery":"`+discovery+
		`","seed":"1","limits":{"sockets":1024},"settings":`+strings.Replace(settings, "REPORTS", "off", 1)+`}`)
	dir := filepath.Dir(path)
	env := func(name string) string { return map[string]string{"GW_CONFIG": path, "TMPDIR": dir}[name] }
	begin := func(kernel loop.Kernel) (*loop.Loop, *Program, error) {
		eventLoop, err := loop.NewOn(kernel)
		if err != nil {
			t.Fatal(err)
		}
		program, err := New(eventLoop, env, "", nil)
		return eventLoop, program, err
	}
	eventLoop, running, err := begin(loop.Linux{})
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
		failing, _, err := begin(kernelWithoutWatches{})
		if !loop.IsTransient(err) {
			t.Fatalf("the start that was to fail: %v", err)
		}
		failing.Close()
	}
	transcript.WaitFor(t, "the running process has its grant back", func() bool { return grantedQuota() == 0 })
	_, err = hotrestart.RequestGrant(hotrestart.Path(dir, listen), time.Now().Add(grantTimeout))
	if err != nil {
		t.Error("it grants no more: ", err)
	}
}
