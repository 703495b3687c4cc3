package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/soak"
)

// The ports of a deployment, the same on all machines.
const (
	portFrontend  = 18227
	portReadiness = 18220
	portOperators = 18229
	portControl   = 17340
	portPeers     = 17355
	portWorker    = 18080
)

// The bounds of the sheet of kerlouan-capsules.
const (
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
	grace      = 8 * time.Second
	heartbeat  = 1200 * time.Millisecond
)

var zones = []string{"kerlouan-hall", "lesneven-annex", "plouguerneau-vault"}

// lab is one deployment on a loopback network of its own.
type lab struct {
	dir     string
	network int
	held    net.Listener
	trouble bool
	started time.Time
	// cuts are set before the start if machines are to be cut from each other. Their processes then listen at
	// addresses of their own, behind proxies for packets.
	cuts    *soak.Cuts
	proxied map[int]bool

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closers   []func()
	// closed is set at the end; no process starts after that.
	closed bool
}

// newLab chooses an unused loopback network and opens the record.
func newLab(record string) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-lab-3-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, record: f, trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	for range 50 {
		l.network = 20 + rand.IntN(200)
		if l.held, err = net.Listen("tcp", l.addr(0, 0, portWorker)); err == nil {
			l.note("disruption: %v", l.trouble)
			return l, nil
		}
	}
	return nil, fmt.Errorf("no loopback network is free: %w", err)
}

// ip returns the address of a machine.
func (l *lab) ip(part, host int) string { return fmt.Sprintf("127.%d.%d.%d", l.network, part, host+1) }

func (l *lab) addr(part, host, port int) string { return fmt.Sprintf("%s:%d", l.ip(part, host), port) }

// note writes a line to the record, with the time since the start.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins, and removes the folder.
func (l *lab) close() {
	l.mu.Lock()
	l.closed = true
	processes, closers := l.processes, l.closers
	l.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, f := range closers {
		f()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Close()
	l.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs are in", l.dir)
	}
}

// atEnd has f called at the end.
func (l *lab) atEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

// process is a program of the project that runs in this deployment.
type process struct {
	l    *lab
	name string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts the program once more.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.l.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	p.l.mu.Lock()
	if p.l.closed {
		err = errors.New("the case has ended")
	} else {
		err = cmd.Start()
	}
	p.l.mu.Unlock()
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	p.cmd, p.done = cmd, done
	p.l.note("%s started, pid %d", p.name, cmd.Process.Pid)
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

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// seeds are the addresses of control on the first machines.
func (l *lab) seeds() []string {
	return []string{l.addr(1, 0, portOperators), l.addr(1, 1, portOperators), l.addr(1, 2, portOperators)}
}

// newProcess writes the settings that the templates of the deploy file give, and returns the process.
func (l *lab) newProcess(role string, host int, plugin map[string]any) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, host+1)
	node := map[string]string{"name": fmt.Sprintf("edge-%d", host+1), "region": "leon-coast", "zone": zones[host%len(zones)]}
	if l.cuts != nil {
		node["bind_ip"] = l.ip(partBind, host)
		if err := l.proxy(host); err != nil {
			return nil, err
		}
	}
	raw, err := json.Marshal(map[string]any{
		"node": node,
		"tls":  map[string]string{"trust": "network"}, "log": map[string]string{"level": "info"},
		"operator": l.addr(1, host, map[string]int{"entry": 9464, "control": 9465}[role]),
		"plugins":  map[string]any{"platform." + role: plugin},
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	p := &process{l: l, name: name, args: []string{"target/rosemary-" + role, "--settings", file}}
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	return p, nil
}

// partBind is the third byte of the addresses at which processes listen behind proxies.
const partBind = 6

// proxy starts the proxies between a machine and the others.
func (l *lab) proxy(host int) error {
	if l.proxied[host] {
		return nil
	}
	if l.proxied == nil {
		l.proxied = map[int]bool{}
	}
	l.proxied[host] = true
	for _, port := range []uint16{portControl, portPeers} {
		at := func(part int) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(l.ip(part, host)), port) }
		p, err := soak.NewPacketProxy(at(1), at(partBind), l.cuts)
		if err != nil {
			return err
		}
		l.atEnd(p.Close)
	}
	liveness, err := soak.NewProxy(l.addr(1, host, portControl), l.addr(partBind, host, portControl))
	if err != nil {
		return err
	}
	l.atEnd(liveness.Close)
	return nil
}

// cut cuts a machine from the others, or joins it again.
func (l *lab) cut(host, machines int, join bool) {
	var others []netip.Addr
	for other := range machines {
		if other != host {
			others = append(others, netip.MustParseAddr(l.ip(partBind, other)))
		}
	}
	self := []netip.Addr{netip.MustParseAddr(l.ip(partBind, host))}
	change := l.cuts.Cut
	if join {
		change = l.cuts.Heal
	}
	change(self, others)
	change(others, self)
}

// newControl returns control of the machine with a disk.
func (l *lab) newControl(host int) (*process, error) {
	return l.newProcess("control", host, map[string]any{
		"seeds": l.seeds(), "control_port": fmt.Sprint(portControl), "operators": l.addr(1, host, portOperators),
		"data": filepath.Join(l.dir, fmt.Sprintf("disk-%d", host+1)), "found": true, "revoke_within": "5000ms", "evacuate_within": "5000ms",
		"catch_up": "4s", "heartbeat": "1200ms",
	})
}

// newEntry returns the entry of a machine.
func (l *lab) newEntry(host int) (*process, error) {
	return l.newProcess("entry", host, map[string]any{
		"seeds": l.seeds(), "control_port": fmt.Sprint(portControl), "callers": l.addr(1, host, portFrontend), "ready": l.addr(1, host, portReadiness),
		"peers": l.addr(1, host, portPeers), "revoke_within": "5000ms", "evacuate_within": "5000ms", "grace": "8s", "release_within": "4000ms",
		"retry_ratio": "0.2", "retry_extra": "112", "retry_window": "10s",
	})
}

// startAll starts control on three machines and entries on the given number of machines.
func (l *lab) startAll(entries int) (control, entry []*process, err error) {
	for host := range max(3, entries) {
		for _, role := range []string{"control", "entry"} {
			if role == "control" && host >= 3 || role == "entry" && host >= entries {
				continue
			}
			var p *process
			if role == "control" {
				p, err = l.newControl(host)
				control = append(control, p)
			} else {
				p, err = l.newEntry(host)
				entry = append(entry, p)
			}
			if err == nil {
				err = p.start()
			}
			if err != nil {
				return nil, nil, err
			}
		}
	}
	return control, entry, nil
}

// controlClient makes one call a connection, as workers and the operator do, and follows two redirects.
var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callControl makes one call to control of a machine, records it and returns the status, 0 for none.
func (l *lab) callControl(method string, machine int, path string, body any) (status int, content []byte) {
	sent := time.Now()
	status, content = callAt(method, l.addr(1, machine, portOperators), path, body)
	l.note("call %s %s to machine %d, %d ms: status %d", method, path, machine+1, time.Since(sent).Milliseconds(), status)
	return status, content
}

// callAt makes one call to an address and returns the status, 0 for none.
func callAt(method, addr, path string, body any) (status int, content []byte) {
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		raw, _ = json.Marshal(b)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	content, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, content
}

// publish sends a configuration to the machines in turn until one acknowledges it.
func (l *lab) publish(config map[string]any) error {
	for try := range 60 {
		status, answer := l.callControl(http.MethodPut, try%3, "/api/config", config)
		if status == http.StatusOK {
			l.note("configuration %v acknowledged by machine %d", config["Version"], try%3+1)
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("configuration refused: %s", answer)
		}
		time.Sleep(250 * time.Millisecond)
	}
	return errors.New("no machine acknowledged the configuration")
}

// await polls until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// ready reports whether a machine says that it is ready.
func (l *lab) ready(host int) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + l.addr(1, host, portReadiness) + "/api/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// configuration returns a configuration with one service, which bears coldPerS requests a second while it is cold.
func configuration(version int, coldPerS float64, routes ...map[string]any) map[string]any {
	services := []map[string]any{{"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 130, "Protocol": "h1", "Tls": false, "WarmupS": 3.0, "WarmupPerS": coldPerS}}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "parish", "ApiKeys": []string{key}, "Priority": 1}},
	}
}

// key is the client's key.
const key = "n2ctnfzs989anu6wsjnb"

func route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"Name": name, "Host": "desk.example", "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": 1000, "TargetLatencyMs": 150, "Priority": 2,
		"Service": "desk", "MaxAttempts": 2, "Anonymous": false, "SessionAffinity": false, "StreamResume": false,
	}
}
