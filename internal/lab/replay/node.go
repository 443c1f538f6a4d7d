package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"spurwinch/internal/plan/fleet"
	"spurwinch/internal/plan/workload"
)

const (
	startTimeout   = 20 * time.Second // from the start of a node until it listens
	stopTimeout    = 15 * time.Second // for a graceful shutdown, which completes the capture
	nodeMemoryMB   = 192
	capturePrefix  = "load" // prefix of the names of capture files
	listeningEvent = "listening"
)

// ErrNodeEnded reports a node that exited during the replay without being stopped.
var ErrNodeEnded = errors.New("a node exited during the replay without being stopped")

// StartError reports a node that did not start.
type StartError struct {
	Node  string
	Ended bool   // true: the process exited; false: it did not listen in time
	Log   string // path of its log
}

func (e *StartError) Error() string {
	if e.Ended {
		return fmt.Sprintf("node %s exited during its start; see its log %s", e.Node, e.Log)
	}
	return fmt.Sprintf("node %s did not listen within %v; see its log %s", e.Node, startTimeout, e.Log)
}

// nodeConfig is a node's configuration file in the platform's format.
type nodeConfig struct {
	Discovery string          `json:"discovery"`
	Known     json.RawMessage `json:"known"`
	Limits    nodeLimits      `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Seed      string          `json:"seed"`
	Settings  json.RawMessage `json:"settings"`
}

type nodeLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// node is a running process of the spurwinch program.
type node struct {
	command *exec.Cmd
	zone    int
	ended   chan struct{} // closed when the process has ended
	address string        // on which the node listens

	mu      sync.Mutex
	stopped bool // the replay killed the process or asked it to shut down
}

func (p *player) startNodes() error {
	for _, pool := range p.fleet.NodePools {
		for range pool.Count {
			if err := p.startNode(pool); err != nil {
				return err
			}
		}
	}
	return nil
}

// startNode starts the program in the same way as the platform, and waits until it listens.
func (p *player) startNode(pool fleet.NodePool) error {
	name := fmt.Sprintf("n%d", len(p.nodes))
	config, err := p.writeConfig(name, pool)
	if err != nil {
		return err
	}
	arguments := []string{"-log", "json", "-log-level", "info"}
	if p.options.Capture {
		operatorFile, err := p.writeOperatorFile()
		if err != nil {
			return err
		}
		arguments = append(arguments, "-operator", operatorFile)
	}
	logFile, err := os.Create(filepath.Join(p.options.Dir, name+".log"))
	if err != nil {
		return err
	}
	started := &node{
		command: exec.Command(p.options.Program, arguments...),
		zone:    p.fleet.ZoneIndex(pool.Zone),
		ended:   make(chan struct{}),
	}
	started.command.Env = []string{"GW_CONFIG=" + config, "GOMAXPROCS=1"}
	output, err := started.command.StderrPipe()
	if err == nil {
		err = started.command.Start()
	}
	if err != nil {
		_ = logFile.Close() // nothing was written to it
		return fmt.Errorf("node program %s: %w", p.options.Program, err)
	}
	p.nodes = append(p.nodes, started)
	addresses := make(chan string, 1)
	go started.followLog(output, logFile, addresses)
	select {
	case started.address = <-addresses:
		return nil
	case <-started.ended:
		return &StartError{Node: name, Ended: true, Log: logFile.Name()}
	case <-time.After(startTimeout):
		return &StartError{Node: name, Log: logFile.Name()}
	}
}

// writeConfig writes the configuration file of the next node and returns its path.
func (p *player) writeConfig(name string, pool fleet.NodePool) (string, error) {
	index := len(p.nodes)
	zone := p.fleet.ZoneIndex(pool.Zone)
	config, err := json.Marshal(nodeConfig{
		Name:      name,
		Listen:    "127.0.0.1:0",
		Discovery: p.servers.Discovery(zone),
		Seed:      fmt.Sprintf("%x", workload.Mix(p.options.Seed+uint64(index))),
		Limits:    nodeLimits{Cores: 1, MemoryMB: nodeMemoryMB, Sockets: pool.Descriptors},
		Known:     p.servers.Entries(zone),
		Settings:  p.fleet.SettingsJSON(index, p.fleet.NodeCount(), pool.Zone),
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.options.Dir, name+".json")
	return path, os.WriteFile(path, config, 0o600)
}

// writeOperatorFile writes the operator's file that makes nodes capture their load, and returns its path. It is called
// for each node and always writes the same contents, because each node adds its own name to the names of its capture
// files.
func (p *player) writeOperatorFile() (string, error) {
	path := filepath.Join(p.options.Dir, "capture.toml")
	text := fmt.Sprintf("[capture]\npath = %q\nkey = \"a replay on loopback, nobody's data\"\n",
		filepath.Join(p.options.Dir, capturePrefix))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// followLog copies the node's log to a file until the process ends. It sends the node's listen address to the channel
// addresses.
func (n *node) followLog(output io.Reader, logFile *os.File, addresses chan<- string) {
	defer close(n.ended)
	defer func() { _ = logFile.Close() }() // only human readers use the log, and they notice a missing part
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		_, _ = fmt.Fprintf(logFile, "%s\n", lines.Text()) // a missing line doesn't affect the replay
		var record struct {
			Event   string `json:"event"`
			Address string `json:"address"`
		}
		if json.Unmarshal(lines.Bytes(), &record) == nil && record.Event == listeningEvent {
			select {
			case addresses <- record.Address:
			default:
			}
		}
	}
	_ = n.command.Wait() // fails for a killed node; endedByItself detects other early exits
}

// isStopped reports whether the replay killed the node or asked it to shut down.
func (n *node) isStopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

// stopNodes stops the nodes and waits until they have ended. Nodes that capture their load get a graceful shutdown,
// which completes the capture. The error includes an ErrNodeEnded for each node that had already exited by itself.
func (p *player) stopNodes() error {
	var errs []error
	for _, node := range p.nodes {
		if node.endedByItself() {
			errs = append(errs, ErrNodeEnded)
		}
		if p.options.Capture && !node.isStopped() {
			node.shutDown()
		} else {
			node.kill()
		}
	}
	for _, node := range p.nodes {
		select {
		case <-node.ended:
		case <-time.After(stopTimeout):
			node.kill()
			<-node.ended
		}
	}
	return errors.Join(errs...)
}

// endedByItself reports whether the process has ended although the replay did not stop it.
func (n *node) endedByItself() bool {
	select {
	case <-n.ended:
		return !n.isStopped()
	default:
		return false
	}
}

// kill ends the process immediately.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	_ = n.command.Process.Kill() // fails only if the process has already ended
}

// shutDown begins a graceful shutdown.
func (n *node) shutDown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	_ = n.command.Process.Signal(syscall.SIGTERM) // fails only if the process has already ended
}
