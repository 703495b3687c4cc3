package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of kerlouan-capsules that the settings hold and the cases check.
const (
	contactTime    = 3000 * time.Millisecond
	drainTime      = 2000 * time.Millisecond
	evacuateTime   = 5000 * time.Millisecond
	partitionBound = 5000 * time.Millisecond
	catchUpTime    = 4 * time.Second
	heartbeatTime  = 1200 * time.Millisecond
	callTimeout    = time.Second
	startupTimeout = 25 * time.Second
)

const (
	portFrontend = 8227
	portReady    = 8220
	portControl  = 8229
	portWorker   = 8080
	portPeersLow = 7340
	portPeersTop = 7355
)

var zones = []string{"kerlouan-hall", "lesneven-annex", "plouguerneau-vault"}

// settingValues are the settings of kerlouan-capsules that do not depend on the machine.
var settingValues = map[string]any{
	"Region": "leon-coast", "InternalPorts.0": portPeersLow, "InternalPorts.1": portPeersTop, "HeartbeatMs": heartbeatTime.Milliseconds(),
	"Bounds.RevokeMs": 5000, "Bounds.EvacuateMs": evacuateTime.Milliseconds(), "Bounds.GraceS": 8, "Bounds.CatchUpS": 4, "Bounds.ReleaseMs": 4000,
	"Bounds.RetryBudgetRatio": 0.2, "Bounds.RetryMinExtra": 112, "Bounds.RetryWindowS": 10,
}

// lab is a small deployment: machines with the project's programs, and stand-ins of workers.
type lab struct {
	// trouble is unset for the run without the disruption.
	trouble bool
	folder  string
	// network is the beginning of all addresses, such as "127.33.7.".
	network     string
	reservation net.Listener
	started     time.Time
	commands    map[string]string
	machines    []*machine
	workers     []*worker

	// lost is set once an answer has been lost, and ticketsUsed once a request has used tickets.
	lost, ticketsUsed bool
	// mu guards the fields above and record.
	mu     sync.Mutex
	record *os.File
}

// machine is a machine of class edge. The first one of each zone has a disk and runs control.
type machine struct {
	l              *lab
	name, ip, zone string
	entry, control *process
}

// process is one program, which can be ended and started again.
type process struct {
	path, settings, log string
	command             *exec.Cmd
	ended               chan struct{}
}

func newLab(record string, trouble bool) (*lab, error) {
	l := &lab{trouble: trouble, started: time.Now()}
	var err error
	if l.record, err = os.Create(record); err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	if l.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	for range 50 {
		l.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if l.reservation, err = net.Listen("tcp", l.network+"250:18000"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("find free addresses: %w", err)
	}
	if l.commands, err = readCommands(filepath.Join("deploy", "system.toml")); err != nil {
		return nil, err
	}
	l.note("trouble: %v", trouble)
	return l, nil
}

var roleLine = regexp.MustCompile(`(?m)^\[roles\.(\w+)\]\nrun = "([^"]+)"`)

// readCommands returns the command of each role of the deploy file.
func readCommands(file string) (map[string]string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the deploy file: %w", err)
	}
	commands := map[string]string{}
	for _, m := range roleLine.FindAllStringSubmatch(string(raw), -1) {
		commands[m[1]] = m[2]
	}
	if commands["entry"] == "" || commands["control"] == "" {
		return nil, fmt.Errorf("%s has no role entry or control", file)
	}
	return commands, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (l *lab) close() {
	for _, m := range l.machines {
		for _, p := range []*process{m.entry, m.control} {
			if p != nil {
				p.kill()
			}
		}
	}
	for _, w := range l.workers {
		w.end()
	}
	_ = l.reservation.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	}
	_ = l.record.Close()
}

// seeds are the addresses of control on the machines with a disk.
func (l *lab) seeds() []string {
	var out []string
	for i := range zones {
		out = append(out, fmt.Sprintf("%s%d:%d", l.network, i+1, portControl))
	}
	return out
}

// addMachines adds machines, spread over the zones. The first three have a disk.
func (l *lab) addMachines(n int) error {
	for range n {
		i := len(l.machines)
		m := &machine{l: l, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s%d", l.network, i+1), zone: zones[i%len(zones)]}
		m.entry = m.newProcess("entry")
		if i < len(zones) {
			m.control = m.newProcess("control")
		}
		if err := m.writeSettings(true); err != nil {
			return err
		}
		l.machines = append(l.machines, m)
	}
	return nil
}

func (m *machine) newProcess(role string) *process {
	base := filepath.Join(m.l.folder, m.name+"-"+role)
	return &process{path: strings.Fields(m.l.commands[role])[0], settings: base + ".json", log: base + ".log"}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)

// writeSettings renders the templates of the deploy folder as the platform does.
func (m *machine) writeSettings(bootstrap bool) error {
	values := map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Ip": m.ip, "SeedNodes": m.l.seeds(), "Bootstrap": bootstrap,
		"Listen.Frontend":     fmt.Sprintf("%s:%d", m.ip, portFrontend),
		"Listen.Readiness":    fmt.Sprintf("%s:%d", m.ip, portReady),
		"Listen.ControlPlane": fmt.Sprintf("%s:%d", m.ip, portControl),
		"DataDir":             filepath.Join(m.l.folder, m.name+"-disk"),
	}
	for name, value := range settingValues {
		values[name] = value
	}
	for role, p := range map[string]*process{"entry": m.entry, "control": m.control} {
		if p == nil {
			continue
		}
		raw, err := os.ReadFile(filepath.Join("deploy", role+".json"))
		if err != nil {
			return fmt.Errorf("read the template of %s: %w", role, err)
		}
		text := placeholder.ReplaceAllStringFunc(string(raw), func(found string) string {
			parts := placeholder.FindStringSubmatch(found)
			encoded, err := json.Marshal(values[parts[1]])
			if err != nil || values[parts[1]] == nil {
				return ""
			}
			if parts[2] == "" {
				return strings.Trim(string(encoded), `"`)
			}
			return string(encoded)
		})
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return fmt.Errorf("write the settings of %s: %w", m.name, err)
		}
	}
	return nil
}

// processes returns the processes of the machine.
func (m *machine) processes() []*process {
	if m.control == nil {
		return []*process{m.entry}
	}
	return []*process{m.control, m.entry}
}

// start starts the processes of the machine.
func (m *machine) start() error {
	for _, p := range m.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// kill kills the processes of the machine at once and starts them again after a short delay, as the platform does.
func (m *machine) kill(down time.Duration) error {
	for _, p := range m.processes() {
		p.kill()
	}
	m.l.note("%s: its processes were killed", m.name)
	if err := m.writeSettings(false); err != nil {
		return err
	}
	time.Sleep(down)
	m.l.note("%s: its processes are started", m.name)
	return m.start()
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log: %w", err)
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(p.path, "--settings", p.settings)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.path, err)
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// signal sends a signal to the processes of the machine.
func (m *machine) signal(s syscall.Signal) {
	for _, p := range m.processes() {
		p.signal(s)
	}
}

func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.ended
	p.command = nil
}
