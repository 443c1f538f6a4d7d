//go:build review2

// Command review-2 plays the cases of the second review. Its arguments are the number of the case and the folder of the
// record. It ends with status 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// trouble reports whether the disruption is to happen.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*record) int{}

func main() {
	os.Exit(play())
}

func play() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return couldNot
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	defer func() {
		if cause := recover(); cause != nil {
			rec.add("could not run: %v", cause)
			fmt.Fprintln(os.Stderr, "could not run:", cause)
			status = couldNot
		}
	}()
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	status = cases[os.Args[1]](rec)
	rec.add("status %d", status)
	return status
}
