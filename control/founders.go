package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// foundersRetryInterval is the delay before the request to a seed that did not answer is retried.
const foundersRetryInterval = 100 * time.Millisecond

// Founders returns the seeds on VMs with a disk, sorted by address. Their replicas form the
// group at the first start of a deployment. Each control process that has a disk and whose
// own address is a seed calls Founders before it creates its replica, with this address as
// self. All callers get the same list, because whether a VM has a disk does not change, and Founders waits until
// every seed has answered or ctx ends. Meanwhile it listens on self and answers the other
// callers.
func Founders(ctx context.Context, h *kernel.Host, self settings.Addr, seeds []settings.Addr) ([]settings.Addr, error) {
	id, err := wire.OpenIdentity(h.TLS, h.Node, wire.RoleControl)
	if err != nil {
		return nil, err
	}
	serveCtx, stop := context.WithCancel(ctx)
	defer stop()
	listener, err := wire.Listen(string(self), id, &wire.Traffic{}, func(s wire.Stream) { answerFounderQuery(serveCtx, s) })
	if err != nil {
		return nil, err
	}
	var serving sync.WaitGroup
	defer serving.Wait()
	defer stop()
	serving.Go(func() {
		if err := listener.Serve(serveCtx); err != nil {
			h.Log.Warn("answering other founders failed", "error", err)
		}
	})
	dialer := session.NewDialer(id, wire.PoolOptions{}, &wire.Traffic{})
	defer dialer.Close()
	founders := []settings.Addr{self}
	for _, seed := range seeds {
		if seed == self {
			continue
		}
		seedHasDisk, err := hasDisk(ctx, h, dialer, self, seed)
		if err != nil {
			return nil, err
		}
		if seedHasDisk {
			founders = append(founders, seed)
		}
	}
	slices.Sort(founders)
	h.Log.Info("founders known", "founders", founders, "seeds", len(seeds))
	return founders, nil
}

// hasDisk reports whether the control process at addr has a disk. It asks until the process
// answers or ctx ends.
func hasDisk(ctx context.Context, h *kernel.Host, dialer session.Dropper, self, addr settings.Addr) (bool, error) {
	for {
		info, err := askReplicaInfo(ctx, dialer, string(self), string(addr))
		if err == nil {
			return info.ID != 0, nil
		}
		h.Log.Info("seed does not answer yet", "seed", addr, "error", err)
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-h.Clock.After(foundersRetryInterval):
		}
	}
}

// unassignedID is the replica number in answers of a process whose replica does not exist yet.
// Zero would mark the process as a relay; any other number would do.
const unassignedID = ^uint64(0)

// answerFounderQuery answers one stream of another caller of Founders. It refuses all other
// commands.
func answerFounderQuery(ctx context.Context, stream wire.Stream) {
	defer context.AfterFunc(ctx, stream.Abort)()
	m, err := stream.Recv()
	if err != nil {
		return
	}
	reply := refused(noQuorum())
	if c, ok := m.(*wire.Command); ok && c.Name == command.NameReplicaInfo {
		reply = accepted(command.ReplicaInfo{ID: unassignedID})
	}
	if stream.Send(reply) == nil {
		_ = stream.CloseSend()
	}
}
