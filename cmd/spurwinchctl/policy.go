package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spurwinch/internal/config"
	"spurwinch/internal/failover/agent"
	"spurwinch/internal/policy"
)

const (
	statusUnknown = 3 // how a change ended isn't known: wait ID tells later
	policyTry     = 150 * time.Millisecond
)

func policyCommand() *cobra.Command {
	var f fleetCalls
	c := &cobra.Command{Use: "policy", Short: "Change a fleet's policy, everywhere or nowhere",
		Long: "Calls the one that leads the fleet. Status 0: done, or in force; 1: given up, or the answer is no; 2: wrong call or bad file; 3: how a change ended\n" +
			"isn't known yet: spurwinchctl policy wait ID tells."}
	c.PersistentFlags().StringVar(&f.nodes, "nodes", "", "the common `FILE` with the list of nodes")
	c.PersistentFlags().StringVar(&f.key, "key-file", "", "the `FILE` with the fleet's key")
	c.PersistentFlags().BoolVar(&f.asJSON, "json", false, "the answer as JSON")
	add := func(use, short string, args cobra.PositionalArgs, run func(c *cobra.Command, args []string) error) *cobra.Command {
		sub := &cobra.Command{Use: use, Short: short, Args: args, RunE: run}
		c.AddCommand(sub)
		return sub
	}
	add("check FILE", "Check a policy's file, without a fleet", cobra.ExactArgs(1), func(c *cobra.Command, args []string) error {
		text, _, err := policyFile(args[0])
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%s: a sound policy, digest %s\n", args[0], policy.Digest(text))
		}
		return err
	})
	var p proposal
	flags := func(sub *cobra.Command) {
		sub.Flags().StringVar(&p.id, "id", "", "of the change: proposing one again changes nothing; drawn where none is given")
		sub.Flags().StringVar(&p.part, "part", "", "a part that goes first: zone:NAME, or 1/N for one node in N")
		sub.Flags().DurationVar(&p.trial, "for", 30*time.Second, "how long the part is watched")
		sub.Flags().Float64Var(&p.worse, "worse", 0.02, "part of the requests that may be turned away there beyond what is elsewhere")
		sub.Flags().DurationVar(&p.timeout, "timeout", time.Minute, "how long to wait for the end")
	}
	sub := add("propose FILE", "Propose a policy and wait until it is in force or given up", cobra.ExactArgs(1), func(c *cobra.Command, args []string) error {
		text, _, err := policyFile(args[0])
		if err != nil {
			return err
		}
		return f.propose(c.OutOrStdout(), p, text, c.Flags().Changed("base"))
	})
	flags(sub)
	sub.Flags().Uint64Var(&p.base, "base", 0, "the number that it is to replace; else the one in force as the command begins")
	flags(add("rollback NUMBER", "Propose the document of an earlier number again, under a new number", cobra.ExactArgs(1), func(c *cobra.Command, args []string) error {
		r, err := f.policyStatus(p.timeout)
		if err != nil {
			return err
		}
		text, err := numbered(r, args[0])
		if err != nil {
			return err
		}
		p.base = r.Number
		return f.propose(c.OutOrStdout(), p, text, true)
	}))
	add("status", "Tell which policy is in force, what is on its way, and who goes by what", cobra.NoArgs, func(c *cobra.Command, args []string) error {
		r, err := f.policyStatus(15 * time.Second)
		if err != nil {
			return err
		}
		return f.show(c.OutOrStdout(), r, showPolicy)
	})
	wait := add("wait ID", "Wait for the end of a change", cobra.ExactArgs(1), func(c *cobra.Command, args []string) error {
		return f.await(c.OutOrStdout(), args[0], time.Now().Add(p.timeout), nil)
	})
	wait.Flags().DurationVar(&p.timeout, "timeout", time.Minute, "how long to wait for the end")
	add("abort ID", "Give a change up that is on its way", cobra.ExactArgs(1), func(c *cobra.Command, args []string) error {
		if _, err := f.ask(agent.Call{Verb: "policy-abort", ID: args[0]}, true); err != nil {
			return err
		}
		err := f.await(c.OutOrStdout(), args[0], time.Now().Add(15*time.Second), nil)
		var s statusError
		if errors.As(err, &s) && s.status == 1 {
			return nil // given up is what was asked for
		}
		if err == nil {
			return statusError{1, "it is in force: rollback proposes what was before"}
		}
		return err
	})
	add("history", "Tell how the newest changes ended", cobra.NoArgs, func(c *cobra.Command, args []string) error {
		r, err := f.policyStatus(15 * time.Second)
		if err != nil {
			return err
		}
		return f.show(c.OutOrStdout(), r, showHistory)
	})
	add("show NUMBER", "Print the document of a number", cobra.ExactArgs(1), func(c *cobra.Command, args []string) error {
		r, err := f.policyStatus(15 * time.Second)
		if err != nil {
			return err
		}
		text, err := numbered(r, args[0])
		if err == nil {
			_, err = c.OutOrStdout().Write(text)
		}
		return err
	})
	add("diff A B", "Tell what differs between two policies, each a number or a file", cobra.ExactArgs(2), func(c *cobra.Command, args []string) error {
		var docs [2]*policy.Document
		for i, a := range args {
			document, err := f.policyDocument(a)
			if err != nil {
				return err
			}
			docs[i] = document
		}
		for _, l := range policy.Diff(docs[0], docs[1]) {
			fmt.Fprintln(c.OutOrStdout(), l)
		}
		return nil
	})
	return c
}

// policyDocument reads a policy that an argument names: by its number in the fleet, or else as a file.
func (f *fleetCalls) policyDocument(argument string) (*policy.Document, error) {
	if _, err := strconv.ParseUint(argument, 10, 64); err != nil {
		_, document, err := policyFile(argument)
		return document, err
	}
	status, err := f.policyStatus(15 * time.Second)
	if err != nil {
		return nil, err
	}
	text, err := numbered(status, argument)
	if err != nil {
		return nil, err
	}
	return config.ReadPolicy("policy "+argument, text, 0)
}

type proposal struct {
	id, part       string
	trial, timeout time.Duration
	worse          float64
	base           uint64
}

func policyFile(path string) ([]byte, *policy.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	d, err := config.ReadPolicy(path, text, 0)
	return text, d, err
}

// numbered finds the document of a number that the log still has.
func numbered(r *agent.PolicyReply, arg string) ([]byte, error) {
	n, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%q: a number is wanted", arg)
	}
	var have []string
	for _, d := range r.Documents {
		if d.Number == n {
			return d.Text, nil
		}
		have = append(have, fmt.Sprint(d.Number))
	}
	if c := r.Change; c != nil && c.Number == n {
		return c.Text, nil
	}
	return nil, statusError{1, fmt.Sprintf("the log has no document of number %d any more: it has %s", n, or(strings.Join(have, ", "), "none"))}
}

// policyStatus tells what is in force: not older than this call, whoever leads meanwhile.
func (f *fleetCalls) policyStatus(timeout time.Duration) (*agent.PolicyReply, error) {
	var last error
	for end := time.Now().Add(timeout); ; time.Sleep(policyTry) {
		r, err := f.ask(agent.Call{Verb: "policy"}, true)
		var s statusError
		if errors.As(err, &s) && s.status == 2 || err != nil && !errors.As(err, &s) {
			return nil, err
		}
		if err == nil && r.Policy != nil {
			to := *f
			to.node = r.Node // the one that gave the token
			for token := r.Policy.Token; time.Now().Before(end); time.Sleep(policyTry / 5) {
				if r, err = to.ask(agent.Call{Verb: "policy", Arg: token}, true); err != nil || r.Policy == nil {
					break
				}
				if !r.Retry {
					return r.Policy, nil
				}
			}
		}
		if err != nil {
			last = err
		}
		if time.Now().After(end) {
			return nil, statusError{statusUnknown, fmt.Sprintf("nobody that leads answered within %v: %v", timeout, last)}
		}
	}
}

func (f *fleetCalls) propose(out io.Writer, p proposal, text []byte, based bool) error {
	call := agent.Call{Verb: "policy-propose", ID: p.id, Data: text, Base: p.base}
	if p.part != "" {
		part, err := policy.ParseCanary(p.part)
		if err != nil {
			return err
		}
		part.Seconds, part.MaxExtraRejections = p.trial.Seconds(), p.worse
		call.Part = part
	}
	if call.ID == "" {
		call.ID = "c-" + strings.ToLower(rand.Text()[:10])
	}
	end := time.Now().Add(p.timeout)
	if !based {
		r, err := f.policyStatus(p.timeout)
		if err != nil {
			return err
		}
		call.Base = r.Number
	}
	if !f.asJSON {
		fmt.Fprintf(out, "change %s, to replace number %d\n", call.ID, call.Base)
	}
	out2 := false // it may be on the log
	send := func() error {
		_, err := f.ask(call, true)
		var s statusError
		switch {
		case err == nil:
			out2 = true
		case errors.As(err, &s) && s.status == 1 && strings.HasPrefix(s.text, "no node can answer"), errors.As(err, &s) && strings.HasSuffix(s.text, "does not lead"):
			out2 = true // an answer may have been lost
		case !out2:
			return err
		}
		return nil
	}
	if err := send(); err != nil {
		return err
	}
	return f.await(out, call.ID, end, send)
}

// await waits for the end of a change; again proposes it once more where nobody knows of it.
func (f *fleetCalls) await(out io.Writer, id string, end time.Time, again func() error) error {
	step := ""
	for ; ; time.Sleep(policyTry) {
		left := time.Until(end)
		if left <= 0 {
			return statusError{statusUnknown, fmt.Sprintf("how change %s ended isn't known yet: spurwinchctl policy wait %s tells later", id, id)}
		}
		r, err := f.policyStatus(left)
		if err != nil {
			return err
		}
		for _, e := range r.Ended {
			if e.ID != id {
				continue
			}
			if f.asJSON {
				raw, err := json.MarshalIndent(struct {
					ID     string `json:"id"`
					Number uint64 `json:"number"`
					Taken  bool   `json:"in_force"`
					Why    string `json:"why"`
				}{e.ID, e.Number, e.Accepted, e.Reason}, "", "  ")
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s\n", raw)
			}
			if !e.Accepted {
				return statusError{1, fmt.Sprintf("change %s, number %d, was given up: %s", id, e.Number, e.Reason)}
			}
			if !f.asJSON {
				fmt.Fprintf(out, "number %d is in force: %s\n", e.Number, e.Reason)
			}
			return nil
		}
		switch {
		case r.Change != nil && r.Change.ID == id:
			if now := fmt.Sprintf("number %d: %s", r.Change.Number, r.Change.Step); now != step && !f.asJSON {
				step = now
				fmt.Fprintln(out, step)
			}
		case again != nil:
			if err := again(); err != nil {
				return err
			}
		default:
			return statusError{1, fmt.Sprintf("no change %q is on its way, and none of the newest had this id", id)}
		}
	}
}

func (f *fleetCalls) show(out io.Writer, r *agent.PolicyReply, text func(io.Writer, *agent.PolicyReply)) error {
	if !f.asJSON {
		text(out, r)
		return nil
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		fmt.Fprintf(out, "%s\n", raw)
	}
	return err
}

func showPolicy(w io.Writer, r *agent.PolicyReply) {
	if r.Number == 0 {
		fmt.Fprintln(w, "number 0: none was decided yet, each node goes by its own files")
	} else {
		fmt.Fprintf(w, "number %d is in force, digest %s\n", r.Number, r.Digest)
	}
	if c := r.Change; c != nil {
		fmt.Fprintf(w, "on its way: change %s, number %d, digest %s: %s\n", c.ID, c.Number, c.Digest, c.Step)
	}
	serving := 0
	for _, m := range r.Members {
		if m.Live && m.MayServe && m.ServedNumber == r.Number {
			serving++
		}
	}
	fmt.Fprintf(w, "%d of %d members serve by it\n", serving, len(r.Members))
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, m := range r.Members {
		switch {
		case !m.Live:
			fmt.Fprintf(t, "%s\tout of the view\t\n", m.Name)
		case !m.HasStatus:
			fmt.Fprintf(t, "%s\tnot heard yet\t\n", m.Name)
		case !m.MayServe:
			fmt.Fprintf(t, "%s\tserves nothing\t%s\n", m.Name, m.Answer)
		case m.ServedNumber != r.Number || m.Answer != "" && m.Answer != "yes":
			fmt.Fprintf(t, "%s\tserves by number %d\t%s\n", m.Name, m.ServedNumber, m.Answer)
		}
	}
	t.Flush()
}

func showHistory(w io.Writer, r *agent.PolicyReply) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "number\tchange\tended\twhy")
	for _, e := range r.Ended {
		how := "given up"
		if e.Accepted {
			how = "in force"
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", e.Number, e.ID, how, e.Reason)
	}
	t.Flush()
}
