package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// relayInterval is the time between two requests of a relay to its replica.
	relayInterval = 500 * time.Millisecond
	// replicaInfoTimeout bounds one request for a control process's command.ReplicaInfo.
	replicaInfoTimeout = 500 * time.Millisecond
	// maxAskers is the maximum number of addresses in Relay.askers.
	maxAskers = 16
)

// Relay is the control process of a VM without a disk. It stores no state. It tracks a
// replica that answers, and sends other processes the addresses of the replicas.
type Relay struct {
	// Listen is the address at which a replica of this VM would listen.
	Listen settings.Addr
	// Seeds are addresses of replicas or relays through which the relay finds the group.
	// SetSeeds changes them while the relay runs.
	Seeds []settings.Addr

	log      hclog.Logger
	clock    kernel.Clock
	dialer   *session.Dialer
	listener *wire.Server
	cancel   context.CancelFunc

	// mu is "control.relay" of kernel.LockOrder.
	mu sync.Mutex
	// replica is the address of the replica in use, or empty if none answers.
	replica string
	// members are the addresses of the voters from the latest answer that listed them.
	members []string
	// askers are the addresses of the control processes that sent the latest requests, newest
	// first. After a restart of all processes they may be the only known way to the replicas.
	askers []string
}

var (
	_ kernel.Provisioner = (*Relay)(nil)
	_ kernel.Runner      = (*Relay)(nil)
)

// Provision implements kernel.Provisioner.
func (r *Relay) Provision(h *kernel.Host) error {
	r.log, r.clock = h.Log, h.Clock
	id, err := wire.OpenIdentity(h.TLS, h.Node, wire.RoleControl)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.dialer = session.NewDialer(id, wire.PoolOptions{}, &wire.Traffic{})
	if r.listener, err = wire.Listen(string(r.Listen), id, &wire.Traffic{}, func(s wire.Stream) { r.serve(ctx, s) }); err != nil {
		r.dialer.Close()
		return err
	}
	return nil
}

// Run implements kernel.Runner.
func (r *Relay) Run(ctx context.Context) error {
	defer r.dialer.Close()
	defer context.AfterFunc(ctx, r.cancel)()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.monitorReplica(ctx) })
	return r.listener.Serve(ctx)
}

// SetSeeds replaces Seeds.
func (r *Relay) SetSeeds(seeds []settings.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Seeds = seeds
}

// Replica returns the address of the replica in use, or an empty string if none answers.
func (r *Relay) Replica() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica
}

// monitorReplica calls findReplica at relayInterval until ctx ends.
func (r *Relay) monitorReplica(ctx context.Context) {
	for ctx.Err() == nil {
		r.findReplica(ctx)
		select {
		case <-ctx.Done():
		case <-r.clock.After(relayInterval):
		}
	}
}

// findReplica asks the replica in use and then the other candidates until one answers that
// knows a leader. If none knows a leader, it uses the first replica that answered.
func (r *Relay) findReplica(ctx context.Context) {
	var found *command.ReplicaInfo
	var replica string
	for _, addr := range r.candidates() {
		info, err := askReplicaInfo(ctx, r.dialer, string(r.Listen), addr)
		if err != nil {
			r.log.Debug("control process does not answer", "addr", addr, "error", err)
			continue
		}
		if info.ID != 0 && (found == nil || info.Leader != 0) {
			found, replica = info, addr
		}
		if info.ID == 0 {
			r.adoptMembers(info.Addrs)
		}
		if found != nil && found.Leader != 0 {
			break
		}
	}
	r.setReplica(replica, found)
}

// candidates returns the addresses to ask: the replica in use first, then the members, the
// seeds and the askers.
func (r *Relay) candidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, addr := range slices.Concat([]string{r.replica}, r.members, settings.Addrs(r.Seeds), r.askers) {
		if addr != "" && addr != string(r.Listen) && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// adoptMembers adopts the members that another relay knows, if no replica is in use.
func (r *Relay) adoptMembers(members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica == "" && len(members) > 0 {
		r.members = members
	}
}

// setReplica records the replica in use and the voters that it listed. If no replica answers,
// replica is empty, info is nil and the known members stay.
func (r *Relay) setReplica(replica string, info *command.ReplicaInfo) {
	r.mu.Lock()
	before := r.replica
	r.replica = replica
	if info != nil && len(info.Addrs) > 0 {
		r.members = info.Addrs
	}
	r.mu.Unlock()
	switch {
	case before == replica:
	case replica == "":
		r.log.Warn("replica lost", "replica", before)
	default:
		r.log.Info("replica found", "replica", replica, "leader_known", info.Leader != 0, "voters", len(info.Addrs))
	}
}

// serve answers the first message of a stream and closes the stream.
func (r *Relay) serve(ctx context.Context, stream wire.Stream) {
	defer context.AfterFunc(ctx, stream.Abort)()
	m, err := stream.Recv()
	if err != nil {
		return
	}
	var reply wire.Message
	switch first := m.(type) {
	case *wire.Hello:
		// A process that knows only relays gets the members' addresses and opens its session
		// with one of them.
		reply = &wire.Update{Replicas: r.knownMembers()}
	case *wire.Command:
		reply = r.answer(first)
	default:
		stream.Abort()
		return
	}
	if err := stream.Send(reply); err != nil {
		r.log.Debug("answer not sent", "peer", stream.Peer().Name, "error", err)
		return
	}
	if err := stream.CloseSend(); err != nil {
		r.log.Debug("stream not closed", "peer", stream.Peer().Name, "error", err)
	}
}

// answer answers a request for replica info itself. It redirects other commands to the replica
// in use.
func (r *Relay) answer(c *wire.Command) *wire.Answer {
	if c.Name == command.NameReplicaInfo {
		r.recordAsker(c)
		return accepted(command.ReplicaInfo{Addrs: r.knownMembers()})
	}
	if replica := r.Replica(); replica != "" {
		return &wire.Answer{Leader: replica}
	}
	return refused(noQuorum())
}

// recordAsker remembers the address of the control process that sent a request for replica info.
func (r *Relay) recordAsker(c *wire.Command) {
	var asker command.ReplicaInfoRequest
	if len(c.Body) == 0 || wire.Unmarshal(c.Body, &asker) != nil || asker.Addr == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	others := slices.DeleteFunc(r.askers, func(a string) bool { return a == asker.Addr })
	r.askers = append([]string{asker.Addr}, others[:min(len(others), maxAskers-1)]...)
}

// knownMembers returns the addresses of the members, or of the replica in use if no members
// are known.
func (r *Relay) knownMembers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.members) == 0 && r.replica != "" {
		return []string{r.replica}
	}
	return slices.Clone(r.members)
}

// askReplicaInfo requests the replica info of the control process at addr. self is the address
// of the control process that asks.
func askReplicaInfo(ctx context.Context, dialer session.Dropper, self, addr string) (*command.ReplicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaInfoTimeout)
	defer cancel()
	body, err := wire.Marshal(&command.ReplicaInfoRequest{Addr: self})
	if err != nil {
		return nil, err
	}
	answer, err := session.Exchange(ctx, dialer, addr, &wire.Command{ID: session.NewID(), Name: command.NameReplicaInfo, Body: body})
	if err != nil {
		return nil, err
	}
	return session.DecodeReplicaInfo(answer)
}
