// Package control implements the control daemon, a replica of the replicated state. It
// keeps a session with each entry (the daemon that serves callers, see package entry) and each
// sidecar (the daemon beside an endpoint, see package sidecar), sends them configuration
// updates, renews their permissions, and answers the commands of operators and processes. A
// permission is the lease without which a process takes no new work; see package lease.
package control

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/replica"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// transferTimeout bounds the transfer of leadership at a planned stop.
const transferTimeout = 2 * time.Second

// snapshotEvery is the number of commands between snapshots. At the claim rate of the
// largest deployment, that is about one snapshot a minute.
const snapshotEvery = 50_000

// defaultGrace is the default of Plugin.Grace. It gives a sidecar the time to detect the
// loss of its replica and to open a session with another one.
const defaultGrace = 8 * time.Second

// defaultCatchUp is the default of Plugin.CatchUp. The repair of the membership takes as long with the
// default tick at worst.
const defaultCatchUp = 4 * time.Second

// resetSecretName is the name of the file in Plugin.Data with the secret for stateless resets.
const resetSecretName = "reset-secret"

func init() {
	kernel.Register(kernel.PluginInfo{ID: "control", RequiresTLS: true, New: func() any {
		return &Plugin{
			Lease: settings.Duration(session.DefaultLease),
			Grace: settings.Duration(defaultGrace), CatchUp: settings.Duration(defaultCatchUp),
			Tick: settings.Duration(replica.DefaultTickInterval),
		}
	}})
}

// Plugin is the control daemon as a plug-in of the kernel, with its settings.
type Plugin struct {
	// Listen is the address for sessions, commands and the other replicas.
	Listen settings.Addr `json:"listen" validate:"required"`
	// Data is the directory of the replica's files.
	Data string `json:"data" validate:"required"`
	// ID is this replica's number in Replicas when the group first forms. Zero means that
	// the replica joins later: it generates a number, which it keeps on its disk, and is
	// added by an operator or through Steward.
	ID uint64 `json:"id"`
	// Replicas are the addresses of the replicas that form the group, by number. The group
	// stores later membership changes itself.
	Replicas map[string]settings.Addr `json:"replicas" validate:"required_with=ID"`
	// Steward lets the group manage its own membership: a replica with a new disk joins
	// through Seeds, and a member whose disk is lost is removed. Without Steward, operators
	// add and remove members.
	Steward bool `json:"steward,omitempty"`
	// Seeds are addresses of control processes through which a replica with a new disk asks
	// to join the group.
	Seeds []settings.Addr `json:"seeds,omitempty"`
	// Bootstrap is the path of a JSON file with the initial configuration. The file has no
	// effect once the group has a configuration.
	Bootstrap string `json:"bootstrap,omitempty"`
	// Lease is the duration of the permission that the echo of a heartbeat renews.
	Lease settings.Duration `json:"lease"`
	// Grace is the time after the last sign of life at which an endpoint is removed from the
	// endpoint list and a session is ended. It must be longer than Lease.
	Grace settings.Duration `json:"grace"`
	// CatchUp is the time, from the start of a replica with a new disk that replaces a lost one,
	// after which the group bears the next loss. The times after which Steward replaces silent
	// members follow from it.
	CatchUp settings.Duration `json:"catch_up"`
	// Tick is the time unit of leader elections. The minimum election timeout is ten ticks.
	Tick settings.Duration `json:"tick"`

	// decodeLimits is set by SetLimitsDecoder.
	decodeLimits LimitsDecoder

	server   *Server
	replica  *replica.Replica
	disk     *replica.OSDisk
	dialer   *session.Dialer
	listener *wire.Server
	liveness net.Listener
	cancel   context.CancelFunc
}

var (
	_ kernel.Provisioner = (*Plugin)(nil)
	_ kernel.Validator   = (*Plugin)(nil)
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
	id, err := wire.OpenIdentity(h.TLS, h.Node, wire.RoleControl)
	if err != nil {
		return err
	}
	p.server = p.newServer(h, id, bootstrap, maps.Clone(replicas))
	p.SetSeeds(p.Seeds)
	if err := p.openReplica(h, replicas); err != nil {
		return err
	}
	if err := id.KeepResetSecret(filepath.Join(p.Data, resetSecretName)); err != nil {
		h.Log.Warn("no stateless resets after a restart", "error", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if p.liveness, err = listenForLiveness(id, string(p.Listen)); err != nil {
		_ = p.disk.Close()
		return err
	}
	p.listener, err = wire.Listen(string(p.Listen), id, &wire.Traffic{}, func(stream wire.Stream) { p.server.handle(ctx, stream) })
	if err != nil {
		_ = p.liveness.Close()
		_ = p.disk.Close()
	}
	return err
}

// Validate implements kernel.Validator. A sidecar detects the loss of its replica only after
// a lease, so an endpoint must stay listed for longer than that, until the sidecar has found
// another replica.
func (p *Plugin) Validate() error {
	if p.Lease <= 0 || p.Grace <= p.Lease {
		return errors.Errorf("grace of %v is not longer than the lease of %v", p.Grace.Std(), p.Lease.Std())
	}
	if needed := newMembershipPolicy(p.CatchUp.Std()).repairTime(p.Tick.Std()); p.Steward && needed > p.CatchUp.Std() {
		return errors.Errorf("catch_up of %v is too short: with a tick of %v, replacing a lost replica takes up to %v", p.CatchUp.Std(), p.Tick.Std(), needed)
	}
	return nil
}

// newServer returns a server without its replica, which openReplica adds.
func (p *Plugin) newServer(h *kernel.Host, id *wire.Identity, bootstrap *config.Document, addrs map[replica.ID]string) *Server {
	// Reports keep the connections to the other replicas in use.
	p.dialer = session.NewDialer(id, wire.PoolOptions{IdleTimeout: peerSilence}, &wire.Traffic{})
	s := &Server{
		barriers:       newBarriers(),
		clock:          h.Clock,
		log:            h.Log,
		name:           h.Node.Name,
		lease:          p.Lease.Std(),
		catchUp:        p.CatchUp.Std(),
		bootstrap:      bootstrap,
		table:          newTable(h.Clock.Now(), p.Grace.Std()),
		demand:         newDemand(p.decodeLimits),
		shareAllocator: &shareAllocator{leaseDuration: p.Lease.Std()},
		transport:      newTransport(p.dialer, h.Clock, h.Log, addrs),
	}
	s.store = newStore(h.Clock, s.followState)
	return s
}

// openReplica opens the disk and the replica on it. Run starts the replica.
func (p *Plugin) openReplica(h *kernel.Host, replicas map[replica.ID]string) error {
	disk, err := replica.OpenOSDisk(p.Data)
	if err != nil {
		return err
	}
	p.disk = disk
	p.replica, err = replica.Open(replica.Options{
		ID:            replica.ID(p.ID),
		Bootstrap:     replicas,
		Disk:          disk,
		StateMachine:  p.server.store,
		Transport:     p.server.transport,
		TickInterval:  p.Tick.Std(),
		SnapshotEvery: snapshotEvery,
		Log:           h.Log.Named("replica"),
	})
	if err != nil {
		_ = disk.Close()
		return err
	}
	p.server.node, p.server.members = p.replica, p.replica.Members
	p.server.registerMetrics(h.Metrics)
	return nil
}

// replicaAddrs returns Replicas with parsed numbers. It fails if ID is set and not among them.
func (p *Plugin) replicaAddrs() (map[replica.ID]string, error) {
	out := map[replica.ID]string{}
	for key, addr := range p.Replicas {
		id, err := strconv.ParseUint(key, 10, 64)
		if err != nil || id == 0 {
			return nil, errors.Errorf("replicas: %q is not a replica number", key)
		}
		out[replica.ID(id)] = string(addr)
	}
	if _, ok := out[replica.ID(p.ID)]; !ok && p.ID != 0 {
		return nil, errors.Errorf("replicas: no address for this replica's number %d", p.ID)
	}
	return out, nil
}

// readBootstrap reads and checks the initial configuration. It returns nil without a file.
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

// SetSeeds replaces the addresses in Seeds. It may be called while the plug-in runs.
func (p *Plugin) SetSeeds(seeds []settings.Addr) {
	addrs := settings.Addrs(seeds)
	p.server.seeds.Store(&addrs)
}

// Addr returns the address that the daemon listens on.
func (p *Plugin) Addr() string { return p.listener.Addr() }

// Run implements kernel.Runner. It returns an error if the replica stops on a disk fault,
// which ends the process.
func (p *Plugin) Run(ctx context.Context) error {
	// workCtx outlives ctx until leadership is transferred.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer p.close()
	defer stop()
	defer context.AfterFunc(ctx, func() {
		p.transferLeadership(workCtx)
		stop()
	})()
	// Serve returns only after all streams have ended, so p.cancel aborts them.
	defer context.AfterFunc(workCtx, p.cancel)()
	s := p.server
	s.transport.open(workCtx, p.replica.Status().ID, p.Addr())
	fault := make(chan error, 1)
	s.running.Go(func() {
		defer stop()
		fault <- p.replica.Run(workCtx)
	})
	s.running.Go(func() { s.runBarriers(workCtx) })
	s.running.Go(func() { serveLiveness(p.liveness) })
	defer context.AfterFunc(workCtx, func() { _ = p.liveness.Close() })()
	s.running.Go(func() { s.runSweeps(workCtx) })
	s.running.Go(func() { s.runReports(workCtx) })
	if p.Steward {
		s.running.Go(func() { s.runSteward(workCtx) })
	}
	err := p.listener.Serve(workCtx)
	stop()
	if replicaErr := <-fault; replicaErr != nil {
		return replicaErr
	}
	return err
}

// transferLeadership transfers leadership to another replica before a planned stop, so that
// the group does not wait for an election timeout.
func (p *Plugin) transferLeadership(ctx context.Context) {
	status := p.replica.Status()
	if status.Leader != status.ID || len(p.server.otherReplicas()) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := p.replica.Transfer(bounded, 0); err != nil {
		p.server.log.Warn("leadership transfer failed", "error", err)
		return
	}
	p.server.log.Info("leadership transferred")
}

// close ends all streams and goroutines and releases the disk.
func (p *Plugin) close() {
	p.cancel()
	p.server.running.Wait()
	p.server.transport.wait()
	p.dialer.Close()
	_ = p.disk.Close()
}
