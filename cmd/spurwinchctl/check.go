package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"

	"github.com/spf13/cobra"

	"spurwinch/internal/config"
	"spurwinch/internal/config/tomlfile"
	lab "spurwinch/internal/lab/faults"
	"spurwinch/internal/operations/capture"
	"spurwinch/internal/plan/fleet"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Check operator's files, lists of nodes, policies, fleet files, scenarios and captures",
		Long: "Tells each fault as FILE:LINE: what is wrong, and what would be right; in a capture FILE: byte N: what.\nWhat a file is, is seen from what it holds.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			bad := false
			for _, path := range args {
				kind, faults, err := check(path)
				if err != nil {
					return err
				}
				for _, f := range faults {
					fmt.Fprintln(c.OutOrStdout(), f)
				}
				if bad = bad || len(faults) > 0; len(faults) == 0 {
					fmt.Fprintf(c.OutOrStdout(), "%s: a sound %s\n", path, kind)
				}
			}
			if bad {
				return statusError{status: 2}
			}
			return nil
		}}
}

// fleetTables are tables that only a fleet file has.
var fleetTables = regexp.MustCompile(`(?m)^\s*\[\[?\s*(kind|servers|centre|edition|fleet|store|clients|node)\b`)

var (
	faultTables  = regexp.MustCompile(`(?m)^\s*\[\[\s*(fault|want)\s*\]\]`)                         // only a scenario of the laboratory has
	policyKeys   = regexp.MustCompile(`(?m)^\s*(patience|come_again|without|over_share_worth)\s*=`) // with classes and without clusters: a fleet's policy
	operatorKeys = regexp.MustCompile(`(?m)^\s*(key_file\s*=|\[\[\s*(listener|cluster)\b)`)         // only an operator's file
	nodeAddr     = regexp.MustCompile(`(?m)^\s*\[\[\s*node\s*\]\][^[]*^\s*addr\s*=`)                // only a list of nodes: planners' fleets have no addresses
)

func check(path string) (kind string, faults []string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	switch {
	case bytes.HasPrefix(raw, []byte("spurwinch capture")):
		_, list, err := capture.ReadFile(path, func(capture.Header, capture.Record) {})
		for _, f := range list {
			faults = append(faults, f.String())
		}
		if err != nil {
			faults = append(faults, err.Error())
		}
		return "capture", faults, nil
	case faultTables.Match(raw):
		kind = "fault scenario"
		_, err = lab.ReadScenario(path, raw)
	case !operatorKeys.Match(raw) && nodeAddr.Match(raw):
		kind = "list of a fleet's nodes"
		_, err = config.ReadFleetList(path)
	case !operatorKeys.Match(raw) && !fleetTables.Match(raw) && policyKeys.Match(raw):
		kind = "policy"
		_, err = config.ReadPolicy(path, raw, 0)
	case !operatorKeys.Match(raw) && fleetTables.Match(raw):
		kind = "fleet file"
		_, err = fleet.Read(path)
	default:
		kind = "operator's file"
		_, err = config.ReadOperator(path)
	}
	var list tomlfile.Faults
	if errors.As(err, &list) {
		for _, f := range list {
			faults = append(faults, f.String())
		}
		err = nil
	}
	return kind, faults, err
}
