package command

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"spurwinch/internal/failover/agent"
	"spurwinch/internal/loop"
	"spurwinch/internal/node"
	"spurwinch/internal/operations/logs"
)

const (
	startTimeout       = 5 * time.Second // limit for retries of a start; a node must accept clients within 10 s
	startRetryInterval = 50 * time.Millisecond
)

// runNode sets up a node and runs it until its shutdown is complete.
func runNode(
	options options, commandLine []string, reload, stop <-chan os.Signal, newVoter agent.NewVoter,
) error {
	if err := logs.Setup(os.Stderr, options.log); err != nil {
		return err
	}
	program, err := newNode(options.operatorFile, newVoter)
	if errors.Is(err, node.ErrVoter) { // this program holds no resource yet that the other program needs
		return replaceProcess(voterCommand, commandLine)
	}
	if err != nil {
		return err
	}
	return program.Run(reload, stop)
}

// newNode sets up a node. It retries while the machine temporarily lacks resources, because the node is lost if its
// process ends during the start.
func newNode(operatorFile string, newVoter agent.NewVoter) (*node.Program, error) {
	deadline := time.Now().Add(startTimeout)
	for {
		program, err := tryNewNode(operatorFile, newVoter)
		if err == nil || !loop.IsTransient(err) || time.Now().After(deadline) {
			return program, err
		}
		time.Sleep(startRetryInterval)
	}
}

// tryNewNode makes one attempt to set up a node, on a new loop.
func tryNewNode(operatorFile string, newVoter agent.NewVoter) (*node.Program, error) {
	eventLoop, err := loop.New()
	if err != nil {
		return nil, err
	}
	program, err := node.New(eventLoop, os.Getenv, operatorFile, newVoter)
	if err != nil {
		eventLoop.Close() // its open resources must not block the next attempt
	}
	return program, err
}

// replaceProcess replaces this process's program by another program in the same directory. It returns only on an error.
func replaceProcess(command string, commandLine []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), command)
	if err := syscall.Exec(path, append([]string{path}, commandLine...), os.Environ()); err != nil {
		return fmt.Errorf("can't start %s in place of this program: %w", path, err)
	}
	return nil
}
