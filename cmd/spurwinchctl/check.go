package main

import (
	"bytes"
	"errors"
	"os"
	"regexp"

	"github.com/spf13/cobra"

	"spurwinch/internal/config"
	"spurwinch/internal/config/tomlfile"
	"spurwinch/internal/lab/faults"
	"spurwinch/internal/operations/capture"
	"spurwinch/internal/plan/fleet"
)

// fileKind is the kind of a file that check reads, as check prints it.
type fileKind string

const (
	kindCapture      fileKind = "capture"
	kindScenario     fileKind = "fault scenario"
	kindFleetList    fileKind = "list of a fleet's nodes"
	kindPolicy       fileKind = "policy"
	kindFleetFile    fileKind = "fleet file"
	kindOperatorFile fileKind = "operator's file"
)

// captureMagic is the text at the beginning of each capture file.
const captureMagic = "spurwinch capture"

// Patterns that distinguish the kinds of TOML files.
var (
	// Tables of a planner's fleet file.
	fleetTables = regexp.MustCompile(`(?m)^\s*\[\[?\s*(kind|servers|centre|edition|fleet|store|clients|node)\b`)
	// Tables that only a scenario of the laboratory has.
	scenarioTables = regexp.MustCompile(`(?m)^\s*\[\[\s*(fault|want)\s*\]\]`)
	// Keys of classes: a file with classes and without clusters is a fleet's policy.
	policyKeys = regexp.MustCompile(`(?m)^\s*(patience|come_again|without|over_share_worth)\s*=`)
	// Keys that only an operator's file has.
	operatorKeys = regexp.MustCompile(`(?m)^\s*(key_file\s*=|\[\[\s*(listener|cluster)\b)`)
	// A node with an address, which only a list of nodes has: nodes in planners' fleet files have no addresses.
	nodeAddress = regexp.MustCompile(`(?m)^\s*\[\[\s*node\s*\]\][^[]*^\s*addr\s*=`)
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check node configurations, lists of nodes, policies, fleet files, scenarios and captures",
		Long: "Prints each fault as FILE:LINE: what is invalid and what is allowed; " +
			"for a capture as FILE: byte N: what is invalid.\n" +
			"The kind of each file is detected from its content.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return runCheck(command, args)
		},
	}
}

func runCheck(command *cobra.Command, paths []string) error {
	out := command.OutOrStdout()
	faultsFound := false
	for _, path := range paths {
		kind, found, err := checkFile(path)
		if err != nil {
			return err
		}
		for _, fault := range found {
			printLine(out, fault)
		}
		if len(found) > 0 {
			faultsFound = true
			continue
		}
		printf(out, "%s: valid %s\n", path, kind)
	}
	if faultsFound {
		return statusError{status: statusBadInput}
	}
	return nil
}

// checkFile detects the kind of a file and checks its content. It returns the text of each fault found. An error means
// that the file could not be read, which ends the command.
func checkFile(path string) (kind fileKind, found []string, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	kind = detectKind(content)
	if kind == kindCapture {
		return kind, checkCapture(path), nil
	}
	err = parseFile(kind, path, content)
	var list tomlfile.Faults
	if errors.As(err, &list) {
		for _, fault := range list {
			found = append(found, fault.String())
		}
		err = nil
	}
	return kind, found, err
}

// detectKind detects the kind of a file from its content.
func detectKind(content []byte) fileKind {
	switch {
	case bytes.HasPrefix(content, []byte(captureMagic)):
		return kindCapture
	case scenarioTables.Match(content):
		return kindScenario
	case operatorKeys.Match(content):
		return kindOperatorFile
	case nodeAddress.Match(content):
		return kindFleetList
	case fleetTables.Match(content):
		return kindFleetFile
	case policyKeys.Match(content):
		return kindPolicy
	}
	return kindOperatorFile
}

// checkCapture returns the faults of a capture file.
func checkCapture(path string) []string {
	var found []string
	_, list, err := capture.ReadFile(path, func(capture.Header, capture.Record) {})
	for _, fault := range list {
		found = append(found, fault.String())
	}
	if err != nil {
		found = append(found, err.Error())
	}
	return found
}

// parseFile reads a TOML file of the given kind. It returns faults of the content as a tomlfile.Faults.
func parseFile(kind fileKind, path string, content []byte) (err error) {
	switch kind {
	case kindScenario:
		_, err = faults.ReadScenario(path, content)
	case kindFleetList:
		_, err = config.ReadFleetList(path)
	case kindPolicy:
		_, err = config.ReadPolicy(path, content, 0)
	case kindFleetFile:
		_, err = fleet.Read(path)
	default:
		_, err = config.ReadOperator(path)
	}
	return err
}
