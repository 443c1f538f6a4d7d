package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/operations/fleetclient"
)

// fleetCalls are what the calls of fleet have in common.
type fleetCalls struct {
	nodes, key, node string
	asJSON           bool
}

func fleetCommand() *cobra.Command {
	var f fleetCalls
	c := &cobra.Command{Use: "fleet", Short: "Ask a fleet's nodes, and order zones drained",
		Long: "Calls a node of the fleet: the one that --node names, else each in turn until one answers. What only the one that leads can answer goes\nthere by itself."}
	c.PersistentFlags().StringVar(&f.nodes, "nodes", "", "the common `FILE` with the list of nodes")
	c.PersistentFlags().StringVar(&f.key, "key-file", "", "the `FILE` with the fleet's key")
	c.PersistentFlags().StringVar(&f.node, "node", "", "the node that is asked")
	c.PersistentFlags().BoolVar(&f.asJSON, "json", false, "the answer as JSON")
	c.MarkPersistentFlagRequired("nodes")
	c.MarkPersistentFlagRequired("key-file")
	add := func(use, short, verb string, args cobra.PositionalArgs, leads bool, show func(io.Writer, agent.Reply)) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: args, RunE: func(c *cobra.Command, args []string) error {
			call := agent.Call{Verb: verb, ID: fmt.Sprintf("%s-%d", verb, time.Now().UnixNano())}
			if len(args) > 0 {
				call.Arg = args[0]
			}
			r, err := f.ask(call, leads)
			if err != nil {
				return err
			}
			if verb == "drain" || verb == "undrain" {
				if r, err = f.wait(call.ID); err != nil {
					return err
				}
			}
			if f.asJSON {
				raw, err := json.MarshalIndent(r, "", "  ")
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s\n", raw)
				return nil
			}
			show(c.OutOrStdout(), r)
			return nil
		}})
	}
	add("status", "Tell who is there, who leads, and by which plan nodes go", "status", cobra.NoArgs, true, showStatus)
	add("plan", "Tell the plan: each zone's room and where its clients may go", "plan", cobra.NoArgs, false, showPlan)
	add("explain ZONE", "Tell what led to a zone's state", "explain", cobra.ExactArgs(1), true, func(w io.Writer, r agent.Reply) {
		for _, l := range r.Explain {
			fmt.Fprintln(w, l)
		}
	})
	add("drain ZONE", "Have a zone take nothing new; what stands there stays", "drain", cobra.ExactArgs(1), true, showOrder)
	add("undrain ZONE", "Take the order back: the zone's room is given back step by step", "undrain", cobra.ExactArgs(1), true, showOrder)
	return c
}

// load reads the files that calls need.
func (f *fleetCalls) load() (*config.FleetList, []byte, error) {
	l, err := config.ReadFleetList(f.nodes)
	if err != nil {
		return nil, nil, err
	}
	raw, err := os.ReadFile(f.key)
	if err != nil {
		return nil, nil, err
	}
	if f.node != "" && l.List.Index(f.node) < 0 {
		return nil, nil, fmt.Errorf("--node %q: a name in %s is wanted", f.node, f.nodes)
	}
	return l, []byte(strings.TrimSpace(string(raw))), nil
}

// ask asks one node after another until one answers; leads says that only the one that leads can.
func (f *fleetCalls) ask(c agent.Call, leads bool) (r agent.Reply, err error) {
	l, key, err := f.load()
	if err != nil {
		return r, err
	}
	var order []string
	if f.node != "" {
		order = []string{f.node}
	} else {
		for _, v := range l.List.Voters() { // they know who leads
			order = append(order, l.List.Node(v).Name)
		}
		for i := range min(l.List.Len(), 16) {
			if n := l.List.Node(i); !n.Voter {
				order = append(order, n.Name)
			}
		}
	}
	var errs []error
	for i := 0; i < len(order) && i < 24; i++ {
		r, err = fleetclient.Call(l.Addr[l.List.Index(order[i])], key, l, order[i], c)
		switch {
		case err != nil:
			errs = append(errs, err)
			continue
		case leads && f.node == "" && !r.Leads:
			// It may name the one that leads: that one is asked next, once.
			if r.Leader != "" && r.Leader != order[i] && !slices.Contains(order[:i], r.Leader) {
				order = slices.Insert(order, i+1, r.Leader)
			}
			errs = append(errs, fmt.Errorf("%s does not lead", order[i]))
			if c.Verb == "status" && i == len(order)-1 {
				return r, nil
			}
			continue
		case r.BadCall:
			return r, statusError{2, r.Error}
		case r.Error != "":
			return r, statusError{1, r.Error}
		}
		return r, nil
	}
	if c.Verb == "status" && r.Node != "" { // nobody leads: what the last one knows
		return r, nil
	}
	return r, statusError{1, fmt.Sprintf("no node can answer: %v", errors.Join(errs...))}
}

// wait waits for the end of a proposal.
func (f *fleetCalls) wait(id string) (r agent.Reply, err error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if r, err = f.ask(agent.Call{Verb: "ended", Arg: id}, true); err == nil && r.Ended != nil {
			if !r.Ended.Taken {
				return r, statusError{1, "given up: another order came first; give it again"}
			}
			return r, nil
		}
	}
	return r, statusError{1, "not known whether it was decided: spurwinchctl fleet status tells the orders in force"}
}

func showOrder(w io.Writer, r agent.Reply) {
	fmt.Fprintf(w, "decided at number %d; drained now: %s\n", r.Ended.Number, or(strings.Join(r.Drained, ", "), "no zone"))
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func showStatus(w io.Writer, r agent.Reply) {
	fmt.Fprintf(w, "log %s, term %d, leads: %s\n", r.Log, r.Term, or(r.Leader, "nobody known"))
	fmt.Fprintf(w, "plan %d: %s\n", r.Plan, or(r.Reason, "none yet"))
	if len(r.Drained) > 0 {
		fmt.Fprintf(w, "drained by order: %s\n", strings.Join(r.Drained, ", "))
	}
	if len(r.LostNodes) > 0 {
		fmt.Fprintf(w, "out of the view: %s\n", strings.Join(r.LostNodes, ", "))
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "zone\tregion\tstate\tnodes\troom")
	for _, z := range r.Zones {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d of %d\t%.1f\n", z.Name, z.Region, z.State, z.Nodes, z.Listed, z.Capacity)
	}
	t.Flush()
	behind := 0
	for _, n := range r.Nodes {
		if n.LastReportSecondsAgo < 0 || n.LastReportSecondsAgo > 3 {
			fmt.Fprintf(w, "%s in %s: %s\n", n.Name, n.Zone, heard(n.LastReportSecondsAgo))
		} else if n.Plan < r.Plan {
			behind++
		}
	}
	if behind > 0 {
		fmt.Fprintf(w, "%d nodes go by an older plan\n", behind)
	}
}

func heard(ago float64) string {
	if ago < 0 {
		return "never heard"
	}
	return fmt.Sprintf("not heard for %.0f s", ago)
}

func showPlan(w io.Writer, r agent.Reply) {
	fmt.Fprintf(w, "plan %d, at %s by %s, for %.1f s more without word\n", r.Plan, r.Node, r.Mode, r.Lease)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "zone\tstate\troom\twants\tmay have\tlends\tlet in")
	for _, z := range r.Zones {
		var wants, grants, admit []string
		for _, c := range slices.Sorted(maps.Keys(z.Demand)) {
			wants = append(wants, fmt.Sprintf("%s %.1f", c, z.Demand[c]))
			if z.AdmitFractions[c] < 1 {
				admit = append(admit, fmt.Sprintf("%s %.0f%%", c, 100*z.AdmitFractions[c]))
			}
		}
		for _, to := range slices.Sorted(maps.Keys(z.Grants)) {
			if to == z.Name && z.GuestLoad == 0 && z.State == "well" {
				grants = append(grants, fmt.Sprintf("%s all %.1f", to, z.Capacity)) // nobody else needs it
			} else {
				grants = append(grants, fmt.Sprintf("%s %.1f", to, z.Grants[to]))
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%s\t%s\t%.1f by %s\t%s\n", z.Name, z.State, z.Capacity, strings.Join(wants, ", "), strings.Join(grants, ", "), z.Reserve, or(z.LeaseOwner, "nobody"), or(strings.Join(admit, ", "), "all"))
	}
	t.Flush()
	for _, z := range slices.Sorted(maps.Keys(r.LeasedFrom)) {
		fmt.Fprintf(w, "%s has been lent %.1f in %s\n", r.Node, r.LeasedFrom[z], z)
	}
	if r.LeasedOut > 0 {
		fmt.Fprintf(w, "%s has lent %.1f\n", r.Node, r.LeasedOut)
	}
}
