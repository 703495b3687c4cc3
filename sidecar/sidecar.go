// Package sidecar implements the daemon that runs beside each endpoint. It announces the
// endpoint to control, makes the final admission decision before the engine, and relays
// the engine's answer.
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
	// flushTime is the time for the last messages to reach their entries before the
	// connections close.
	flushTime = 500 * time.Millisecond
	// drainTimeout bounds the wait for attempts in flight at a stop. Usually the deadlines
	// of the attempts end the wait earlier.
	drainTimeout = 10 * time.Minute
)

// Settings configures a Sidecar.
type Settings struct {
	// Listen is the address for entries. Port 0 selects a free port.
	Listen settings.Addr `json:"listen" validate:"required"`
	// Control lists the addresses of the control replicas.
	Control []settings.Addr `json:"control" validate:"required,min=1"`
	// Endpoint is the base URL of the engine or service. Its host is an IP address.
	Endpoint string `json:"endpoint" validate:"required,url"`
	// Target is the model or service that the endpoint serves.
	Target string `json:"target" validate:"required"`
	// Service is set for a plain HTTP service, which is not a model engine.
	Service bool `json:"service"`
	// ChecksFence is set if the engine itself refuses an order whose fencing number is lower
	// than the highest one that it has received.
	ChecksFence bool `json:"checks_fence"`
	// Held bounds the bytes of answers that are kept in memory for slow readers.
	Held stream.Limits `json:"held"`
	// ReaderTimeout is the time after which an attempt ends if the entry takes no data of the
	// answer.
	ReaderTimeout settings.Duration `json:"reader_timeout"`
	// Linger is how long a leaving endpoint still answers dispatches with a refusal, so
	// that entries learn that it is leaving before its address stops responding.
	Linger settings.Duration `json:"linger"`
	// PollEvery is the interval at which the load report of the engine is read.
	PollEvery settings.Duration `json:"poll_every"`
}

// ControlClient is the part of the session with control that a sidecar uses.
type ControlClient interface {
	// Config returns the newest configuration known.
	Config() *config.Document
	// Permission returns the sidecar's own permission, which states for how long Config is
	// known to be current.
	Permission() wire.Permission
	// RenewedByControl reports whether the permission would be valid if only control itself,
	// and no entry, had renewed it. If so, no newer sidecar has replaced this one.
	RenewedByControl() bool
	// PermissionFor returns the permission for a message to the entry named peer, and
	// ReceivePermission adopts the permission in a message of the entry.
	PermissionFor(peer string) wire.Permission
	ReceivePermission(peer string, p wire.Permission) bool
	// Announce replaces the description of the endpoint at control.
	Announce(e wire.Endpoint)
	// Do sends a command to the leader of control and decodes the answer into out.
	Do(ctx context.Context, name, id string, body, out any) error
}

// Sidecar is the plug-in that runs the daemon.
type Sidecar struct {
	Settings

	log   hclog.Logger
	clock kernel.Clock
	node  settings.Node
	id    *wire.Identity
	// traffic counts the bytes exchanged with entries, and controlTraffic those exchanged
	// with control.
	traffic        *wire.Traffic
	controlTraffic *wire.Traffic
	server         *wire.Server
	control        ControlClient
	// session runs the session with control until its context ends.
	session func(ctx context.Context) error
	gate    *gate
	orders  *orders
	budget  *stream.Budget
	engine  *engineClient
	metrics *sidecarMetrics
}

var (
	_ kernel.Provisioner = (*Sidecar)(nil)
	_ kernel.Runner      = (*Sidecar)(nil)
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "sidecar", RequiresTLS: true, New: func() any { return New(Settings{}) }})
}

// New returns a sidecar. Settings that are zero get their defaults.
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

// Provision starts to listen for entries and prepares the session with control.
func (s *Sidecar) Provision(h *kernel.Host) error {
	id, err := wire.OpenIdentity(h.TLS, h.Node, wire.RoleSidecar)
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

// newIncarnation returns an incarnation number, which increases with each start.
func newIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

// Addr returns the address at which the sidecar listens for entries.
func (s *Sidecar) Addr() string { return s.server.Addr() }

// announcement returns the current description of the endpoint.
func (s *Sidecar) announcement() wire.Endpoint {
	e := s.gate.describe(s.clock.Now())
	e.Name, e.Region, e.Zone, e.Addr = s.node.Name, s.node.Region, s.node.Zone, s.Addr()
	e.Target, e.Service, e.ChecksFence = s.Target, s.Service, s.ChecksFence
	return e
}

// Run serves entries until ctx ends. Then the endpoint leaves: it admits no new attempts,
// and Run returns when those in flight have ended.
func (s *Sidecar) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	tasks := []func(context.Context) error{s.server.Serve, s.session, s.watchEngine, s.runOrders}
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

// leave announces that the endpoint leaves. It waits for Linger, in which entries learn of
// that and stop sending, and then until the attempts in flight have ended.
func (s *Sidecar) leave() {
	s.gate.leave()
	s.control.Announce(s.announcement())
	s.log.Info("endpoint leaving", "running", s.gate.load(s.clock.Now()).Running)
	<-s.clock.After(s.Linger.Std())
	select {
	case <-s.gate.drained:
	case <-s.clock.After(drainTimeout):
	}
	// The last messages of the last attempts may still be in transit.
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
		s.log.Warn("stream does not begin with a dispatch", "peer", st.Peer().Name)
		return
	}
	s.run(st, d)
}

// httpStatusOK reports whether the status code of an answer is 2xx.
func httpStatusOK(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
