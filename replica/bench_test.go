package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// nullMachine is a state machine without state, so that the benchmarks measure the
// replication alone.
type nullMachine struct{ applied uint64 }

func (m *nullMachine) Apply(index uint64, _ []byte) []byte {
	m.applied = index
	return nil
}

func (m *nullMachine) Snapshot() ([]byte, error) { return make([]byte, 1024), nil }

func (m *nullMachine) Restore([]byte) error { return nil }

// benchCommand has the size of a typical command, a claim of the control service.
var benchCommand = make([]byte, 64)

// newBenchGroup starts a group on real files and returns it with its leader.
func newBenchGroup(b *testing.B, size int) (*liveGroup, *Replica) {
	g := newLiveGroup(b, size, func(o *Options) {
		o.StateMachine = &nullMachine{}
		o.TickInterval = DefaultTickInterval
	})
	if err := g.propose(b.Context(), benchCommand); err != nil {
		b.Fatal(err)
	}
	for _, r := range g.replicas {
		if s := r.Status(); s.Leader == s.ID {
			return g, r
		}
	}
	b.Fatal("no leader")
	return nil, nil
}

// BenchmarkCommit measures Propose with several group sizes and numbers of concurrent
// callers, on real files.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", size, callers), func(b *testing.B) {
				g, leader := newBenchGroup(b, size)
				defer g.stop()
				g.mu.Lock()
				before := g.bytes
				g.mu.Unlock()
				b.ResetTimer()
				latencies := runCallers(b, callers, func(ctx context.Context) error {
					_, err := leader.Propose(ctx, benchCommand)
					return err
				})
				b.StopTimer()
				report(b, latencies)
				g.mu.Lock()
				b.ReportMetric(float64(g.bytes-before)/float64(b.N), "wireB/op")
				g.mu.Unlock()
			})
		}
	}
}

// BenchmarkBarrier measures Barrier on a follower.
func BenchmarkBarrier(b *testing.B) {
	for _, callers := range []int{1, 256} {
		b.Run(fmt.Sprintf("replicas=3/callers=%d", callers), func(b *testing.B) {
			g, leader := newBenchGroup(b, 3)
			defer g.stop()
			follower := g.replicas[leader.Status().ID%3+1]
			b.ResetTimer()
			report(b, runCallers(b, callers, follower.Barrier))
		})
	}
}

// runCallers divides b.N calls among concurrent callers and returns their latencies,
// sorted.
func runCallers(b *testing.B, callers int, call func(context.Context) error) []time.Duration {
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				start := time.Now()
				if err := call(context.Background()); err != nil {
					b.Error(err)
				}
				latencies[i] = time.Since(start)
			}
		})
	}
	running.Wait()
	slices.Sort(latencies)
	return latencies
}

// report reports the percentiles of sorted latencies and the rate of calls.
func report(b *testing.B, sorted []time.Duration) {
	at := func(q float64) float64 {
		return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
	}
	b.ReportMetric(at(0.5), "p50-us")
	b.ReportMetric(at(0.99), "p99-us")
	b.ReportMetric(float64(len(sorted))/b.Elapsed().Seconds(), "calls/s")
}

// BenchmarkOpen measures the restart of a replica with logs of several lengths.
func BenchmarkOpen(b *testing.B) {
	for _, entries := range []int{1000, 10000, 100000, 1000000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			disk, err := OpenOSDisk(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			defer disk.Close()
			fillLog(b, disk, entries)
			b.ResetTimer()
			for range b.N {
				openAndApply(b, disk, entries)
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/open")
		})
	}
}

// fillLog writes an identity and a log with the given number of entries, 100 in a frame.
func fillLog(b *testing.B, disk Disk, entries int) {
	id := identity{ID: 1, Disk: 1, State: foundingDone, Members: votersOf(1)}
	if err := saveIdentity(disk, id); err != nil {
		b.Fatal(err)
	}
	s, _, err := openStore(disk, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer s.close()
	for i := 0; i < entries; i += 100 {
		rd := ready{hardState: hardState{Term: 1, Vote: 1}}
		for j := range 100 {
			rd.entries = append(rd.entries, Entry{Index: uint64(i + j + 1), Term: 1, Data: benchCommand})
		}
		if err := s.save(&rd); err != nil {
			b.Fatal(err)
		}
	}
}

func openAndApply(b *testing.B, disk Disk, entries int) {
	m := &nullMachine{}
	r, err := Open(Options{
		Disk:          disk,
		StateMachine:  m,
		Transport:     &liveGroup{},
		SnapshotEvery: 1 << 40, // no snapshot, so that the log keeps its length
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := r.processReady(); err != nil { // runOnce could also take a snapshot
		b.Fatal(err)
	}
	r.store.close()
	if m.applied < uint64(entries) {
		b.Fatalf("applied %d of %d", m.applied, entries)
	}
}

// BenchmarkFailover measures the ticks from the kill of the leader until a new leader has
// committed an entry of its term, with and without core.yield.
func BenchmarkFailover(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, off := range []bool{true, false} {
			b.Run(fmt.Sprintf("replicas=%d/yield-off=%t", size, off), func(b *testing.B) {
				benchFailover(b, size, tuneCore(func(o *coreOptions) { o.disableYield = off }))
			})
		}
	}
}

func benchFailover(b *testing.B, size int, tune func(*Options)) {
	var ticks []int
	for seed := range b.N {
		c := newCluster(b, uint64(seed), size, tune)
		c.elect()
		c.converge()
		c.kill(c.leader().id)
		start := c.now
		c.elect()
		ticks = append(ticks, c.now-start)
	}
	slices.Sort(ticks)
	b.ReportMetric(float64(ticks[len(ticks)/2]), "p50-ticks")
	b.ReportMetric(float64(ticks[len(ticks)*99/100]), "p99-ticks")
	b.ReportMetric(float64(ticks[len(ticks)-1]), "max-ticks")
}

// BenchmarkFailoverLive measures the time from the end of the leader's process to the next
// commit, in a group on real files.
func BenchmarkFailoverLive(b *testing.B) {
	var took []time.Duration
	for range b.N {
		g, leader := newBenchGroup(b, 3)
		id := leader.Status().ID
		for {
			if r := g.replicas[id%3+1]; r.Status().Leader == id {
				break
			}
			time.Sleep(time.Millisecond)
		}
		g.cancels[id]()
		start := time.Now()
		next := id%3 + 1
		for {
			_, err := g.replicas[next].Propose(b.Context(), benchCommand)
			if err == nil {
				break
			}
			next = next%3 + 1
			time.Sleep(time.Millisecond)
		}
		took = append(took, time.Since(start))
		g.stop()
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
}

// BenchmarkDiskBytes measures the bytes written on each replica by a command of 64 bytes,
// alone and in batches that share a sync.
func BenchmarkDiskBytes(b *testing.B) {
	for _, batch := range []int{1, 100} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			s, _, err := openStore(newMemDisk(), 0)
			if err != nil {
				b.Fatal(err)
			}
			disk := s.disk.(*memDisk)
			for i := 0; i < b.N; i += batch {
				rd := ready{hardState: hardState{Term: 3, Vote: 2}}
				for j := range batch {
					rd.entries = append(rd.entries, Entry{Index: uint64(i + j + 1), Term: 3, Data: benchCommand})
				}
				if err := s.save(&rd); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(disk.written)/float64(b.N), "diskB/op")
			b.ReportMetric(float64(disk.syncs)/float64(b.N), "syncs/op")
		})
	}
}

// BenchmarkIdle measures the bytes that an idle group sends in a second, with ticks of
// 50 ms.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			c := newCluster(b, 1, size, nil)
			c.elect()
			c.converge()
			before := c.bytes
			c.steps(b.N * int(time.Second/DefaultTickInterval))
			b.ReportMetric(float64(c.bytes-before)/float64(b.N), "wireB/s")
		})
	}
}
