// Package entry is the daemon that serves callers: it authenticates them, admits
// their requests, chooses endpoints, and returns whole answers or honest refusals.
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
	"github.com/rosemaryproxy/rosemaryproxy/framing"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/stream"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// callerSocketBytes bounds what the kernel holds for a caller that does not read.
	callerSocketBytes = 64 << 10
	// A connection to a sidecar is pinged while it is open, given up after a silence,
	// and closed when no request has used it for a while.
	sidecarPing    = time.Second
	sidecarSilence = 4 * time.Second
	sidecarUnused  = 15 * time.Second
	// demandEvery is the least time between two demands ahead of a heartbeat.
	demandEvery = 200 * time.Millisecond
	// Bounds of what is done in the background.
	backgroundWorkers = 4
	backgroundDepth   = 256
	backgroundTimeout = 5 * time.Second
	// stopTimeout bounds a planned stop; a request has its own deadline before.
	stopTimeout = 10 * time.Minute
)

// Settings of the entry.
type Settings struct {
	// Listen is the address for callers.
	Listen settings.Addr `json:"listen" validate:"required"`
	// Control lists the addresses of the control replicas.
	Control []settings.Addr `json:"control" validate:"required,min=1"`
	// Policy names the plug-in that chooses endpoints, such as "route.predicted".
	Policy string `json:"policy"`
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes int64 `json:"max_body_bytes" validate:"min=0"`
	// Held bounds the bytes of requests and answers that are held for callers.
	Held stream.Limits `json:"held"`
	// ReaderTimeout ends a request whose caller takes nothing for so long.
	ReaderTimeout settings.Duration `json:"reader_timeout"`
	// Deadline is the time for a request when neither it nor its route names one.
	Deadline settings.Duration `json:"deadline"`
	// DrainDelay is how long the entry stays open after its health turns, so that
	// the platform's balancer sends new connections elsewhere.
	DrainDelay settings.Duration `json:"drain_delay"`
}

// ControlClient is what an entry needs of its session with control.
type ControlClient interface {
	// Config returns the newest configuration known.
	Config() *config.Document
	// PermissionFor returns the proof that Config is current for a message to the sidecar
	// named peer, and ReceivePermission adopts such a proof in a message of the sidecar.
	PermissionFor(peer string) wire.Permission
	ReceivePermission(peer string, p wire.Permission) bool
	// Claim asks for the right to run a call once. Its error says NotRun.
	Claim(ctx context.Context, id string, claim command.Claim) (command.Claimed, error)
	// Announce sends a heartbeat at once, with the demand for shares of limits.
	Announce()
	// Do sends a command to control's leader and decodes the answer into out.
	Do(ctx context.Context, name, id string, body, out any) error
}

// dialer opens streams to sidecars.
type dialer interface {
	wire.Opener
	// Drop closes the connection to a sidecar that does not answer.
	Drop(addr string)
	// Close closes all connections.
	Close()
}

var _ dialer = (*wire.Pool)(nil)

// Entry is the plug-in of the daemon.
type Entry struct {
	Settings

	log   hclog.Logger
	clock kernel.Clock
	node  settings.Node
	// traffic counts the bytes to and from sidecars, controlTraffic those of control.
	traffic        *wire.Traffic
	controlTraffic *wire.Traffic
	pool           dialer
	control        ControlClient
	session        func(ctx context.Context) error
	fleet          *dispatcher
	budget         *stream.Budget
	limits         *session.Limits
	// suspects are requests that were in flight when an endpoint fell.
	suspects *suspects
	// background does what no caller waits for.
	background *kernel.Pool
	// watch looks for endpoints that fail slowly.
	watch   *watch
	keys    keyring
	metrics *entryMetrics

	listener net.Listener
	server   *http.Server
	stopping atomic.Bool
	// asked is when shares were last asked for, in nanoseconds since 1970.
	asked atomic.Int64
}

var (
	_ kernel.Provisioner = (*Entry)(nil)
	_ kernel.Runner      = (*Entry)(nil)
)

func init() {
	kernel.Register(kernel.PluginInfo{ID: "entry", Identity: true, New: func() any { return New(Settings{}) }})
}

// New returns an entry with defaults for what s leaves empty.
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

// Provision opens the entry's address and its session with control.
func (e *Entry) Provision(h *kernel.Host) error {
	id, err := wire.OpenIdentity(h.TLS, h.Node.Name, wire.RoleEntry)
	if err != nil {
		return err
	}
	e.log, e.clock, e.node = h.Log, h.Clock, h.Node
	e.traffic, e.controlTraffic = &wire.Traffic{}, &wire.Traffic{}
	e.budget = stream.NewBudget(e.Held)
	e.fleet, err = newDispatcher(h, e.Policy)
	if err != nil {
		return err
	}
	e.limits = session.NewLimits()
	e.suspects = newSuspects()
	e.watch = newWatch()
	e.background = kernel.NewPool(backgroundWorkers, backgroundDepth)
	e.pool, err = wire.NewPool(id, wire.PoolOptions{
		StreamWindow: answerWindowBytes,
		KeepAlive:    sidecarPing,
		IdleTimeout:  sidecarSilence,
		CloseUnused:  sidecarUnused,
	}, e.traffic)
	if err != nil {
		return err
	}
	if err := e.connect(h, id); err != nil {
		return err
	}
	e.metrics = newMetrics(h.Metrics, e)
	e.listener, err = net.Listen("tcp", string(e.Listen))
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.listener = framing.Listen(e.listener)
	e.server = &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       boundSocket,
	}
	framing.Protect(e.server, func(caller string) {
		h.Log.Warn("request framed twice refused", "caller", caller)
	})
	return nil
}

// boundSocket bounds what the kernel buffers for a caller that does not read.
func boundSocket(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSocketBytes)
	}
	return ctx
}

// Addr is the address that callers reach the entry at.
func (e *Entry) Addr() string { return e.listener.Addr().String() }

// Run serves callers until ctx ends. Then its health turns, new connections go
// elsewhere, and the requests in flight finish before Run returns.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 4)
	var tasks sync.WaitGroup
	tasks.Go(func() { failed <- e.session(work) })
	tasks.Go(func() { failed <- e.fleet.run(work) })
	tasks.Go(func() { failed <- e.runProbes(work) })
	tasks.Go(func() {
		if err := e.server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
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

// later has a task done that no caller waits for, or does it now when there are
// too many.
func (e *Entry) later(task func()) {
	if err := e.background.Submit(task); err != nil {
		task()
	}
}

// finishBackground waits for the tasks that are left.
func (e *Entry) finishBackground() {
	ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	if err := e.background.Close(ctx); err != nil {
		e.log.Warn("background tasks left", "error", err)
	}
}

// drain stops without cutting a request.
func (e *Entry) drain() error {
	e.stopping.Store(true)
	e.log.Info("entry draining", "delay", e.DrainDelay.Std())
	<-e.clock.After(e.DrainDelay.Std())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return e.server.Shutdown(ctx)
}
