package node

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"spurwinch/internal/lab/transcript"
)

// observeLog collects the log's lines of a level and above until the test ends.
func observeLog(t *testing.T, level zapcore.Level) *observer.ObservedLogs {
	t.Helper()
	core, logged := observer.New(level)
	t.Cleanup(zap.ReplaceGlobals(zap.New(core)))
	return logged
}

// reloadCounts returns the numbers of accepted and rejected reloads so far.
func (n *restartedNode) reloadCounts() (accepted, rejected uint64) {
	n.current.runOn(func() {
		accepted = n.current.telemetry.counters.ReloadsOK
		rejected = n.current.telemetry.counters.ReloadsFailed
	})
	return accepted, rejected
}

// read returns the text of a file.
func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestRejectedFileLeavesEverythingAsItWas checks that a reload applies nothing of any file if one of the files lacks a
// key or is invalid, that one line of the log names the key, and that the counters of reloads agree.
func TestRejectedFileLeavesEverythingAsItWas(t *testing.T) {
	player := &transcript.Player{Values: map[string]string{}}
	node := newRestartedNode(t, player.Listen(t, "h"), 512)
	config, operator := read(t, node.configPath), read(t, node.operatorPath)
	otherDiscovery := player.Listen(t, "d2")
	newConfig := strings.NewReplacer(
		node.current.platform.config.Discovery, otherDiscovery, `"name":"chat"`, `"name":"trade"`,
	).Replace(config)
	newOperator := operator + "state = \"draining\"\n"
	logged := observeLog(t, zap.InfoLevel)
	for i, test := range []struct{ config, operator, key string }{
		{strings.Replace(newConfig, `"giveUpS":4,`, "", 1), newOperator, "settings.profiles[0].giveUpS"},
		{strings.Replace(newConfig, `"goal":`, `"other":`, 1), newOperator, "settings.goal"},
		{strings.Replace(newConfig, `"memory_mb":0,`, "", 1), newOperator, "limits.memory_mb"},
		{strings.Replace(newConfig, `"sendCap":4`, `"sendCap":0`, 1), newOperator, "settings.policyLimits.sendCap"},
		{strings.Replace(newConfig, `"sendCap":4`, `"sendCap":"4"`, 1), newOperator, "settings.policyLimits.sendCap"},
		{strings.Replace(newConfig, `"giveUpS":4`, `"giveUpS":-5`, 1), newOperator, "settings.profiles[0].giveUpS"},
		{strings.Replace(newConfig, `"sockets":512`, `"sockets":"many"`, 1), newOperator, "limits.sockets"},
		{newConfig[:len(newConfig)/2], newOperator, ""},
		{"", newOperator, ""},
		{newConfig, operator + "state = \"gone\"\n", "cluster.0.host.0.state"},
		{newConfig, operator + "[[cluster.host]]\nid = \"h2\"\n", "cluster.0.host.1.addr"},
		{newConfig, operator + "colour = \"red\"\n", "cluster.host.colour"},
		{newConfig, "", "listener"},
	} {
		writeFile(t, node.configPath, test.config)
		writeFile(t, node.operatorPath, test.operator)
		node.requireReloadRejected(t, test.key)
		if lines := logged.TakeAll(); len(lines) != 1 || lines[0].Message != "reload_rejected" ||
			lines[0].ContextMap()["key"] != test.key {
			t.Errorf("reload %d: got log %v, want only reload_rejected with key %q", i, lines, test.key)
		}
	}
	writeFile(t, node.configPath, newConfig)
	writeFile(t, node.operatorPath, newOperator)
	_, rejectedBefore := node.reloadCounts()
	node.current.runOn(node.current.Reload)
	if accepted, rejected := node.reloadCounts(); accepted != 1 || rejected != rejectedBefore {
		t.Errorf("reload of valid files: got %d accepted and %d rejected, want 1 and %d",
			accepted, rejected, rejectedBefore)
	}
	node.current.runOn(func() {
		if got, _ := node.current.platform.listWatch.Position(); got != otherDiscovery {
			t.Errorf("discovery address after the reload: got %s, want %s", got, otherDiscovery)
		}
	})
}

// requireReloadRejected reloads the files, and checks that the counters count one rejected reload and that the
// configuration in use and the address of the server list are as before.
func (n *restartedNode) requireReloadRejected(t *testing.T, key string) {
	t.Helper()
	_, rejectedBefore := n.reloadCounts()
	n.current.runOn(func() {
		platform := n.current.platform
		config, settings := platform.config, platform.settings
		address, _ := platform.listWatch.Position()
		n.current.Reload()
		if !reflect.DeepEqual(platform.config, config) || !reflect.DeepEqual(platform.settings, settings) {
			t.Errorf("reload with invalid %q: got another configuration, want the one in force", key)
		}
		if got, _ := platform.listWatch.Position(); got != address {
			t.Errorf("reload with invalid %q: got discovery address %s, want %s", key, got, address)
		}
	})
	if accepted, rejected := n.reloadCounts(); accepted != 0 || rejected != rejectedBefore+1 {
		t.Errorf("reload with invalid %q: got %d accepted and %d rejected, want 0 and %d",
			key, accepted, rejected, rejectedBefore+1)
	}
}

// TestUnreadableNamedFileIsRetried guards against a reload that is rejected because a file that the operator's file
// names can't be read for a moment. Reading the memory of a process at address 0 fails with the disk error EIO.
func TestUnreadableNamedFileIsRetried(t *testing.T) {
	node := newRestartedNode(t, (&transcript.Player{}).Listen(t, "h"), 512)
	denied := filepath.Join(t.TempDir(), "denied")
	if err := os.Symlink("/proc/self/mem", denied); err != nil {
		t.Fatal(err)
	}
	operator := read(t, node.operatorPath)
	for name, text := range map[string]string{
		"networks":    operator + "[peers]\ndeny = \"" + denied + "\"\n",
		"certificate": operator + "[[certificate]]\ncert = \"" + denied + "\"\nkey = \"" + denied + "\"\n",
	} {
		logged := observeLog(t, zap.WarnLevel)
		writeFile(t, node.operatorPath, text)
		accepted, rejected := node.reloadCounts()
		node.current.runOn(node.current.Reload)
		time.Sleep(3 * reloadRetryInterval)
		if nowAccepted, nowRejected := node.reloadCounts(); nowAccepted != accepted || nowRejected != rejected {
			t.Errorf("%s: got a reload that has ended, want it retried", name)
		}
		if logged.FilterMessage("reload_retried").Len() < 2 {
			t.Errorf("%s: got log %v, want reload_retried twice or more", name, logged.All())
		}
		writeFile(t, node.operatorPath, operator)
		transcript.WaitFor(t, "the reload is accepted", func() bool {
			nowAccepted, _ := node.reloadCounts()
			return nowAccepted == accepted+1
		})
	}
}
