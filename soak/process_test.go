package soak

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopper, as the first argument, has the test program end at the signal that the second one numbers, and
// ignore the others.
const stopper = "stopper"

func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == stopper {
		endAt(os.Args[2])
	}
	os.Exit(m.Run())
}

// endAt waits for a signal and ends the program.
func endAt(number string) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	fmt.Println("ready")
	for s := range signals {
		if n, ok := s.(syscall.Signal); ok && strconv.Itoa(int(n)) == number {
			os.Exit(0)
		}
	}
}

// Processes that were killed at the end of their grace time went unnoticed.
func TestProcessIsKilledAtTheEndOfItsGrace(t *testing.T) {
	const (
		short, long = 300 * time.Millisecond, 20 * time.Second
		soon        = 50 * time.Millisecond
		none        = syscall.Signal(0)
	)
	tests := map[string]struct {
		endsAt  syscall.Signal
		grace   time.Duration
		later   []Later
		suspend bool
		resume  bool
		inTime  bool
	}{
		"it ignores the signals":             {endsAt: none, grace: short, later: []Later{{soon, syscall.SIGTERM}, {2 * soon, syscall.SIGHUP}}},
		"it ends at the first signal":        {endsAt: syscall.SIGTERM, grace: long, inTime: true},
		"it ends at a later signal":          {endsAt: syscall.SIGHUP, grace: long, later: []Later{{soon, syscall.SIGHUP}}, inTime: true},
		"it is suspended for a while":        {endsAt: none, grace: short, suspend: true, resume: true, inTime: true},
		"it is suspended until it is killed": {endsAt: none, grace: short, suspend: true, inTime: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			program, err := os.Executable()
			is.NoErr(err)
			log := filepath.Join(t.TempDir(), "log")
			p := NewProcess("p", log, program, stopper, strconv.Itoa(int(test.endsAt)))
			is.NoErr(p.Start())
			defer p.Kill()
			for content := ""; content == ""; time.Sleep(soon / 10) {
				raw, err := os.ReadFile(log)
				is.NoErr(err)
				content = string(raw)
			}
			if test.suspend {
				time.AfterFunc(soon, func() { p.Signal(syscall.SIGSTOP) })
			}
			if test.resume {
				time.AfterFunc(2*soon, func() { p.Signal(syscall.SIGCONT) })
			}
			is.Equal(p.Stop(test.grace, test.later...), test.inTime)
			is.Equal(p.command, nil)
		})
	}
}
