// Package sidecar is the daemon beside each endpoint: it announces the endpoint
// to control, is the last gate before the engine, and relays the engine's answer.
package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// dispatchTimeout bounds the wait for the first message of a stream.
	dispatchTimeout = 5 * time.Second
	// flushTime is what the last messages need to reach their entries before the
	// connections close.
	flushTime = 500 * time.Millisecond
	// stopTimeout bounds a planned stop; an attempt has its own deadline before.
	stopTimeout = 10 * time.Minute
)

// Settings of the sidecar.
type Settings struct {
	// Listen is the address for entries. Port 0 takes any free port.
	Listen settings.Addr `json:"listen" validate:"required"`
	// Control lists the addresses of the control replicas.
	Control []settings.Addr `json:"control" validate:"required,min=1"`
	// Endpoint is the base URL of the engine or service, by IP number.
	Endpoint string `json:"endpoint" validate:"required,url"`
	// Target is the model or service that the endpoint serves.
	Target string `json:"target" validate:"required"`
	// Service is set for a plain service rather than a model engine.
	Service bool `json:"service"`
	// ChecksFence is set when the engine refuses old fencing numbers itself.
	ChecksFence bool `json:"checks_fence"`
	// Held bounds the bytes held for slow readers.
	Held stream.Limits `json:"held"`
	// ReaderTimeout ends an attempt whose reader takes nothing for so long.
	ReaderTimeout settings.Duration `json:"reader_timeout"`
	// Linger is how long a leaving endpoint still answers dispatches with a refusal,
	// so that entries have heard of it before its address is gone.
	Linger settings.Duration `json:"linger"`
	// PollEvery is the interval at which the engine's load is read.
	PollEvery settings.Duration `json:"poll_every"`
}

// ControlClient is what a sidecar needs of its session with control.
type ControlClient interface {
	// Config returns the newest configuration known.
	Config() *config.Document
	// Permission returns the proof that Config is current.
	Permission() wire.Permission
	// RenewedByControl reports whether control itself renewed the permission, so that no
	// newer sidecar has replaced this one.
	RenewedByControl() bool
	// PermissionFor returns the permission for a message to the entry named peer, and
	// ReceivePermission adopts the permission in a message of the entry.
	PermissionFor(peer string) wire.Permission
	ReceivePermission(peer string, p wire.Permission) bool
	// Announce replaces what control knows about the endpoint.
	Announce(e wire.Endpoint)
	// Do sends a command to control's leader and decodes the answer into out.
	Do(ctx context.Context, name, id string, body, out any) error
}

// Sidecar is the plug-in of the daemon.
type Sidecar struct {
	Settings

	log   hclog.Logger
	clock kernel.Clock
	node  settings.Node
	id    *wire.Identity
	// traffic counts the bytes to and from entries, controlTraffic those of control.
	traffic        *wire.Traffic
	controlTraffic *wire.Traffic
	server         *wire.Server
	control        ControlClient
	session        func(ctx context.Context) error
	gate           *gate
	orders         *orders
	budget         *stream.Budget
	engine         *engineClient
	metrics        *sidecarMetrics
}

var (
	_ kernel.Provisioner = (*Sidecar)(nil)
	_ kernel.Runner      = (*Sidecar)(nil)
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "sidecar", RequiresTLS: true, New: func() any { return New(Settings{}) }})
}

// New returns a sidecar with defaults for what s leaves empty.
func New(s Settings) *Sidecar {
	if s.Held == (stream.Limits{}) {
		s.Held = stream.Limits{Stream: 256 << 10, Account: 8 << 20, Process: 32 << 20}
	}
	if s.ReaderTimeout == 0 {
		s.ReaderTimeout = settings.Duration(30 * time.Second)
	}
	if s.Linger == 0 {
		s.Linger = settings.Duration(3 * time.Second)
	}
	if s.PollEvery == 0 {
		s.PollEvery = settings.Duration(200 * time.Millisecond)
	}
	return &Sidecar{Settings: s}
}

// Provision opens the sidecar's address and its session with control.
func (s *Sidecar) Provision(h *kernel.Host) error {
	id, err := wire.OpenIdentity(h.TLS, h.Node.Name, wire.RoleSidecar)
	if err != nil {
		return err
	}
	s.log, s.clock, s.node, s.id = h.Log, h.Clock, h.Node, id
	s.traffic, s.controlTraffic = &wire.Traffic{}, &wire.Traffic{}
	s.budget = stream.NewBudget(s.Held)
	s.engine = newEngineClient(s.Settings.Endpoint)
	s.gate = newGate(h.Node.Name, newIncarnation(h.Clock.Now()), s.Service)
	s.orders = newOrders()
	s.metrics = newMetrics(h.Metrics, s)
	s.server, err = wire.Listen(string(s.Listen), id, s.traffic, s.serve)
	if err != nil {
		return err
	}
	return s.connect(h)
}

// newIncarnation returns a number that grows with each start.
func newIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

// Addr is the address that entries reach the sidecar at.
func (s *Sidecar) Addr() string { return s.server.Addr() }

// announcement describes the endpoint as it is now.
func (s *Sidecar) announcement() wire.Endpoint {
	e := s.gate.describe(s.clock.Now())
	e.Name, e.Region, e.Zone, e.Addr = s.node.Name, s.node.Region, s.node.Zone, s.Addr()
	e.Target, e.Service, e.ChecksFence = s.Target, s.Service, s.ChecksFence
	return e
}

// Run serves entries until ctx ends. Then the endpoint leaves: it takes no new
// work, and the attempts in flight finish before Run returns.
func (s *Sidecar) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	tasks := []func(context.Context) error{s.server.Serve, s.session, s.watchEngine, s.followOrders}
	failed := make(chan error, len(tasks))
	var running sync.WaitGroup
	for _, task := range tasks {
		running.Go(func() { failed <- task(work) })
	}
	var err error
	select {
	case <-ctx.Done():
		s.leave()
	case err = <-failed:
	}
	stop()
	running.Wait()
	return errors.Wrap(err, "serve endpoint")
}

// leave announces that the endpoint leaves, waits for the attempts in flight, and
// stays until entries have stopped sending.
func (s *Sidecar) leave() {
	s.gate.leave()
	s.control.Announce(s.announcement())
	s.log.Info("endpoint leaving", "running", s.gate.load(s.clock.Now()).Running)
	<-s.clock.After(s.Linger.Std())
	select {
	case <-s.gate.idle:
	case <-s.clock.After(stopTimeout):
	}
	// The last messages of the last attempts may still be on their way.
	<-s.clock.After(flushTime)
}

// serve handles one stream of an entry.
func (s *Sidecar) serve(st wire.Stream) {
	if st.Peer().Role != wire.RoleEntry {
		s.log.Warn("stream refused", "peer", st.Peer().Name, "role", string(st.Peer().Role))
		return
	}
	_ = st.SetDeadline(s.clock.Now().Add(dispatchTimeout))
	m, err := st.Recv()
	if err != nil {
		return
	}
	d, ok := m.(*wire.Dispatch)
	if !ok {
		s.log.Warn("stream without dispatch", "peer", st.Peer().Name)
		return
	}
	s.run(st, d)
}

// httpStatusOK reports whether an engine's answer is a success.
func httpStatusOK(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
