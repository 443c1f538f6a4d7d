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

// maxSeeds is how many seeds one run may play.
const maxSeeds = 1e6

func labCommand() *cobra.Command {
	command := &cobra.Command{Use: "lab", Short: "Many processes of the program, and the faults between them"}
	command.AddCommand(faultsCommand(), exploreCommand(), mutationsCommand(), soakCommand())
	return command
}

// interruptContext is cancelled by the first SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// readScenario reads a scenario's file, or one of those that come with the program, by its name or file name.
func readScenario(path string) (*faults.Scenario, error) {
	source, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		source, err = deploy.Faults.ReadFile("faults/" + name + ".toml")
		if err != nil {
			return nil, fmt.Errorf("%s: no such file, and no scenario of this name comes with the program: "+
				"see spurwinchctl lab faults list", path)
		}
	}
	if err != nil {
		return nil, err
	}
	return faults.ReadScenario(path, source)
}

// programBeside returns the node's program: the one that was named, or the one beside this one. It may not exist.
func programBeside(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "spurwinch"), nil
}

// findNodeProgram returns the node's program that the laboratory starts.
func findNodeProgram(named string) (string, error) {
	program, err := programBeside(named)
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(program); err != nil {
		return "", fmt.Errorf("no program to start: %w (--program names it)", err)
	}
	return program, nil
}

// parseSeeds parses the value of --seeds, A..B.
func parseSeeds(value string) (first, last uint64, err error) {
	firstText, lastText, found := strings.Cut(value, "..")
	first, firstErr := strconv.ParseUint(firstText, 10, 64)
	last, lastErr := strconv.ParseUint(lastText, 10, 64)
	if !found || firstErr != nil || lastErr != nil || last < first || last-first >= maxSeeds {
		return 0, 0, fmt.Errorf("--seeds %q: A..B is wanted, as in 1..2000", value)
	}
	return first, last, nil
}
