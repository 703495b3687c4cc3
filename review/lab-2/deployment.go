package main

import (
	"bytes"
	"encoding/json"
	"errors"
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

// The bounds of the sheet of kerlouan-capsules that the settings and the checks use.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 3 * time.Second
	drainBound  = 2 * time.Second
	configApply = 2 * time.Second
	grace       = 8 * time.Second
)

var zones = []string{"kerlouan-hall", "lesneven-annex", "plouguerneau-vault"}

// ports are the ports of all machines of a run.
type ports struct{ callers, ready, operators, control, peers, entryMetrics, controlMetrics, worker int }

// deployment is the machines of a run and their processes.
type deployment struct {
	*record
	trouble  bool
	dir      string
	network  string
	ports    ports
	machines []*machine
}

// machine is one edge machine. Its control is nil on a machine without a disk.
type machine struct {
	name, ip, zone string
	entry, control *process
	// bind is where control listens behind link, if links are proxied.
	bind string
	link *packetProxy
	live net.Listener
}

// process is one program of the deploy file.
type process struct {
	name, program, settings, log string
	// data is the folder of its files, empty if it has none.
	data string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newDeployment makes three machines with a disk and three without one, spread over the zones. It starts
// nothing.
func newDeployment(r *record, trouble bool) (*deployment, error) {
	for _, program := range []string{"target/rosemary-entry", "target/rosemary-control"} {
		if _, err := os.Stat(program); err != nil {
			return nil, fmt.Errorf("build of the deploy file: %w", err)
		}
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, trouble: trouble, dir: dir}
	if err := d.reserveNetwork(); err != nil {
		return nil, err
	}
	const core, others = 3, 3
	for i := range core + others {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: d.address(1, i), zone: zones[i%len(zones)]}
		d.machines = append(d.machines, m)
	}
	for i, m := range d.machines {
		if m.entry, err = d.newProcess(m, "entry", ""); err != nil {
			return nil, err
		}
		if i >= core {
			continue
		}
		if m.control, err = d.newProcess(m, "control", filepath.Join(dir, m.name)); err != nil {
			return nil, err
		}
	}
	r.linef("deployment: network %s.0.0, disruption %v", d.network, trouble)
	return d, nil
}

// address returns the address of a host in a part of the network.
func (d *deployment) address(part, host int) string {
	return fmt.Sprintf("%s.%d.%d", d.network, part, host+1)
}

// reserveNetwork chooses a loopback network and ports that are free there.
func (d *deployment) reserveNetwork() error {
	const tries = 20
	for range tries {
		d.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		base := 20000 + 10*rand.IntN(1000)
		d.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
		if d.free(base, base+7) {
			return nil
		}
	}
	return errors.New("no free ports found")
}

// free reports whether nothing listens on the ports of the first machine.
func (d *deployment) free(first, last int) bool {
	for port := first; port <= last; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.address(1, 0), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)
var cloudSection = regexp.MustCompile(`(?s)\{\{#CloudApi\.Address\}\}.*?\{\{/CloudApi\.Address\}\}`)

// newProcess renders the template of a role as the platform does.
func (d *deployment) newProcess(m *machine, role, data string) (*process, error) {
	template, err := os.ReadFile(filepath.Join("deploy", role+".json"))
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	values := map[string]any{
		"NodeName": m.name, "Region": "leon-coast", "Zone": m.zone, "Ip": m.ip, "DataDir": data, "Bootstrap": true, "SeedNodes": d.seeds(),
		"InternalPorts.0": d.ports.control, "InternalPorts.1": d.ports.peers, "HeartbeatMs": heartbeat.Milliseconds(),
		"Listen.Frontend": at(d.ports.callers), "Listen.Readiness": at(d.ports.ready), "Listen.ControlPlane": at(d.ports.operators),
		"Bounds.RevokeMs": 5000, "Bounds.EvacuateMs": 5000, "Bounds.GraceS": int(grace.Seconds()), "Bounds.CatchUpS": 4, "Bounds.ReleaseMs": 4000,
		"Bounds.RetryBudgetRatio": 0.2, "Bounds.RetryMinExtra": 112, "Bounds.RetryWindowS": 10,
	}
	rendered := placeholder.ReplaceAllFunc(cloudSection.ReplaceAll(template, nil), func(p []byte) []byte {
		found := placeholder.FindSubmatch(p)
		text, err := json.Marshal(values[string(found[1])])
		if err != nil {
			return nil
		}
		if len(found[2]) == 0 {
			return bytes.Trim(text, `"`)
		}
		return text
	})
	// The ports of metrics are fixed in the templates.
	rendered = bytes.ReplaceAll(rendered, []byte(":9464"), fmt.Appendf(nil, ":%d", d.ports.entryMetrics))
	rendered = bytes.ReplaceAll(rendered, []byte(":9465"), fmt.Appendf(nil, ":%d", d.ports.controlMetrics))
	settings := filepath.Join(d.dir, m.name+"-"+role+".json")
	p := &process{name: m.name + " " + role, program: "target/rosemary-" + role, settings: settings, log: filepath.Join(d.dir, m.name+"-"+role+".log"), data: data}
	return p, os.WriteFile(settings, rendered, 0o600)
}

// seeds returns the addresses at which the machines with a disk serve operators.
func (d *deployment) seeds() []string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("%s:%d", d.address(1, i), d.ports.operators))
	}
	return out
}

// proxyLinks puts a proxy between each control and the other processes. It must be called before start.
func (d *deployment) proxyLinks() error {
	for i, m := range d.machines {
		if m.control == nil {
			continue
		}
		m.bind = d.address(4, i)
		raw, err := os.ReadFile(m.control.settings)
		if err != nil {
			return err
		}
		raw = bytes.Replace(raw, []byte(`"node": {`), fmt.Appendf(nil, `"node": {"bind_ip": %q, `, m.bind), 1)
		if err := os.WriteFile(m.control.settings, raw, 0o600); err != nil {
			return err
		}
		known, bound := fmt.Sprintf("%s:%d", m.ip, d.ports.control), fmt.Sprintf("%s:%d", m.bind, d.ports.control)
		if m.link, err = newPacketProxy(known, bound); err != nil {
			return err
		}
		if m.live, err = forwardTCP(known, bound); err != nil {
			return err
		}
	}
	return nil
}

// start starts all processes.
func (d *deployment) start() error {
	for _, m := range d.machines {
		for _, p := range []*process{m.control, m.entry} {
			if p == nil {
				continue
			}
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = cmd, ended
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-ended
}

// close ends all processes. The folder with their logs goes too, unless KEEP is set.
func (d *deployment) close() {
	for _, m := range d.machines {
		for _, p := range []*process{m.entry, m.control} {
			if p != nil {
				p.kill()
			}
		}
		if m.link != nil {
			m.link.close()
			_ = m.live.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// lastLine returns the last line of the log of a process with a text.
func (p *process) lastLine(text string) string {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return ""
	}
	last := ""
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			last = line
		}
	}
	return last
}

// residentBytes returns the memory that the process uses, zero if it does not run.
func (p *process) residentBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// logHas returns how often a text stands in the log of a process.
func (p *process) logHas(text string) int {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return 0
	}
	return strings.Count(string(raw), text)
}
