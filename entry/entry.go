// Package entry is the daemon that serves callers: it authenticates them, admits their
// requests, chooses endpoints and relays the answers. A caller gets a complete answer or a
// refusal that states whether the request may have run.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/drain"
	"github.com/rosemaryproxy/rosemaryproxy/framing"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// callerSocketBytes is the size of the operating system's send buffer for a caller.
	callerSocketBytes = 64 << 10
	// A connection to a sidecar is pinged every sidecarKeepAlive, closed after
	// sidecarIdleTimeout without data from the sidecar, and closed when no request has used
	// it for sidecarUnusedTimeout.
	sidecarKeepAlive     = time.Second
	sidecarIdleTimeout   = 4 * time.Second
	sidecarUnusedTimeout = 15 * time.Second
	// Control divides the limits of each client account into shares and grants them to
	// entries. shareRequestInterval is the minimum time between two heartbeats that are sent
	// early to request shares.
	shareRequestInterval = 200 * time.Millisecond
	// Background tasks run on backgroundWorkers goroutines, with up to backgroundQueueSize
	// tasks waiting. A stopping entry waits backgroundTimeout for them.
	backgroundWorkers   = 4
	backgroundQueueSize = 256
	backgroundTimeout   = 5 * time.Second
	// stopTimeout bounds a graceful stop. Requests in flight normally end earlier, at their
	// own deadlines.
	stopTimeout = 10 * time.Minute
)

// Settings are the settings of an entry.
type Settings struct {
	// Listen is the address on which the entry accepts callers.
	Listen settings.Addr `json:"listen" validate:"required"`
	// Control lists the addresses of the control replicas.
	Control []settings.Addr `json:"control" validate:"required,min=1"`
	// Policy names the plug-in that chooses endpoints, "route.predicted" by default.
	Policy string `json:"policy"`
	// MaxBodyBytes bounds the body of one request, 32 MiB by default.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"min=0"`
	// Held bounds the memory for the bodies of requests in flight: of one request, of each
	// client account and of the whole entry.
	Held stream.Limits `json:"held"`
	// ReaderTimeout ends a request whose caller has not accepted any data for this long, 30
	// seconds by default.
	ReaderTimeout settings.Duration `json:"reader_timeout"`
	// Deadline is the time limit of a request for which neither the caller nor the route sets
	// one, 2 minutes by default.
	Deadline settings.Duration `json:"deadline"`
	// DrainDelay is the time between failing health checks and closing the listener when the
	// entry stops, so that the platform's load balancer can send new connections elsewhere.
	DrainDelay settings.Duration `json:"drain_delay"`
}

// ControlClient is the part of a session with control that an entry uses.
type ControlClient interface {
	// Config returns the newest configuration known.
	Config() *config.Document
	// PermissionFor returns the permission for a message to the sidecar named peer. The
	// permission states for how long Config is known to be current. ReceivePermission adopts
	// the permission in a message of the sidecar, and reports whether it did.
	PermissionFor(peer string) wire.Permission
	ReceivePermission(peer string, p wire.Permission) bool
	// Claim asks for the right to run a call once. An error has the verdict NotRun.
	Claim(ctx context.Context, id string, claim command.Claim) (command.Claimed, error)
	// Announce sends a heartbeat at once. The heartbeat carries the demand for shares of account
	// limits.
	Announce()
	// Do sends a command to the leader of control and decodes the answer into out.
	Do(ctx context.Context, name, id string, body, out any) error
}

// dialer opens streams to sidecars over pooled connections.
type dialer interface {
	wire.Opener
	// Replace makes the next Open use a new connection. Open streams go on.
	Replace(addr string)
	// Close closes all connections.
	Close()
}

var _ dialer = (*wire.Pool)(nil)

// Entry is the plug-in of the entry daemon.
type Entry struct {
	Settings

	log   hclog.Logger
	clock kernel.Clock
	node  settings.Node
	// traffic counts the bytes exchanged with sidecars, controlTraffic those with control.
	traffic        *wire.Traffic
	controlTraffic *wire.Traffic
	pool           dialer
	control        ControlClient
	// session runs the session with control until its context ends.
	session    func(ctx context.Context) error
	dispatcher *callDispatcher
	budget     *stream.Budget
	quotas     *session.Limits
	// suspects tracks requests that were in flight when an endpoint was lost.
	suspects *session.Suspects
	// background runs tasks that no caller waits for.
	background *kernel.Pool
	// healthMonitor detects endpoints that fail or slow down.
	healthMonitor *healthMonitor
	keys          keyIndex
	metrics       *entryMetrics

	listener net.Listener
	server   *http.Server
	// callers are the connections of callers. acceptEnded is closed once no more are accepted.
	callers     *drain.Connections
	acceptEnded chan struct{}
	stopping    atomic.Bool
	// sharesRequestedAt is when shares of account limits were last requested, in nanoseconds
	// since 1970.
	sharesRequestedAt atomic.Int64
}

var (
	_ kernel.Provisioner = (*Entry)(nil)
	_ kernel.Runner      = (*Entry)(nil)
)

func init() {
	kernel.RegisterRequestEnds("request answered", "request refused", "answer aborted")
	kernel.Register(kernel.PluginInfo{ID: "entry", RequiresTLS: true, New: func() any { return New(Settings{}) }})
}

// New returns an entry with the settings s and defaults for the fields that are zero.
func New(s Settings) *Entry {
	if s.Policy == "" {
		s.Policy = "route.predicted"
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = 32 << 20
	}
	if s.Held == (stream.Limits{}) {
		s.Held = stream.Limits{Stream: 32 << 20, Account: 256 << 20, Process: 512 << 20}
	}
	if s.ReaderTimeout == 0 {
		s.ReaderTimeout = settings.Duration(30 * time.Second)
	}
	if s.Deadline == 0 {
		s.Deadline = settings.Duration(2 * time.Minute)
	}
	return &Entry{Settings: s}
}

// Provision creates the entry's parts and starts to listen for callers. Run serves them.
func (e *Entry) Provision(h *kernel.Host) error {
	id, err := wire.OpenIdentity(h.TLS, h.Node, wire.RoleEntry)
	if err != nil {
		return err
	}
	e.log, e.clock, e.node = h.Log, h.Clock, h.Node
	e.traffic, e.controlTraffic = &wire.Traffic{}, &wire.Traffic{}
	e.budget = stream.NewBudget(e.Held)
	e.dispatcher, err = newDispatcher(h, e.Policy)
	if err != nil {
		return err
	}
	e.quotas = session.NewLimits()
	e.healthMonitor = newHealthMonitor()
	e.background = kernel.NewPool(backgroundWorkers, backgroundQueueSize)
	e.pool, err = wire.NewPool(id, wire.PoolOptions{
		StreamWindow: answerWindowBytes,
		KeepAlive:    sidecarKeepAlive,
		IdleTimeout:  sidecarIdleTimeout,
		CloseUnused:  sidecarUnusedTimeout,
	}, e.traffic)
	if err != nil {
		return err
	}
	if err := e.prepareSession(h, id); err != nil {
		return err
	}
	e.metrics = newMetrics(h.Metrics, e)
	e.listener, err = net.Listen("tcp", string(e.Listen))
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.prepareServer(e.listener)
	return nil
}

// prepareServer creates the server for the callers that connect to the listener.
func (e *Entry) prepareServer(l net.Listener) {
	e.callers, e.acceptEnded = drain.New(e.clock), make(chan struct{})
	e.listener = framing.Listen(e.callers.Listen(l))
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       limitSocketBuffer,
	}
	framing.Protect(e.server, func(caller string) {
		e.log.Warn("request with ambiguous body framing refused", "caller", caller)
	})
	e.callers.Observe(e.server)
}

// limitSocketBuffer limits how much the operating system buffers for a caller that does not
// read.
func limitSocketBuffer(ctx context.Context, c net.Conn) context.Context {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSocketBytes)
	}
	return ctx
}

// Addr returns the address on which the entry accepts callers.
func (e *Entry) Addr() string { return e.listener.Addr().String() }

// Run serves callers until ctx ends. Then it fails health checks, so that new connections go
// elsewhere, and waits for the requests in flight before it returns.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 4)
	var tasks sync.WaitGroup
	tasks.Go(func() { failed <- e.session(work) })
	tasks.Go(func() { failed <- e.dispatcher.run(work) })
	tasks.Go(func() { failed <- e.runProbes(work) })
	tasks.Go(func() {
		if err := e.serveCallers(); err != nil {
			failed <- err
		}
	})
	var err error
	select {
	case <-ctx.Done():
		err = e.drain()
	case err = <-failed:
		_ = e.server.Close()
	}
	e.finishBackground()
	stop()
	tasks.Wait()
	e.pool.Close()
	return errors.Wrap(err, "serve callers")
}

// serveCallers accepts callers until the entry stops.
func (e *Entry) serveCallers() error {
	defer close(e.acceptEnded)
	if err := e.server.Serve(e.listener); !e.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runInBackground runs a task that no caller waits for on the background pool. If the pool's
// queue is full, it runs the task in the calling goroutine.
func (e *Entry) runInBackground(task func()) {
	if err := e.background.Submit(task); err != nil {
		task()
	}
}

// finishBackground waits up to backgroundTimeout for the remaining background tasks.
func (e *Entry) finishBackground() {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	if err := e.background.Close(ctx); err != nil {
		e.log.Warn("background tasks did not finish in time", "error", err)
	}
}

// drain stops the server gracefully: it fails health checks, waits for DrainDelay and then
// for the requests in flight, up to stopTimeout.
func (e *Entry) drain() error {
	e.stopping.Store(true)
	e.log.Info("entry draining", "delay", e.DrainDelay.Std())
	<-e.clock.After(e.DrainDelay.Std())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	closeErr := e.listener.Close()
	<-e.acceptEnded
	if err := e.callers.Close(ctx); err != nil {
		return err
	}
	return errors.Wrap(closeErr, "close the listener for callers")
}
