//go:build review

// Command standin plays the clients, hosts and operators of the cases of this review. It is started by a case's run.sh
// from the root of the repository, with the name of the case and the path of its record.
package main

import (
	"fmt"
	"os"
)

// maxDirBytes bounds the path of the temporary folder: the node's processes find each other by a socket below it, whose
// path is at most 90 bytes long.
const maxDirBytes = 50

// scenario plays a case in a temporary folder and returns how often the rule was broken.
type scenario func(rec *record, dir string, trouble bool) (broken int)

// scenarios has each case by its name; its file adds it.
var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	if len(dir) > maxDirBytes {
		cannotRun("the temporary folder %s has a path over %d bytes", dir, maxDirBytes)
	}
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %v", os.Args[1], trouble)
	broken := scenarios[os.Args[1]](rec, dir, trouble)
	killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	if broken > 0 {
		rec.add("result: the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)
		os.Exit(1)
	}
	rec.add("result: the rule held")
	fmt.Println("the rule held")
}
