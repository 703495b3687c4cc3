// Command lab-3 runs the script cases of the third review: it starts the project's own programs on loopback
// addresses beside stand-ins of clients, workers and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest bounds the time of a case.
const longest = 100 * time.Second

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(l *lab) (broken bool, err error){
	"drain":  drainCase,
	"path":   pathCase,
	"cold":   coldCase,
	"herd":   herdCase,
	"beat":   beatCase,
	"back":   backCase,
	"revoke": revokeCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE RECORD-FILE, in the repository")
		return exitFailed
	}
	l, err := newLab(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return exitFailed
	}
	defer l.close()
	ended := make(chan error, 1)
	broken := false
	go func() {
		var err error
		broken, err = cases[os.Args[1]](l)
		ended <- err
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case s := <-signals:
		l.note("the case was ended by %v", s)
		return exitFailed
	case <-time.After(longest):
		l.note("the case took longer than %v", longest)
		return exitFailed
	}
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		l.note("result: the rule was broken")
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}
