package node

import (
	"os"
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

// unwatching is a kernel that takes no descriptor to be watched.
type unwatching struct{ loop.Linux }

func (unwatching) Watch(*netpoll.Poller, int, int, int) error { return unix.ENOMEM }

// TestFailedStartGivesBack has a process start beside a running one, get what that one lends, and fail: the running one has all of it back, and
// the next try finds it as the first did.
func TestFailedStartGivesBack(t *testing.T) {
	dir := t.TempDir()
	player := &transcript.Player{Values: map[string]string{}}
	discovery, listen := player.Listen(t, "d"), transcript.FreeAddr(t)
	config := `{"name":"n1","listen":"` + listen + `","discovery":"` + discovery + `","seed":"1","limits":{"sockets":1024},"settings":` +
		strings.Replace(settings, "REPORTS", "off", 1) + `}`
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	env := func(name string) string { return map[string]string{"GW_CONFIG": path, "TMPDIR": dir}[name] }
	begin := func(k loop.Kernel) (*loop.Loop, *Program, error) {
		l, err := loop.NewOn(k)
		if err != nil {
			t.Fatal(err)
		}
		p, err := New(l, env, "", nil)
		return l, p, err
	}
	l, running, err := begin(loop.Linux{})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run()
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
		l.Close()
	})
	others := func() (n int) {
		ran := make(chan struct{})
		l.Post(func() { n = running.restart.coordinator.GrantedQuota(); close(ran) })
		<-ran
		return n
	}
	for range 6 {
		l, _, err := begin(unwatching{})
		if !loop.IsTransient(err) {
			t.Fatalf("the start that was to fail: %v", err)
		}
		l.Close()
	}
	transcript.Until(t, "the running process has back what it has lent", func() bool { return others() == 0 })
	if _, err := hotrestart.RequestGrant(hotrestart.Path(dir, listen), time.Now().Add(grantTimeout)); err != nil {
		t.Error("it lends no more: ", err)
	}
}
