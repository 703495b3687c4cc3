// Package control is the daemon that holds the replicated state: it keeps a
// session with every entry and sidecar, brings them the configuration, and
// answers the commands of operators and processes.
package control

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	defaultLease = 3 * time.Second
	defaultGrace = 5 * time.Second
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "control", Identity: true, New: func() any {
		return &Plugin{Lease: settings.Duration(defaultLease), Grace: settings.Duration(defaultGrace)}
	}})
}

// Plugin is the control daemon as a plug-in.
type Plugin struct {
	// Listen is the address for sessions, commands and the other replicas.
	Listen settings.Addr `json:"listen" validate:"required"`
	// Data is the folder of the replica's files.
	Data string `json:"data"`
	// ID is this replica's number in Replicas. A new disk gets a new number.
	ID uint64 `json:"id" validate:"min=1"`
	// Replicas are the addresses of all replicas by number.
	Replicas map[string]settings.Addr `json:"replicas" validate:"required,min=1"`
	// Bootstrap is a JSON file with the first configuration; it counts only while
	// there is none.
	Bootstrap string `json:"bootstrap,omitempty"`
	// Lease is the time for which a heartbeat's echo permits a process to work.
	Lease settings.Duration `json:"lease"`
	// Grace is the silence after which an endpoint is dropped from the list.
	Grace settings.Duration `json:"grace"`

	server   *Server
	listener *wire.Server
	cancel   context.CancelFunc
}

var (
	_ kernel.Provisioner = (*Plugin)(nil)
	_ kernel.Runner      = (*Plugin)(nil)
)

// Provision implements kernel.Provisioner.
func (p *Plugin) Provision(h *kernel.Host) error {
	replicas, err := p.replicaAddrs()
	if err != nil {
		return err
	}
	bootstrap, err := p.readBootstrap()
	if err != nil {
		return err
	}
	id, err := wire.LoadIdentity(h.TLS)
	if err != nil {
		return err
	}
	s := &Server{
		barriers:  newBarriers(),
		clock:     h.Clock,
		log:       h.Log,
		replicas:  replicas,
		span:      p.Lease.Std(),
		bootstrap: bootstrap,
		table:     newTable(h.Clock.Now(), p.Grace.Std()),
	}
	s.store = newStore(s.table.notifyAll)
	s.node = newSingleNode(replica.ID(p.ID), s.store)
	p.server = s
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.listener, err = wire.Listen(string(p.Listen), id, &wire.Traffic{}, func(stream wire.Stream) { s.handle(ctx, stream) })
	return err
}

func (p *Plugin) replicaAddrs() (map[replica.ID]string, error) {
	out := map[replica.ID]string{}
	for key, addr := range p.Replicas {
		id, err := strconv.ParseUint(key, 10, 64)
		if err != nil || id == 0 {
			return nil, errors.Errorf("replicas: %q is no replica's number", key)
		}
		out[replica.ID(id)] = string(addr)
	}
	if _, ok := out[replica.ID(p.ID)]; !ok {
		return nil, errors.Errorf("replicas: the own number %d is missing", p.ID)
	}
	return out, nil
}

// readBootstrap reads and checks the first configuration whole.
func (p *Plugin) readBootstrap() (*config.Document, error) {
	if p.Bootstrap == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(p.Bootstrap)
	if err != nil {
		return nil, errors.Wrap(err, "read bootstrap configuration")
	}
	doc := config.NewDocument()
	if err := json.Unmarshal(raw, doc); err != nil {
		return nil, errors.Wrap(err, "parse bootstrap configuration")
	}
	if err := config.NewDocument().Check(doc.Bootstrap()); err != nil {
		return nil, errors.Wrap(err, "check bootstrap configuration")
	}
	return doc, nil
}

// Addr is the address that the daemon listens on.
func (p *Plugin) Addr() string { return p.listener.Addr() }

// Run implements kernel.Runner.
func (p *Plugin) Run(ctx context.Context) error {
	defer p.cancel()
	// The streams have to end for Serve to return.
	defer context.AfterFunc(ctx, p.cancel)()
	go p.server.runBarriers(ctx)
	go p.server.runSweeps(ctx)
	return p.listener.Serve(ctx)
}
