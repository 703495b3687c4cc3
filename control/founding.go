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

// foundersRetry is the wait before a seed that did not answer is asked again.
const foundersRetry = 100 * time.Millisecond

// Founders returns the seeds that hold a disk, sorted: the replicas that form the
// group at the first start of a deployment. Each process with a disk on a seed calls
// it before its replica exists. All of them return the same list, because whether a VM
// has a disk does not change and Founders waits until every seed has said so.
func Founders(ctx context.Context, h *kernel.Host, self settings.Addr, seeds []settings.Addr) ([]settings.Addr, error) {
	id, err := wire.OpenIdentity(h.TLS, h.Node.Name, wire.RoleControl)
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
			h.Log.Warn("founders cannot ask this replica", "error", err)
		}
	})
	dialer := session.NewDialer(id, wire.PoolOptions{}, &wire.Traffic{})
	defer dialer.Close()
	founders := []settings.Addr{self}
	for _, seed := range seeds {
		if seed == self {
			continue
		}
		holds, err := hasDisk(ctx, h, dialer, self, seed)
		if err != nil {
			return nil, err
		}
		if holds {
			founders = append(founders, seed)
		}
	}
	slices.Sort(founders)
	h.Log.Info("founders known", "founders", founders, "seeds", len(seeds))
	return founders, nil
}

// hasDisk asks the process of control at addr until it answers or ctx ends.
func hasDisk(ctx context.Context, h *kernel.Host, dialer session.Dropper, self, addr settings.Addr) (bool, error) {
	for {
		s, err := askStanding(ctx, dialer, string(self), string(addr))
		if err == nil {
			return s.ID != 0, nil
		}
		h.Log.Info("seed does not answer yet", "seed", addr, "error", err)
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-h.Clock.After(foundersRetry):
		}
	}
}

// unassignedID is the number that a replica gives itself before it knows its own. It only
// says that there is a replica.
const unassignedID = ^uint64(0)

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
