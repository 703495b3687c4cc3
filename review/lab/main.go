// Command lab shows the cases of the review. It starts the programs of the deploy file as separate processes on loopback
// addresses, beside stand-ins of clients, workers, the operator and the platform, and judges what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 117 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab) (broken bool, err error){
	"leaving":   leavingCase,
	"lateorder": lateOrderCase,
	"leak":      leakCase,
	"oddbeat":   oddBeatCase,
	"badconfig": badConfigCase,
}

func main() {
	name := flag.String("case", "", "the case to run")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		slices.Sort(names)
		fmt.Fprintf(os.Stderr, "no case is called %q; there are %v\n", *name, names)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, *record))
}

// runCase runs one case and returns the exit code. All processes have ended when it returns.
func runCase(run func(l *lab) (bool, error), record string) int {
	l, err := newLab(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer l.close()
	// The programs end with this process.
	time.AfterFunc(maxTime, func() {
		l.note("the case could not run: it has not ended within %v", maxTime)
		_ = os.RemoveAll(l.folder)
		os.Exit(exitNotRun)
	})
	broken, err := run(l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		l.note("result: the rule was broken")
		return exitBroken
	}
	l.note("result: the rule was kept")
	return exitHeld
}
