// Command standin-2 plays the platform, the servers and the callers for the scripts of the second review. It starts routers
// of the project as separate processes, sends them requests and writes what was sent, answered and run to a record.
//
// The exit code is 1 when the rule of the case was broken, 0 when it held, and 2 when the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"uploads": runUploads,
}

func main() { os.Exit(run()) }

func run() int {
	binary := flag.String("router", "", "the router's program")
	name := flag.String("case", "", "the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	recordFile := flag.String("record", "record.txt", "the file for the record")
	length := flag.Bool("length", false, "send bodies with a length in place of chunks")
	flag.Parse()
	play, known := cases[*name]
	if !known || *binary == "" {
		fmt.Fprintln(os.Stderr, "usage: standin-2 -router FILE -case NAME [-trouble=false] [-record FILE]")
		return exitNotRun
	}
	w, err := newWorld(*binary, *recordFile, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.length = *length
	broken, err := play(w)
	switch {
	case err != nil:
		w.record("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.record("result: the rule was broken")
		return exitBroken
	}
	w.record("result: the rule held")
	return exitHeld
}
