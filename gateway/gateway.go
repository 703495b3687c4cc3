package gateway

import (
	"context"
	stdlog "log"
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
	"github.com/rosemaryproxy/rosemaryproxy/drain"
	"github.com/rosemaryproxy/rosemaryproxy/framing"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/prefix"
	"github.com/rosemaryproxy/rosemaryproxy/quarantine"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle caller connections. Callers reuse connections after
	// shorter pauses than this.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// connectTimeout bounds the time to connect to an endpoint. After a lost packet, a
	// new attempt is faster than the retransmission timeout of the operating system.
	connectTimeout = 300 * time.Millisecond
	// keepAliveInterval is the time between two keep-alive probes on an idle connection to an
	// endpoint. An endpoint VM that has started again resets the connection at the next one. After
	// maxKeepAliveProbes without an answer the connection is broken.
	keepAliveInterval  = time.Second
	maxKeepAliveProbes = 9
	// stopReserve is the length of the last part of the grace time, which is left for
	// closing connections and ending the process.
	stopReserve = 500 * time.Millisecond
)

// Settings configure a gateway.
type Settings struct {
	// Listen is the address for callers, and Ready the address for the readiness checks
	// of the load balancer.
	Listen settings.Addr
	Ready  settings.Addr
	// ReadyPath answers 200 while new connections are accepted, and 503 otherwise.
	ReadyPath string
	// Peers is the listen address for streams from the other entries, which are
	// processes that run the same gateway.
	Peers settings.Addr
	// Control lists the addresses of the replicas of control.
	Control []settings.Addr
	// Lease is how long the configuration counts as current after the last renewal by
	// control.
	Lease time.Duration
	// Grace is the time between the stop signal and the end of the process.
	Grace time.Duration
	// DrainDelay is how long the listener stays open after the stop signal, so that the
	// load balancer can direct new connections elsewhere.
	DrainDelay time.Duration
	// TicketTTL is how long a memory reservation at an endpoint lasts without renewal,
	// and therefore how long it outlives this process after a crash.
	TicketTTL time.Duration
	// Retries limits repeated dispatches to endpoints, over all entries together.
	Retries RetryLimits
	// UsageWindow is the length of the windows in which requests are counted for the usage of client
	// accounts. Zero means that they are not counted.
	UsageWindow time.Duration
}

// controlClient is the part of the session with control that the gateway uses.
type controlClient interface {
	// Run keeps the session open until ctx ends.
	Run(ctx context.Context) error
	// Fresh reports whether the configuration is known to be current.
	Fresh() bool
	// Config returns the newest configuration received.
	Config() *config.Document
	// SetReplicas replaces the configured addresses of control's replicas.
	SetReplicas(replicas []string)
	session.Commander
	// Permission returns the lease on the configuration, which states for how long the
	// configuration is still known to be current.
	Permission() wire.Permission
}

// dialer opens streams to other entries.
type dialer interface {
	session.Dropper
	// Close closes all connections.
	Close()
}

var (
	_ controlClient = (*session.Client)(nil)
	_ dialer        = (*session.Dialer)(nil)
)

// Gateway serves callers and dispatches their requests to endpoints.
type Gateway struct {
	Settings
	dialect Dialect
	engines EngineClient

	log     hclog.Logger
	clock   kernel.Clock
	node    settings.Node
	client  controlClient
	dialer  dialer
	http    http.RoundTripper
	retries *retryBudget
	metrics *gatewayMetrics
	// usage is nil if requests are not counted.
	usage *usageCounts
	// heldBytes accounts for the answers that are held in memory.
	heldBytes *stream.Budget
	// bodyBytes accounts for the bodies of requests that are held in memory.
	bodyBytes *stream.Budget
	// suspects holds the requests that are suspected of crashing endpoints. lossesPending wakes
	// the task that reports lost endpoints; it has a buffer of one.
	suspects      *session.Suspects
	lossesPending chan struct{}
	// queued wakes the task that polls the queues; it has a buffer of one.
	queued chan struct{}

	listener net.Listener
	ready    net.Listener
	server   *http.Server
	// callers are the connections of callers. acceptEnded is closed once no more are accepted.
	callers     *drain.Connections
	acceptEnded chan struct{}
	stopping    atomic.Bool
	stop        stop
	// cut is set before the connections that are left are closed.
	cut atomic.Bool
	// lingering counts the handlers that have answered and read on until their callers close.
	lingering atomic.Int64
	// deployment is the newest published deployment, nil before the first one.
	deployment atomic.Pointer[Deployment]
	// entries is the number of entries known, including this one.
	entries atomic.Int64
	// started is when this process started.
	started time.Time
	// startID distinguishes this start of the process from earlier ones, and ticketSeq
	// numbers the tickets within it.
	startID   uint32
	ticketSeq atomic.Uint64
	// permitSeq numbers the holders of permits.
	permitSeq atomic.Uint64
	// ticketTTL is the current TicketTTL in nanoseconds; Reconfigure may change it.
	ticketTTL atomic.Int64
	// load measures the load of services with automatic scaling.
	load loadMeter
	// bookings holds the placements of this entry, which are sent to the other entries.
	// peers accepts the streams from the other entries.
	bookings *bookings
	peers    *wire.Server
	// placing holds the attempts that wait for endpoints.
	placing *placing
	// placer selects the entry that chooses the endpoints for the long prompts of all
	// entries.
	placer *placer
	// peerTasks counts the tasks that send bookings to other entries. background is the
	// context of all background tasks.
	peerTasks      sync.WaitGroup
	background     context.Context
	stopBackground context.CancelFunc

	// mu guards the fields below. It is "gateway.fleet" of kernel.LockOrder.
	mu    sync.Mutex
	fleet *assign.Fleet
	// prefixes records which endpoints have read which prefixes of prompts.
	prefixes *prefix.Record
	// losses finds out under which requests endpoints ended.
	losses *quarantine.Tracker
	// waiting holds the requests that wait for endpoints, and gauged the services that have gauges.
	waiting *schedule.Scheduler
	gauged  map[string]bool
	// bookingStreams counts the open streams over which other entries send their
	// bookings, by entry name.
	bookingStreams map[string]int
	// streamAddrs are the addresses of these entries, by entry name.
	streamAddrs map[string]string
	// entryAddrs are the addresses of the entries of this entry's cell, sorted, and leftEntries
	// those of entries that have stopped, by name.
	entryAddrs  []string
	leftEntries map[string]string
	// slowSuspects are the engines to ask for their speed; true for those that this entry has found
	// slow, which it asks until they are sound again.
	slowSuspects map[string]bool
}

// New returns a gateway that uses the dialect d and reaches engines through e.
func New(s Settings, d Dialect, e EngineClient) *Gateway {
	g := &Gateway{
		Settings: s, dialect: d, engines: e, startID: rand.Uint32(), heldBytes: newHeldBytes(), bodyBytes: newBodyBytes(),
		losses: quarantine.NewTracker(), lossesPending: make(chan struct{}, 1), queued: make(chan struct{}, 1),
		fleet: assign.NewFleet(), prefixes: prefix.New(), bookings: newBookings(), placing: newPlacing(), placer: &placer{}, bookingStreams: map[string]int{}, streamAddrs: map[string]string{},
		leftEntries: map[string]string{}, slowSuspects: map[string]bool{}, stop: stop{began: make(chan struct{})},
	}
	g.waiting, g.gauged = schedule.New(g.fleet), map[string]bool{}
	g.ticketTTL.Store(int64(s.TicketTTL))
	return g
}

// Provision opens the listeners and prepares the session with control.
func (g *Gateway) Provision(h *kernel.Host) error {
	id, err := wire.OpenIdentity(h.TLS, h.Node, wire.RoleEntry)
	if err != nil {
		return err
	}
	g.log, g.clock, g.node = h.Log, h.Clock, h.Node
	g.started = h.Clock.Now()
	g.entries.Store(1)
	g.background, g.stopBackground = context.WithCancel(context.Background())
	g.retries = newRetryBudget(g.Retries, h.Clock.Now())
	g.metrics = newMetrics(h.Metrics)
	g.usage = newUsageCounts(g.UsageWindow, h.Clock, kernel.Suspended)
	g.http = NewTransport()
	g.dialer = session.NewDialer(id, wire.PoolOptions{}, &wire.Traffic{})
	g.client, err = session.New(session.Options{
		Node: h.Node, Role: wire.RoleEntry, Replicas: settings.Addrs(g.Control), Opener: g.dialer,
		Addr: string(g.Peers), Lease: g.Lease, Heartbeat: g.Lease / heartbeatsPerLease, RenewalTimeout: 2 * g.Lease / heartbeatsPerLease,
		Clock: h.Clock, Log: h.Log, OnUpdate: g.applyUpdate, EarlyConfirmation: true,
	})
	if err != nil {
		return err
	}
	g.suspects = session.NewSuspects(g.client, h.Clock)
	g.registerGauges()
	if g.peers, err = wire.Listen(string(g.Peers), id, &wire.Traffic{}, g.servePeer); err != nil {
		return err
	}
	if g.listener, err = net.Listen("tcp", string(g.Listen)); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.callers, g.acceptEnded = drain.New(h.Clock), make(chan struct{})
	g.listener = g.trackCallers(g.listener)
	if g.ready, err = net.Listen("tcp", string(g.Ready)); err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	g.server = &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(serverLog{g.log}, "", 0),
	}
	framing.Protect(g.server, func(caller string) {
		g.log.Warn("request with ambiguous body framing refused", "caller", caller)
	})
	g.callers.Observe(g.server)
	return nil
}

// trackCallers wraps a listener for callers.
func (g *Gateway) trackCallers(l net.Listener) net.Listener {
	return framing.Listen(g.callers.Listen(l))
}

// Reconfigure applies settings that may change at run time: the addresses of control,
// the TTL of memory reservations, and the retry limits.
func (g *Gateway) Reconfigure(control []settings.Addr, ticketTTL time.Duration, retries RetryLimits) {
	g.client.SetReplicas(settings.Addrs(control))
	g.ticketTTL.Store(int64(ticketTTL))
	g.retries.setLimits(retries)
}

// heartbeatsPerLease is the number of heartbeats sent to control within the time of one
// lease. Each one that control answers renews the lease.
const heartbeatsPerLease = 5

// NewTransport returns the HTTP transport for endpoints. Each request uses a new
// connection, so that a late answer to an earlier request cannot be taken for its own,
// and no request is sent on an idle connection that has silently died. Responses that may be
// truncated, or whose status is invalid, are errors.
func NewTransport() *framing.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes,
	}}
	return framing.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, &dialError{err: err}
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				if err := tcp.SetReadBuffer(answerSocketBytes); err != nil {
					_ = conn.Close()
					return nil, &dialError{err: errors.Wrapf(err, "bound the receive buffer of the connection to %s", addr)}
				}
			}
			return conn, nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	})
}

// dialError marks a failure to connect, which proves that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// applyUpdate applies an update from the session with control.
func (g *Gateway) applyUpdate(u *wire.Update) {
	if len(u.Entries) > 0 {
		all := g.updatePeers(g.background, u.Entries)
		g.entries.Store(int64(len(all)))
		g.retries.recordEntries(g.clock.Now(), int64(len(all)))
		g.divide(g.bookings.entries(all, u, assign.Entry{Addr: string(g.Peers), Zone: g.node.Zone}))
	}
	doc := g.client.Config()
	g.updateSuspects(u)
	if u.Snapshot != nil || len(u.Changes) > 0 {
		g.configure(doc)
	}
	if u.Reset || len(u.Endpoints) > 0 || len(u.Removed) > 0 {
		g.updateEndpoints(u)
	}
}

// configure applies a new publication and the set of availability zones that are out of
// service.
func (g *Gateway) configure(doc *config.Document) {
	zonesOut := map[string]bool{}
	for name, z := range doc.Zones {
		if z.State == config.Out {
			zonesOut[name] = true
		}
	}
	g.mu.Lock()
	g.fleet.SetZonesOut(zonesOut)
	g.mu.Unlock()
	old := g.deployment.Load()
	if p := doc.Publication; p != nil && (old == nil || old.Version < p.Version) {
		d, err := g.dialect.DecodeDeployment(p.Content)
		if err != nil {
			// Control validates publications before it accepts them, so this is a bug.
			g.log.Error("publication not decoded", "version", p.Version, "error", err)
			return
		}
		g.deployment.Store(d.Index())
		g.mu.Lock()
		g.fleet.SetColdRates(d.coldRates())
		g.mu.Unlock()
	}
	g.log.Info("configuration applied", "revision", doc.Revision, "version", doc.PublishedVersion(), "zones_out", len(zonesOut))
}

// retrySharing returns the number of entries that share the extra retries, or 0 if this entry has
// no share. An entry whose configuration may be out of date has none, because the other entries
// may no longer count it.
func (g *Gateway) retrySharing() int64 {
	if !g.client.Fresh() {
		return 0
	}
	return g.retries.sharing(g.clock.Now())
}

// updateEndpoints applies added, changed and removed endpoints.
func (g *Gateway) updateEndpoints(u *wire.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := map[string]bool{}
	for i := range u.Endpoints {
		e := &u.Endpoints[i]
		names[e.Name] = true
		if err := e.CheckDirect(); err != nil {
			// Control of an earlier version lists such endpoints.
			g.log.Warn("endpoint not used", "endpoint", e.Name, "error", err)
			continue
		}
		g.fleet.Update(assign.Endpoint{
			Name: e.Name, Service: e.Target, Addr: e.Addr, Zone: e.Zone, Incarnation: e.Incarnation,
			Slots: e.Slots, Leaving: e.Load.Leaving, Cold: e.Cold, LearnedAt: g.clock.Now(),
		})
		if e.Load.Leaving {
			g.losses.Leaving(e.Name)
		} else {
			g.losses.Started(quarantine.Instance{Endpoint: e.Name, Addr: e.Addr, Incarnation: e.Incarnation})
		}
		g.log.Info("endpoint announced", "endpoint", e.Name, "service", e.Target, "addr", e.Addr, "zone", e.Zone,
			"incarnation", e.Incarnation, "leaving", g.fleet.Leaving(e.Name), "cold", e.Cold)
	}
	for _, name := range u.Removed {
		g.fleet.Remove(name)
		g.log.Info("endpoint removed", "endpoint", name)
	}
	if u.Reset {
		g.fleet.RetainOnly(names)
	}
	g.wakeLossReports()
	g.placeQueued(g.clock.Now())
}

// Run serves callers until ctx ends. Requests in flight then finish within the grace
// time.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.stopBackground()
	failed := make(chan error, 4)
	var tasks sync.WaitGroup
	tasks.Go(func() { failed <- g.client.Run(g.background) })
	tasks.Go(func() { failed <- g.peers.Serve(g.background) })
	tasks.Go(func() { g.pollQueues(g.background) })
	tasks.Go(func() { g.checkSlowdowns(g.background) })
	tasks.Go(func() { g.reportLosses(g.background) })
	endUsageReports := g.startUsageReports()
	tasks.Go(func() { g.reportLoads(g.background) })
	ready := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}
	tasks.Go(func() {
		defer close(g.acceptEnded)
		if err := g.server.Serve(g.listener); !g.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	tasks.Go(func() {
		if err := ready.Serve(g.ready); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	var err error
	select {
	case <-ctx.Done():
		g.drain()
	case err = <-failed:
	}
	g.cut.Store(true)
	if err := g.server.Close(); err != nil {
		g.log.Warn("connections of callers not closed", "error", err)
	}
	_ = ready.Close()
	g.awaitHandlers()
	endUsageReports()
	g.stopBackground()
	tasks.Wait()
	g.peerTasks.Wait()
	g.dialer.Close()
	return errors.Wrap(err, "serve callers")
}

// drain keeps accepting connections for DrainDelay, so that the load balancer directs
// new ones elsewhere, and then lets requests in flight finish until stopReserve before
// the end of the grace time.
func (g *Gateway) drain() {
	g.stopping.Store(true)
	g.log.Info("gateway draining", "delay", g.DrainDelay, "grace", g.Grace)
	now := g.clock.Now()
	end := now.Add(g.Grace - stopReserve)
	g.stop.begin(now.Add(g.DrainDelay), end)
	<-g.clock.After(g.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(g.clock.Now()))
	defer cancel()
	if err := g.listener.Close(); err != nil {
		g.log.Warn("listener for callers not closed", "error", err)
	}
	<-g.acceptEnded
	if err := g.callers.Close(ctx); err != nil {
		g.log.Warn("requests aborted at the end of the grace time", "error", err)
		return
	}
	g.bookings.leave(string(g.Peers))
	<-g.clock.After(leaveTime)
}

// serveReady answers the readiness checks of the load balancer.
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
