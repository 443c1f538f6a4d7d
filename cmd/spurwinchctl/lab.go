package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"spurwinch/deploy"
	"spurwinch/internal/lab/faults"
)

// maxSeeds is the maximum number of seeds of one run.
const maxSeeds = 1e6

func labCommand() *cobra.Command {
	command := &cobra.Command{Use: "lab", Short: "Test fleets under injected faults, in processes or in simulation"}
	command.AddCommand(faultsCommand(), exploreCommand(), mutationsCommand(), soakCommand())
	return command
}

// interruptContext returns a context that the first SIGINT or SIGTERM cancels.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// readScenario reads a scenario from a file. If there is no such file, it reads the built-in scenario of that name or
// file name.
func readScenario(path string) (*faults.Scenario, error) {
	source, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		source, err = deploy.Faults.ReadFile("faults/" + name + ".toml")
		if err != nil {
			return nil, fmt.Errorf("%s is neither a file nor the name of a built-in scenario: "+
				"spurwinchctl lab faults list prints the names", path)
		}
	}
	if err != nil {
		return nil, err
	}
	return faults.ReadScenario(path, source)
}

// nodeProgramPath returns the path of the node's program: the given path, or else spurwinch in the directory of this
// program. The file may not exist.
func nodeProgramPath(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "spurwinch"), nil
}

// findNodeProgram returns the path of the node's program that the laboratory starts. The program must exist.
func findNodeProgram(named string) (string, error) {
	program, err := nodeProgramPath(named)
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(program); err != nil {
		return "", fmt.Errorf("node program not found: %w (--program must be the path of the spurwinch program)", err)
	}
	return program, nil
}

// parseSeeds parses the value of --seeds, a range A..B.
func parseSeeds(value string) (first, last uint64, err error) {
	firstText, lastText, found := strings.Cut(value, "..")
	first, firstErr := strconv.ParseUint(firstText, 10, 64)
	last, lastErr := strconv.ParseUint(lastText, 10, 64)
	if !found || firstErr != nil || lastErr != nil || last < first || last-first >= maxSeeds {
		return 0, 0, fmt.Errorf("--seeds must be A..B with A <= B and at most 1000000 seeds, got %q", value)
	}
	return first, last, nil
}
