// Command review-2 runs the scripts of the second review. Each case starts the programs of the deploy
// file as separate processes on loopback addresses, beside stand-ins of clients, workers and the platform,
// and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment it does the same without the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun

	// longestRun bounds one run.
	longestRun = 110 * time.Second
)

// cases are the cases by name. A case returns what broke the rule, empty if it held.
var cases = map[string]func(ctx context.Context, d *deployment) (broken string, err error){
	"unreadable-id":     unreadableID,
	"far-behind":        farBehind,
	"far-behind-routes": farBehindRoutes,
	"lost-departure":    lostDeparture,
	"many-changes":      manyChanges,
	"core-back":         coreBack,
	"silent-links":      silentLinks,
	"large-bodies":      largeBodies,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, longestRun)
	defer cancel()
	d, err := newDeployment(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.linef("could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	broken, err := cases[os.Args[1]](ctx, d)
	switch {
	case err != nil:
		record.linef("could not run: %v", err)
		return exitNotRun
	case broken == "" && ctx.Err() != nil:
		record.linef("could not run: the time of the run or a signal ended it")
		return exitNotRun
	case broken != "":
		record.linef("rule broken: %s", broken)
		return exitBroken
	}
	record.linef("rule held")
	return exitHeld
}
