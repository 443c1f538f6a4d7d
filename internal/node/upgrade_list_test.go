package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/lab/fakeserver"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/lab/xmppserver"
)

// listService is a discovery service that gives the whole list to nobody until a given time.
type listService struct {
	*httptest.Server

	mu      sync.Mutex
	silence time.Time // until then
	version int64
	servers []fakeserver.ListEntry
	changed chan struct{}
	stop    chan struct{}
}

func newListService(t *testing.T, servers []*xmppserver.Server) *listService {
	t.Helper()
	service := &listService{version: 1, changed: make(chan struct{}), stop: make(chan struct{})}
	for i, server := range servers {
		service.servers = append(service.servers, fakeserver.ListEntry{
			ID: fmt.Sprint("h", i), Addr: server.Addr, State: "SERVING", Weight: 1,
		})
	}
	service.Server = httptest.NewServer(http.HandlerFunc(service.serve))
	t.Cleanup(func() {
		close(service.stop)
		service.Close()
	})
	return service
}

func (s *listService) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silence, version, changed := s.silence, s.version, s.changed
	s.mu.Unlock()
	if !r.URL.Query().Has("after") { // a call for the whole list
		time.Sleep(time.Until(silence))
	}
	fakeserver.ServeList(w, r, version, changed, s.stop, func() json.RawMessage {
		s.mu.Lock()
		defer s.mu.Unlock()
		return fakeserver.EncodeList(s.version, s.servers)
	})
}

// update changes the list. Watches are answered at once.
func (s *listService) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeServer removes a server from the list.
func (s *listService) removeServer(index int) {
	s.servers = append(s.servers[:index:index], s.servers[index+1:]...)
}

// lateListTest is an upgrade whose new process gets the list of its discovery late.
type lateListTest struct {
	delay    time.Duration // of the list after the start of the first new process
	upgrades int
	// changeList changes server 0, in the list that the new process gets first or in the next one.
	changeList func(*listService)
	beforeList bool // the change is in the first list
}

// drains makes server 0 drain.
func drains(service *listService) { service.servers[0].State = "DRAINING" }

// isRemoved removes server 0 from the list.
func isRemoved(service *listService) { service.removeServer(0) }

// isRestarted gives server 0 another start time, as if its process had been replaced, and makes it drain.
func isRestarted(service *listService) {
	service.servers[0].Started = time.Now().UnixMilli()
	service.servers[0].State = "DRAINING"
}

// TestDrainNoticeAfterLateList guards against sessions that are transferred before the new process has its first list,
// and then never hear that their server leaves.
func TestDrainNoticeAfterLateList(t *testing.T) {
	for name, test := range map[string]lateListTest{
		"list at once":                {0, 1, drains, false},
		"list after 5 ms":             {5 * time.Millisecond, 1, drains, false},
		"list after 50 ms":            {50 * time.Millisecond, 1, drains, false},
		"list after 1 s":              {time.Second, 1, drains, false},
		"list after 5 s":              {5 * time.Second, 1, drains, false},
		"draining in the first list":  {time.Second, 1, drains, true},
		"not in the first list":       {time.Second, 1, isRemoved, true},
		"restarted before the list":   {time.Second, 1, isRestarted, true},
		"two upgrades before a list":  {5 * time.Second, 2, drains, false},
		"two upgrades, first list":    {5 * time.Second, 2, drains, true},
		"two upgrades, list after 1s": {time.Second, 2, drains, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.play(t)
		})
	}
}

func (l lateListTest) play(t *testing.T) {
	t.Helper()
	var service *listService
	node := newRestartedXMPPNodeWith(t, 2, func(servers []*xmppserver.Server) string {
		service = newListService(t, servers)
		return fmt.Sprintf("discovery = %q\n", strings.TrimPrefix(service.URL, "http://"))
	})
	awaitServers(t, node.current)
	atServer0 := connectToServer(t, node, "h0-", 3)
	service.mu.Lock()
	service.silence = time.Now().Add(l.delay)
	service.mu.Unlock()
	for range l.upgrades {
		node.restart()
	}
	returning := atServer0[0]
	node.checkResumes(t, returning) // also before the list: its session is at a known server
	if !l.beforeList {
		awaitVersion(t, node.current, 1)
	}
	service.update(func() { l.changeList(service) })
	deadline := time.Now().Add(l.delay + 4*time.Second)
	for _, device := range atServer0 {
		device.client.SetDeadline(deadline)
		checkEnds(t, device.user, device.client, "system-shutdown")
	}
}

// connectToServer connects devices until the given number of them have sessions whose ids have the prefix of a server.
func connectToServer(t *testing.T, node *restartedXMPPNode, prefix string, count int) (devices []*upgradeDevice) {
	t.Helper()
	for number := 0; len(devices) < count; number++ {
		device := &upgradeDevice{user: fmt.Sprint("u", number), listener: cleartext, method: xmppserver.LoginPlain}
		node.connect(t, device)
		if strings.HasPrefix(device.client.ID, prefix) {
			devices = append(devices, device)
		}
	}
	return devices
}

// awaitOn waits until a condition holds on a process's loop.
func awaitOn(t *testing.T, process *process, what string, condition func() bool) {
	t.Helper()
	transcript.WaitFor(t, what, func() (holds bool) {
		process.runOn(func() { holds = condition() })
		return holds
	})
}

// awaitServers waits until a process knows the cluster's two servers.
func awaitServers(t *testing.T, process *process) {
	t.Helper()
	awaitOn(t, process, "the process knows both servers", func() bool {
		return len(process.coreByCluster["k"].Servers()) == 2
	})
}

// awaitVersion waits until a process has received a list of at least the given version.
func awaitVersion(t *testing.T, process *process, version int64) {
	t.Helper()
	awaitOn(t, process, "the process has a list of its discovery", func() bool {
		_, got := process.operator.clusters["k"].watch.Position()
		return got >= version
	})
}

// TestStartOfStaticServerSurvivesUpgrade guards against a server that counts as started long ago after an upgrade,
// because only the old process knows when it came into the file: the new process would overload it, and forget the
// sessions at it.
func TestStartOfStaticServerSurvivesUpgrade(t *testing.T) {
	var servers []*xmppserver.Server
	node := newRestartedXMPPNodeWith(t, 2, func(all []*xmppserver.Server) string {
		servers = all
		return staticCluster(all[:1])
	})
	starts := func() map[string]time.Duration {
		started := map[string]time.Duration{}
		node.current.runOn(func() {
			for _, entry := range node.current.coreByCluster["k"].Servers() {
				started[string(entry.ID)] = entry.Started
			}
		})
		return started
	}
	node.edit(node.operatorPath, func(text string) string {
		return strings.Replace(text, staticCluster(servers[:1]), staticCluster(servers), 1)
	})
	node.current.runOn(node.current.Reload)
	want := starts()
	if want["h0"] != 0 || want["h1"] == 0 {
		t.Fatalf("start times after the reload: got %v, want none of h0 and one of h1", want)
	}
	for range 2 {
		node.restart()
		if got := starts(); !maps.Equal(got, want) {
			t.Errorf("start times after an upgrade: got %v, want %v", got, want)
		}
		node.current.runOn(func() { // what the front asks before it sends a session there
			if !node.current.coreByCluster["k"].AcceptsNew("h1", want["h1"]) {
				t.Error("AcceptsNew after an upgrade: got false for the start that sessions there have, want true")
			}
		})
	}
}
