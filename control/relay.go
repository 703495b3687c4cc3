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
	// relayInterval is the time between two questions of a relay to its replica.
	relayInterval = 500 * time.Millisecond
	// standingTimeout bounds a question to one process of control where it stands.
	standingTimeout = 500 * time.Millisecond
	// maxAskers bounds the processes that a relay remembers because they asked it.
	maxAskers = 16
)

// Relay stands in for a replica on a VM without a disk. It holds nothing: it knows
// a replica that answers and tells those who ask where the replicas are.
type Relay struct {
	// Listen is the address at which a replica of this VM would listen.
	Listen settings.Addr
	// Seeds are addresses of replicas or relays that are asked first. SetSeeds changes
	// them while the relay runs.
	Seeds []settings.Addr

	log      hclog.Logger
	clock    kernel.Clock
	dialer   *session.Dialer
	listener *wire.Server
	cancel   context.CancelFunc

	// mu is "control.relay" of kernel.LockOrder.
	mu sync.Mutex
	// replica is the replica that answered last; empty while none does.
	replica string
	// members are the addresses of the voters as a replica told them last.
	members []string
	// askers are the processes of control that asked last, the newest first. After all
	// processes were restarted they may be the only way to the replicas.
	askers []string
}

var (
	_ kernel.Provisioner = (*Relay)(nil)
	_ kernel.Runner      = (*Relay)(nil)
)

// Provision implements kernel.Provisioner.
func (r *Relay) Provision(h *kernel.Host) error {
	r.log, r.clock = h.Log, h.Clock
	id, err := wire.OpenIdentity(h.TLS, h.Node.Name, wire.RoleControl)
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

// SetSeeds replaces the seeds.
func (r *Relay) SetSeeds(seeds []settings.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Seeds = seeds
}

// Replica returns the address of a replica that answers, or nothing.
func (r *Relay) Replica() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica
}

// monitorReplica keeps hold of a replica that answers until ctx ends.
func (r *Relay) monitorReplica(ctx context.Context) {
	for ctx.Err() == nil {
		r.findReplica(ctx)
		select {
		case <-ctx.Done():
		case <-r.clock.After(relayInterval):
		}
	}
}

// findReplica asks the replica in use, and then the others until one answers that knows a
// leader. One that knows none serves while there is no better.
func (r *Relay) findReplica(ctx context.Context) {
	var found *command.ReplicaInfo
	var replica string
	for _, addr := range r.candidates() {
		s, err := askStanding(ctx, r.dialer, string(r.Listen), addr)
		if err != nil {
			r.log.Debug("process of control does not answer", "addr", addr, "error", err)
			continue
		}
		if s.ID != 0 && (found == nil || s.Leader != 0) {
			found, replica = s, addr
		}
		if s.ID == 0 {
			r.adoptMembers(s.Addrs)
		}
		if found != nil && found.Leader != 0 {
			break
		}
	}
	r.setReplica(replica, found)
}

// candidates lists the replica in use first, then the members, the seeds and those who
// asked.
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

// adoptMembers takes over the members that another relay knows, while no replica answers.
func (r *Relay) adoptMembers(members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replica == "" && len(members) > 0 {
		r.members = members
	}
}

func (r *Relay) setReplica(replica string, s *command.ReplicaInfo) {
	r.mu.Lock()
	before := r.replica
	r.replica = replica
	if s != nil && len(s.Addrs) > 0 {
		r.members = s.Addrs
	}
	r.mu.Unlock()
	switch {
	case before == replica:
	case replica == "":
		r.log.Warn("replica lost", "replica", before)
	default:
		r.log.Info("replica found", "replica", replica, "leader_known", s.Leader != 0, "voters", len(s.Addrs))
	}
}

// serve answers one stream by its first message.
func (r *Relay) serve(ctx context.Context, stream wire.Stream) {
	defer context.AfterFunc(ctx, stream.Abort)()
	m, err := stream.Recv()
	if err != nil {
		return
	}
	var reply wire.Message
	switch first := m.(type) {
	case *wire.Hello:
		// A process that knows only relays learns the members and goes on to one.
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

// recordAsker notes who asks.
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

// knownMembers returns the members, or at least the replica in use.
func (r *Relay) knownMembers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.members) == 0 && r.replica != "" {
		return []string{r.replica}
	}
	return slices.Clone(r.members)
}

// askStanding asks the process of control at addr where it stands, on behalf of the one
// at self.
func askStanding(ctx context.Context, dialer session.Dropper, self, addr string) (*command.ReplicaInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, standingTimeout)
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
