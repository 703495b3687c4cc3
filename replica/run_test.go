package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// liveGroup runs replicas by Replica.Run, on real files and in real time.
type liveGroup struct {
	tb       testing.TB
	mu       sync.Mutex
	replicas map[ID]*Replica
	cancels  map[ID]context.CancelFunc
	running  sync.WaitGroup
	dirs     map[ID]string
	addrs    map[ID]string
	tune     func(*Options)
	bytes    int
}

// Send implements Transport.
func (g *liveGroup) Send(to ID, m *Message) {
	b, err := m.Marshal()
	if err != nil {
		panic(err)
	}
	copied := &Message{}
	if err := copied.Unmarshal(b); err != nil {
		panic(err)
	}
	g.mu.Lock()
	r := g.replicas[to]
	g.bytes += len(b)
	g.mu.Unlock()
	if r != nil {
		r.Receive(copied)
	}
}

func newLiveGroup(tb testing.TB, size int, tune func(*Options)) *liveGroup {
	g := &liveGroup{
		tb:       tb,
		replicas: map[ID]*Replica{},
		cancels:  map[ID]context.CancelFunc{},
		dirs:     map[ID]string{},
		addrs:    map[ID]string{},
		tune:     tune,
	}
	for i := 1; i <= size; i++ {
		g.addrs[ID(i)] = fmt.Sprint("10.0.0.", i)
		g.dirs[ID(i)] = tb.TempDir()
	}
	for id := range g.addrs {
		g.start(id)
	}
	return g
}

func (g *liveGroup) start(id ID) {
	disk, err := OpenOSDisk(g.dirs[id])
	if err != nil {
		g.tb.Fatal(err)
	}
	o := Options{
		ID:           id,
		Bootstrap:    g.addrs,
		Disk:         disk,
		StateMachine: &listMachine{},
		Transport:    g,
		TickInterval: 5 * time.Millisecond,
	}
	if g.tune != nil {
		g.tune(&o)
	}
	r, err := Open(o)
	if err != nil {
		g.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	g.replicas[id] = r
	g.cancels[id] = cancel
	g.mu.Unlock()
	g.running.Go(func() {
		defer disk.Close()
		if err := r.Run(ctx); err != nil {
			g.tb.Error(err)
		}
	})
}

func (g *liveGroup) stop() {
	for _, cancel := range g.cancels {
		cancel()
	}
	g.running.Wait()
}

// propose finds the leader and retries until the leader accepts the command, and returns
// the outcome.
func (g *liveGroup) propose(ctx context.Context, command []byte) error {
	at := ID(1)
	for {
		_, err := g.replicas[at].Propose(ctx, command)
		var not ErrNotLeader
		switch {
		case errors.As(err, &not):
			at = not.Leader
		case errors.Is(err, ErrNoQuorum) && ctx.Err() == nil:
			at = at%ID(len(g.replicas)) + 1
			time.Sleep(time.Millisecond)
		default:
			return err
		}
	}
}

func TestRunCommitsFromManyCallersAndRestarts(t *testing.T) {
	is := is.New(t)
	g := newLiveGroup(t, 3, func(o *Options) { o.SnapshotEvery = 30 })
	ctx := context.Background()
	var callers sync.WaitGroup
	// On a busy machine the leader may change. A command whose outcome is then unknown is
	// retried.
	var again atomic.Int64
	for i := range 8 {
		callers.Go(func() {
			for j := range 20 {
				err := g.propose(ctx, fmt.Appendf(nil, "%d-%d", i, j))
				for ; errors.Is(err, ErrUncertain); err = g.propose(ctx, fmt.Appendf(nil, "%d-%d", i, j)) {
					again.Add(1)
				}
				if err != nil {
					t.Error(err)
				}
				err = g.replicas[ID(i%3+1)].Barrier(ctx)
				for ; errors.Is(err, ErrNoQuorum); err = g.replicas[ID(i%3+1)].Barrier(ctx) {
					time.Sleep(time.Millisecond)
				}
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
	g.stop()
	_, err := g.replicas[1].Propose(ctx, nil)
	is.True(errors.Is(err, ErrStopped))
	for id := range g.addrs {
		g.start(id)
	}
	is.NoErr(g.propose(ctx, []byte("last")))
	is.NoErr(g.replicas[2].Barrier(ctx))
	commands := g.replicas[2].opts.StateMachine.(*listMachine).Commands
	different := map[string]bool{}
	for _, c := range commands {
		different[string(c)] = true
	}
	is.Equal(len(different), 161)
	// Only commands that were retried may have been applied twice.
	is.True(len(commands) >= 161 && len(commands) <= 161+int(again.Load()))
	g.stop()
}

func TestCallersGetAnAnswerWhenTheReplicaStops(t *testing.T) {
	is := is.New(t)
	disk, err := OpenOSDisk(t.TempDir())
	is.NoErr(err)
	defer disk.Close()
	r, err := Open(Options{Disk: disk, StateMachine: &listMachine{}, Transport: &liveGroup{}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan error, 2)
	go func() { answers <- r.Barrier(context.Background()) }()
	go func() { answers <- r.Run(ctx) }()
	cancel()
	first, second := <-answers, <-answers
	is.True(errors.Is(first, ErrStopped) || errors.Is(second, ErrStopped))
}
