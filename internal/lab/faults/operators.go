package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	commandTimeout = 25 * time.Second // value of --timeout of a command
	commandSlack   = 15 * time.Second // after commandTimeout, before the harness kills the command
	operatorName   = "operator"
)

// Exit statuses of spurwinchctl.
const (
	statusDone   = 0
	statusFailed = 1
	statusUsage  = 2
)

// document returns a policy document of a kind. number makes each document different.
func document(kind DocumentKind, number int64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# proposal %d\nattempts = %d\ncome_again = \"1s\"\n", number, 3+number%2)
	if kind == DocumentNewer {
		text.WriteString("over_share_worth = 0.1\n")
	}
	for _, class := range Classes {
		without := "refuse"
		if class.Name == Classes[0].Name {
			without = "ground"
		}
		fmt.Fprintf(&text, "[[class]]\nname = %q\naim = \"%.1fs\"\npatience = \"%.0fs\"\nmessage_aim = \"150ms\"\n",
			class.Name, class.SetupObjective, class.Deadline)
		fmt.Fprintf(&text, "worth = %v\nwithout = %q\n", class.Priority, without)
	}
	text.WriteString("[ground]\nattempts = 2\npatience = \"2s\"\n")
	switch kind {
	case DocumentDescriptors:
		fmt.Fprintf(&text, "[needs]\ndescriptors = %d\n", requiredDescriptors)
	case DocumentInvalid:
		text.WriteString("[ground2]\n")
	default:
	}
	return text.String()
}

// startCommands runs the commands of a step one after another in the background, each as a process of its own.
func (h *harness) startCommands(step Step) {
	h.background.Go(func() {
		for range max(1, step.Times) {
			if h.over() {
				return
			}
			h.runCommand(step)
		}
	})
}

// writeOperatorFiles writes the operators' list of nodes and their key. The list has the nodes' own addresses, since
// operators' calls don't go through the relay.
func (h *harness) writeOperatorFiles() error {
	var list strings.Builder
	for _, n := range h.nodes {
		list.WriteString(n.listEntry(n.fleetAddr))
	}
	nodes, key := h.operatorPaths()
	if err := os.WriteFile(nodes, []byte(list.String()), 0o600); err != nil {
		return err
	}
	return os.WriteFile(key, []byte(fleetKey), 0o600)
}

// operatorPaths returns the paths of the operators' list of nodes and of their key.
func (h *harness) operatorPaths() (nodes, key string) {
	return filepath.Join(h.options.Dir, "operators.toml"), filepath.Join(h.options.Dir, "operators.key")
}

// runCommand runs spurwinchctl policy once, and records its result.
func (h *harness) runCommand(step Step) {
	number := h.commands.Add(1)
	id := fmt.Sprintf("op-%d", number)
	path := filepath.Join(h.options.Dir, id+".toml")
	if err := os.WriteFile(path, []byte(document(step.Document, number)), 0o600); err != nil {
		h.recordCount(countNoDescriptors, 1)
		return
	}
	timeout := commandTimeout + commandSlack
	if step.KillAfter > 0 {
		timeout = min(timeout, time.Duration(step.KillAfter))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	program := filepath.Join(filepath.Dir(h.options.Program), "spurwinchctl")
	cmd := exec.CommandContext(ctx, program, h.commandArguments(step, id, path)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var output, messages bytes.Buffer
	cmd.Stdout = &output
	cmd.Stderr = &messages
	start := h.seconds()
	_ = cmd.Run() // commandResult reads the exit status below
	ended := Event{
		Kind: KindCommand, ID: id, Node: operatorName, Detail: string(step.Action), Value: start,
		Number: printedNumber(output.Bytes()),
		Result: commandResult(step.Action, cmd.ProcessState.ExitCode(), messages.String()),
	}
	if step.Action == ActionRollback {
		ended.Detail = verbPropose
	}
	h.record(ended)
	if ended.Result != ResultAccepted && ended.Result != ResultOK {
		h.record(Event{Kind: KindLog, Node: operatorName, ID: id, Detail: strings.TrimSpace(messages.String())})
	}
}

// commandArguments returns the arguments of spurwinchctl for a step.
func (h *harness) commandArguments(step Step, id, documentPath string) []string {
	nodes, key := h.operatorPaths()
	arguments := []string{"policy", string(step.Action), "--nodes", nodes, "--key-file", key, "--json"}
	switch step.Action {
	case ActionPropose:
		arguments = append(arguments, documentPath, "--id", id, "--timeout", commandTimeout.String())
		if step.Canary != "" {
			arguments = append(arguments, "--part", step.Canary, "--for", "3s", "--worse", "0.5")
		}
	case ActionRollback:
		arguments = append(arguments, "1", "--id", id, "--timeout", commandTimeout.String())
	default:
	}
	return arguments
}

// printedNumber returns the policy number in a command's output. It returns zero if the output has none.
func printedNumber(output []byte) uint64 {
	var answer struct {
		Number uint64 `json:"number"`
	}
	if json.Unmarshal(output, &answer) != nil {
		return 0 // a command that fails or is killed prints nothing
	}
	return answer.Number
}

// commandResult derives a command's result from its exit status and its messages. A command that was killed has none of
// the listed statuses, so its result is unknown.
func commandResult(action Action, status int, messages string) Result {
	switch status {
	case statusDone:
		if action == ActionStatus {
			return ResultOK
		}
		return ResultAccepted
	case statusFailed:
		if strings.Contains(messages, "was given up") {
			return ResultAbandoned
		}
		return ResultRejected
	case statusUsage:
		return ResultRejected
	}
	return ResultUnknown
}
