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
	startTimeout   = 20 * time.Second // for a node to listen
	stopTimeout    = 15 * time.Second // for a graceful shutdown, in which the capture is completed
	nodeMemoryMB   = 192
	capturePrefix  = "load" // of the names of capture files
	listeningEvent = "listening"
)

// ErrNodeEnded says that a node ended by itself during the replay.
var ErrNodeEnded = errors.New("a node ended by itself during the replay")

// StartError says that a node did not start.
type StartError struct {
	Node  string
	Ended bool   // else it did not listen in time
	Log   string // path of its log
}

func (e *StartError) Error() string {
	if e.Ended {
		return fmt.Sprintf("node %s ended at its start: see %s", e.Node, e.Log)
	}
	return fmt.Sprintf("node %s does not listen after %v: see %s", e.Node, startTimeout, e.Log)
}

// nodeConfig is a node's configuration file, as the platform writes it.
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

// node is a process of the program.
type node struct {
	command *exec.Cmd
	zone    int
	ended   chan struct{} // closed when the process has ended
	address string        // that it listens on

	mu      sync.Mutex
	stopped bool // killed, or asked to end
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

// startNode starts the program as the platform does, and waits until it listens.
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
		_ = logFile.Close() // nothing was written
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

// writeConfig writes the configuration of the next node and returns its path.
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

// writeOperatorFile writes the operator's file that has nodes capture their load, and returns its path. It is called
// for each node, always with the same contents: the nodes put their names into those of their capture files.
func (p *player) writeOperatorFile() (string, error) {
	path := filepath.Join(p.options.Dir, "capture.toml")
	text := fmt.Sprintf("[capture]\npath = %q\nkey = \"a replay on loopback, nobody's data\"\n",
		filepath.Join(p.options.Dir, capturePrefix))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// followLog copies the node's log to a file until the process ends, and sends the address that it listens on.
func (n *node) followLog(output io.Reader, logFile *os.File, addresses chan<- string) {
	defer close(n.ended)
	defer func() { _ = logFile.Close() }() // the log is for people; what is missing of it is seen
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		_, _ = fmt.Fprintf(logFile, "%s\n", lines.Text()) // likewise
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
	_ = n.command.Wait() // a node is killed, or ends as it was asked to
}

// isStopped reports whether the node was killed or asked to end.
func (n *node) isStopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

// stopNodes ends the nodes and waits for them: with a graceful shutdown where they capture, which completes the
// capture. The error holds an ErrNodeEnded for each node that had ended before.
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

// endedByItself reports whether the process ended though it was not stopped.
func (n *node) endedByItself() bool {
	select {
	case <-n.ended:
		return !n.isStopped()
	default:
		return false
	}
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	_ = n.command.Process.Kill() // it fails of a process that has ended
}

// shutDown begins a graceful shutdown.
func (n *node) shutDown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	_ = n.command.Process.Signal(syscall.SIGTERM) // it fails of a process that has ended
}
