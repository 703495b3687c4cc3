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

	// mu guards command and ended.
	mu sync.Mutex
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
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Stop sends SIGTERM, and kills the process if it has not exited after grace. It reports
// whether the process exited in time.
func (p *Process) Stop(grace time.Duration) (inTime bool) {
	p.Signal(syscall.SIGTERM)
	return p.wait(grace)
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
