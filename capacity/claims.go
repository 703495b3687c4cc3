package capacity

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
)

// claimedEndpoint is the endpoint that all claims are for. It is the first one that
// addSidecars adds.
const claimedEndpoint = "worker-0"

// claims measures how fast 3 replicas with a log on disk commit claims.
func claims(dir string, o Options) ([]*Table, error) {
	t := &Table{
		Name:    "claims committed",
		Method:  "3 replicas with synced files, each caller makes one claim after the other; processor time of all parts in this process",
		X:       "callers",
		Columns: []string{"claims/s", "p50 ms", "p99 ms", "cpu us a claim", "refused"},
	}
	g, err := startGroup(dir, 3, dev.Small(dir).Bootstrap)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	if err := g.addSidecars(1); err != nil {
		return nil, err
	}
	if err := g.addEntries(1); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	fence := command.Fence{Endpoint: claimedEndpoint, Incarnation: 1}
	if err := g.sidecars[0].client.Do(ctx, command.NameFence, "fence", fence, nil); err != nil {
		return nil, err
	}
	for _, n := range o.Callers {
		if err := g.claimRow(ctx, n, o.Window, t); err != nil {
			return nil, err
		}
	}
	return []*Table{t}, nil
}

// claimRow adds the measurement with concurrent callers to t.
func (g *group) claimRow(ctx context.Context, callers int, span time.Duration, t *Table) error {
	before, err := processorTime()
	if err != nil {
		return err
	}
	began := time.Now()
	times := make([][]time.Duration, callers)
	errs := make([]error, callers)
	var refused atomic.Int64
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			var n int64
			times[i], n, errs[i] = g.claimUntil(ctx, fmt.Sprint(callers, "-", i), began.Add(span))
			refused.Add(n)
		})
	}
	running.Wait()
	took := time.Since(began)
	after, err := processorTime()
	for _, e := range errs {
		if e != nil {
			err = e
		}
	}
	if err != nil {
		return err
	}
	all := slices.Concat(times...)
	slices.Sort(all)
	t.add(float64(callers), float64(len(all))/took.Seconds(),
		milliseconds(quantile(all, 0.5)), milliseconds(quantile(all, 0.99)),
		float64((after-before).Microseconds())/float64(len(all)), float64(refused.Load()))
	return nil
}

// claimUntil makes claims one after the other until the deadline. It returns their
// durations and the number of those that were answered without a fencing number.
func (g *group) claimUntil(ctx context.Context, prefix string, deadline time.Time) (times []time.Duration, refused int64, err error) {
	for n := 0; time.Now().Before(deadline); n++ {
		began := time.Now()
		// Control keeps the records of keys without a timestamp forever and limits their
		// number, so the key begins with one.
		key := fmt.Sprintf("%d-%s-%d", began.UnixMilli(), prefix, n)
		var claimed command.Claimed
		err := g.entries[0].client.Do(ctx, command.NameClaim, key, command.Claim{
			Account: dev.SmallAccount, Key: key, Endpoint: claimedEndpoint, Incarnation: 1,
		}, &claimed)
		if err != nil {
			return nil, refused, err
		}
		times = append(times, time.Since(began))
		if claimed.Fence == 0 {
			refused++
		}
	}
	return times, refused, nil
}
