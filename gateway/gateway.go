package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/framing"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes a caller's connection that carries nothing. Callers reuse
	// connections for less.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// connectTimeout bounds the opening of a connection to an endpoint. A lost packet
	// costs less in another try than in the kernel's wait.
	connectTimeout = 300 * time.Millisecond
	// stopReserve is the part of the grace time left for the end of the process.
	stopReserve = 500 * time.Millisecond
)

// Settings of a gateway.
type Settings struct {
	// Listen is the address for callers and Ready that for the balancer's questions.
	Listen settings.Addr
	Ready  settings.Addr
	// ReadyPath answers 200 while new connections are welcome, else 503.
	ReadyPath string
	// Peers is the address for the other entries.
	Peers settings.Addr
	// Control lists addresses of control's replicas.
	Control []settings.Addr
	// Lease is for how long the configuration is believed without a word from control.
	Lease time.Duration
	// Grace is the time between the order to stop and the end of the process.
	Grace time.Duration
	// DrainDelay is how long the listener stays open after that order, so that the
	// balancer sends new connections elsewhere.
	DrainDelay time.Duration
	// TicketTTL is for how long memory is set aside at endpoints without a renewal, and
	// so stays set aside when this process dies.
	TicketTTL time.Duration
	// Retries bounds the requests that reach endpoints once more, over all entries.
	Retries RetryLimits
}

// coordinator is what a gateway needs of its session with control.
type coordinator interface {
	// Run keeps the session until ctx ends.
	Run(ctx context.Context) error
	// Fresh reports whether the configuration is known to be current.
	Fresh() bool
	// Config returns the newest configuration known.
	Config() *config.Document
	// SetReplicas replaces the addresses of control that the settings name.
	SetReplicas(replicas []string)
	// Permission says for how long the configuration is known to be current.
	Permission() wire.Permission
}

// dialer opens streams to control and to other entries.
type dialer interface {
	session.Dropper
	// Close closes all connections.
	Close()
}

var (
	_ coordinator = (*session.Client)(nil)
	_ dialer      = (*session.Dialer)(nil)
)

// Gateway serves callers.
type Gateway struct {
	Settings
	dialect Dialect
	engines EngineClient

	log     hclog.Logger
	clock   kernel.Clock
	node    settings.Node
	client  coordinator
	dialer  dialer
	http    *http.Transport
	retries *retryBudget
	metrics *gatewayMetrics

	listener net.Listener
	ready    net.Listener
	server   *http.Server
	stopping atomic.Bool
	// deployment is the newest publication, nil before the first.
	deployment atomic.Pointer[Deployment]
	entries    atomic.Int64
	// start tells this start of the process from others, and tickets counts within it.
	start   uint32
	tickets atomic.Uint64
	// ticketHold is the TicketTTL in force, in nanoseconds.
	ticketHold atomic.Int64
	// bookings are told to the other entries, which reach this one at peers.
	bookings *bookings
	peers    *wire.Server
	// placer is the entry that places long prompts.
	placer *placer
	// running counts the streams to other entries; work ends them.
	running sync.WaitGroup
	work    context.Context
	stop    context.CancelFunc

	// mu is "gateway.fleet" of kernel.LockOrder.
	mu    sync.Mutex
	fleet *assign.Fleet
	// queues hold the requests that wait for an endpoint, by service.
	queues map[string]*queues
	// heard counts the streams from each entry that tells this one what it places.
	heard  map[string]int
	nextID uint64
}

// New returns a gateway that speaks the dialect.
func New(s Settings, d Dialect, e EngineClient) *Gateway {
	g := &Gateway{
		Settings: s, dialect: d, engines: e, start: rand.Uint32(),
		fleet: assign.NewFleet(), bookings: newBookings(), placer: &placer{}, queues: map[string]*queues{}, heard: map[string]int{},
	}
	g.ticketHold.Store(int64(s.TicketTTL))
	return g
}

// Provision opens the addresses and prepares the session with control.
func (g *Gateway) Provision(h *kernel.Host) error {
	id, err := wire.OpenIdentity(h.TLS, h.Node.Name, wire.RoleEntry)
	if err != nil {
		return err
	}
	g.log, g.clock, g.node = h.Log, h.Clock, h.Node
	g.entries.Store(1)
	g.work, g.stop = context.WithCancel(context.Background())
	g.retries = newRetryBudget(g.Retries)
	g.metrics = newMetrics(h.Metrics)
	g.http = newTransport()
	g.dialer = session.NewDialer(id, wire.PoolOptions{}, &wire.Traffic{})
	g.client, err = session.New(session.Options{
		Node: h.Node, Role: wire.RoleEntry, Replicas: settings.Addrs(g.Control), Opener: g.dialer,
		Addr: string(g.Peers), Lease: g.Lease, Heartbeat: g.Lease / heartbeatsPerLease, RenewalTimeout: 2 * g.Lease / heartbeatsPerLease,
		Clock: h.Clock, Log: h.Log, OnUpdate: g.update,
	})
	if err != nil {
		return err
	}
	g.observe()
	if g.peers, err = wire.Listen(string(g.Peers), id, &wire.Traffic{}, g.servePeer); err != nil {
		return err
	}
	if g.listener, err = net.Listen("tcp", string(g.Listen)); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.listener = framing.Listen(g.listener)
	if g.ready, err = net.Listen("tcp", string(g.Ready)); err != nil {
		return errors.Wrap(err, "listen for questions of readiness")
	}
	g.server = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	framing.Protect(g.server, func(caller string) {
		g.log.Warn("request framed twice refused", "caller", caller)
	})
	return nil
}

// Reconfigure takes over settings that may change while the gateway runs: addresses of
// control, the hold of memory at endpoints, and the limits of repeats.
func (g *Gateway) Reconfigure(control []settings.Addr, ticketHold time.Duration, retries RetryLimits) {
	g.client.SetReplicas(settings.Addrs(control))
	g.ticketHold.Store(int64(ticketHold))
	g.retries.limit(retries)
}

// heartbeatsPerLease is how often the permission is renewed before it would lapse.
const heartbeatsPerLease = 5

// newTransport returns the client for endpoints. Each request has a connection of its
// own: no late answer of an earlier one can be taken for its own, and no idle
// connection can have died unseen.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, &dialError{err: err}
			}
			return conn, nil
		},
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// dialError is the proof that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// update takes over what the session brought.
func (g *Gateway) update(u *wire.Update) {
	if len(u.Entries) > 0 {
		all := g.meet(g.work, u.Entries)
		g.entries.Store(int64(len(all)))
		g.placer.list(all)
	}
	doc := g.client.Config()
	if u.Snapshot != nil || len(u.Changes) > 0 {
		g.configure(doc)
	}
	if u.Reset || len(u.Endpoints) > 0 || len(u.Gone) > 0 {
		g.announce(u)
	}
}

// configure takes over the publication and which zones are out.
func (g *Gateway) configure(doc *config.Document) {
	out := map[string]bool{}
	for name, z := range doc.Zones {
		if z.State == config.Out {
			out[name] = true
		}
	}
	g.mu.Lock()
	g.fleet.SetZonesOut(out)
	g.mu.Unlock()
	old := g.deployment.Load()
	if p := doc.Publication; p != nil && (old == nil || old.Version < p.Version) {
		d, err := g.dialect.DecodeDeployment(p.Content)
		if err != nil {
			// Control checked it before it was accepted.
			g.log.Error("publication not read", "version", p.Version, "error", err)
			return
		}
		g.deployment.Store(d.Index())
	}
	g.log.Info("configuration in force", "revision", doc.Revision, "version", doc.Published(), "zones_out", len(out))
}

// announce takes over new and changed endpoints.
func (g *Gateway) announce(u *wire.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := map[string]bool{}
	for i := range u.Endpoints {
		e := &u.Endpoints[i]
		names[e.Name] = true
		g.fleet.Update(assign.Endpoint{
			Name: e.Name, Service: e.Target, Addr: e.Addr, Zone: e.Zone, Incarnation: e.Incarnation,
			Slots: e.Slots, Leaving: e.Load.Leaving, Cold: e.Cold,
		})
		g.log.Info("endpoint announced", "endpoint", e.Name, "service", e.Target, "addr", e.Addr, "zone", e.Zone,
			"incarnation", e.Incarnation, "leaving", e.Load.Leaving, "cold", e.Cold)
	}
	for _, name := range u.Gone {
		g.fleet.Remove(name)
		g.log.Info("endpoint gone", "endpoint", name)
	}
	if u.Reset {
		g.fleet.RetainOnly(names)
	}
	g.drainQueues(g.clock.Now())
}

// Run serves until ctx ends; then requests in flight finish within the grace time.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.stop()
	failed := make(chan error, 4)
	var tasks sync.WaitGroup
	tasks.Go(func() { failed <- g.client.Run(g.work) })
	tasks.Go(func() { failed <- g.peers.Serve(g.work) })
	tasks.Go(func() { g.runQueues(g.work) })
	ready := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{g.server, g.listener}, {ready, g.ready}} {
		tasks.Go(func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	var err error
	select {
	case <-ctx.Done():
		g.drain()
	case err = <-failed:
	}
	_ = g.server.Close()
	_ = ready.Close()
	g.stop()
	tasks.Wait()
	g.running.Wait()
	g.dialer.Close()
	return errors.Wrap(err, "serve callers")
}

// drain lets the balancer send new connections elsewhere and requests finish.
func (g *Gateway) drain() {
	g.stopping.Store(true)
	g.log.Info("gateway draining", "delay", g.DrainDelay, "grace", g.Grace)
	end := g.clock.Now().Add(g.Grace - stopReserve)
	<-g.clock.After(g.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.clock.Now()))
	defer cancel()
	if err := g.server.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut by the end of the grace time", "error", err)
	}
}

// serveReady answers the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	switch {
	case r.URL.Path != g.ReadyPath:
		status = http.StatusNotFound
	case g.stopping.Load(), g.deployment.Load() == nil, !g.client.Fresh():
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}
