package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a program of the deployment that can be started and ended repeatedly. Signals
// go only to the process that Start has started, by its process ID.
type Process struct {
	Name string
	path string
	args []string
	// log is the file that the output is appended to.
	log string
	// Running, if not nil, is called with true before the program starts and with false after it
	// was ended. It must not call methods of the process.
	Running func(bool)

	// mu guards the fields below.
	mu sync.Mutex
	// suspended is when SIGSTOP was sent last, and continued when SIGCONT was sent last.
	suspended, continued time.Time
	// command is nil while the program does not run.
	command *exec.Cmd
	// ended is closed when command has exited.
	ended chan struct{}
}

// NewProcess returns a process, not started, that appends its output to the file log.
func NewProcess(name, log, path string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, log: log}
}

// Start starts the program unless it runs already.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log of process")
	}
	defer func() { _ = out.Close() }()
	if p.Running != nil {
		p.Running(true)
	}
	c := exec.Command(p.path, p.args...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	p.suspended, p.continued = time.Time{}, time.Time{}
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		p.suspended = time.Now()
	case syscall.SIGCONT:
		p.continued = time.Now()
	}
	_ = p.command.Process.Signal(s)
}

// Later is a signal that is sent some time after SIGTERM.
type Later struct {
	After  time.Duration
	Signal syscall.Signal
}

// Stop sends SIGTERM and the later signals, and kills the process if it has not exited after grace. It
// reports whether the process exited in time, or did not because it was suspended.
func (p *Process) Stop(grace time.Duration, later ...Later) (inTime bool) {
	began := time.Now()
	p.mu.Lock()
	c := p.command
	p.mu.Unlock()
	if c == nil {
		return true
	}
	// The signals go to this start of the program only. It may have exited.
	_ = c.Process.Signal(syscall.SIGTERM)
	for _, l := range later {
		defer time.AfterFunc(l.After, func() { _ = c.Process.Signal(l.Signal) }).Stop()
	}
	return p.wait(grace) || p.suspendedSince(began)
}

// suspendedSince reports whether the process was suspended at any time since then.
func (p *Process) suspendedSince(then time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspended.After(p.continued) || p.continued.After(then)
}

// Kill kills the process and waits for its exit.
func (p *Process) Kill() { p.wait(0) }

// wait waits for the exit of the process and kills it after grace, also if it is suspended.
// It reports whether the process exited in time.
func (p *Process) wait(grace time.Duration) bool {
	p.mu.Lock()
	c, ended := p.command, p.ended
	p.mu.Unlock()
	if c == nil {
		return true
	}
	inTime := true
	select {
	case <-ended:
	case <-time.After(grace):
		inTime = false
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		<-ended
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == c {
		p.command = nil
		if p.Running != nil {
			p.Running(false)
		}
	}
	return inTime
}

// CheckEnd checks that a process ended by itself after SIGTERM, before its grace time did.
func (c *Checker) CheckEnd(now time.Time, process string, grace time.Duration, inTime bool) {
	if !inTime {
		c.AddFinding(now, PromiseEnds, "%s still ran %v after SIGTERM and was killed", process, grace)
	}
}
