package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	opTime   = 25 * time.Second // for an operator's command
	smallFDs = 600
	roomFDs  = 1000 // that a policy needs which small nodes have no room for
)

func (n *proc) sockets() int {
	if n.lab.s.Fleet.Small > 0 && n.i >= n.lab.o.Nodes-n.lab.s.Fleet.Small {
		return smallFDs
	}
	return 1024
}

// admitted makes events of what a node tells of requests: ID=NUMBER=HOW=MICROSECONDS, by its own clock, which says now.
func (n *proc) admitted(list string, now int64) {
	at := time.Since(n.lab.begin).Seconds()
	for _, word := range strings.Fields(list) {
		p := strings.Split(word, "=")
		if len(p) != 4 {
			continue
		}
		number, err1 := strconv.ParseUint(p[1], 10, 64)
		when, err2 := strconv.ParseInt(p[3], 10, 64)
		if err1 != nil || err2 != nil {
			continue
		}
		n.lab.note(Event{Kind: KindAdmission, ID: p[0], Node: n.name, Zone: n.zone, Number: number, Detail: p[2], At: max(1e-6, at-float64(now-when)/1e6)})
	}
}

// document is a policy as it is proposed in the laboratory, each another one.
func (lab *Lab) document(kind string, k int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# proposal %d\nattempts = %d\ncome_again = \"1s\"\n", k, 3+k%2)
	if kind == "newer" {
		b.WriteString("over_share_worth = 0.1\n")
	}
	for _, c := range Classes {
		without := "refuse"
		if c.Name == "gold" {
			without = "ground"
		}
		fmt.Fprintf(&b, "[[class]]\nname = %q\naim = \"%.1fs\"\npatience = \"%.0fs\"\nmessage_aim = \"150ms\"\nworth = %v\nwithout = %q\n", c.Name, c.SetupObjective, c.Deadline, c.Priority, without)
	}
	b.WriteString("[ground]\nattempts = 2\npatience = \"2s\"\n")
	if kind == "room" {
		fmt.Fprintf(&b, "[needs]\ndescriptors = %d\n", roomFDs)
	}
	if kind == "bad" {
		b.WriteString("[ground2]\n")
	}
	return b.String()
}

// operate has an operator give commands, as processes of their own, one after another.
func (lab *Lab) operate(x Step) {
	lab.wait.Add(1)
	go func() {
		defer lab.wait.Done()
		for range max(1, x.Times) {
			if lab.over() {
				return
			}
			lab.command(x)
		}
	}()
}

// operatorsFiles writes the operators' list of nodes and key: their calls go to the nodes themselves.
func (lab *Lab) operatorsFiles() error {
	var text strings.Builder
	for _, n := range lab.nodes {
		lab.writeNode(&text, n, n.fleet)
	}
	nodes, key := lab.operatorsPaths()
	return errors.Join(os.WriteFile(nodes, []byte(text.String()), 0o600), os.WriteFile(key, lab.key, 0o600))
}

func (lab *Lab) operatorsPaths() (nodes, key string) {
	return filepath.Join(lab.o.Dir, "operators.toml"), filepath.Join(lab.o.Dir, "operators.key")
}

// command runs spurwinchctl policy once, and writes down how it ended.
func (lab *Lab) command(x Step) {
	k := lab.ops.Add(1)
	id := fmt.Sprintf("op-%d", k)
	nodes, key := lab.operatorsPaths()
	path := filepath.Join(lab.o.Dir, id+".toml")
	err := os.WriteFile(path, []byte(lab.document(x.Doc, k)), 0o600)
	if err != nil {
		lab.note(Event{Kind: KindCount, Detail: "out of descriptors", Value: 1})
		return
	}
	verb := x.Do
	args := []string{"policy", verb, "--nodes", nodes, "--key-file", key, "--json"}
	switch verb {
	case "propose":
		args = append(args, path, "--id", id, "--timeout", opTime.String())
		if x.Part != "" {
			args = append(args, "--part", x.Part, "--for", "3s", "--worse", "0.5")
		}
	case "rollback":
		args = append(args, "1", "--id", id, "--timeout", opTime.String())
	}
	ctx, stop := context.WithTimeout(context.Background(), opTime+15*time.Second)
	defer stop()
	if x.Dies > 0 {
		ctx, stop = context.WithTimeout(ctx, time.Duration(x.Dies))
		defer stop()
	}
	cmd := exec.CommandContext(ctx, filepath.Join(filepath.Dir(lab.o.Program), "spurwinchctl"), args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out, said bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &said
	began := time.Since(lab.begin).Seconds()
	_ = cmd.Run() // how it ended is read from its exit code below
	var answer struct {
		Number uint64 `json:"number"`
	}
	json.Unmarshal(out.Bytes(), &answer)
	e := Event{Kind: KindCommand, ID: id, Node: "operator", Detail: verb, Number: answer.Number, Value: began, Result: "unknown"}
	if verb == "rollback" {
		e.Detail = "propose"
	}
	switch code := cmd.ProcessState.ExitCode(); {
	case code == 0 && verb == "status":
		e.Result = "ok"
	case code == 0:
		e.Result = "taken"
	case code == 1 && strings.Contains(said.String(), "was given up"):
		e.Result = "given up"
	case code == 1 || code == 2:
		e.Result = "refused"
	}
	lab.note(e)
	if e.Result != "taken" && e.Result != "ok" {
		lab.note(Event{Kind: "log", Node: "operator", ID: id, Detail: strings.TrimSpace(said.String())})
	}
}
