package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one program of the deployment. Only it is ever signalled, by its id.
type Process struct {
	Name string
	path string
	args []string
	log  string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// NewProcess describes a process that writes its output to the file log.
func NewProcess(name, log, path string, args ...string) *Process {
	return &Process{Name: name, path: path, args: args, log: log}
}

// Start runs the program unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }()
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

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// Stop asks the process to end, and kills it after grace. It reports whether it ended by
// itself.
func (p *Process) Stop(grace time.Duration) (inTime bool) {
	p.Signal(syscall.SIGTERM)
	return p.wait(grace)
}

// Kill ends the process at once.
func (p *Process) Kill() { p.wait(0) }

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
	}
	return inTime
}
