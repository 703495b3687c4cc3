package control_test

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// BenchmarkClaims measures claims a second with real files and sockets, by the number of
// replicas and of concurrent calls of one entry.
func BenchmarkClaims(b *testing.B) {
	for _, replicas := range []int{1, 3, 5} {
		for _, inFlight := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("replicas=%d/in-flight=%d", replicas, inFlight), func(b *testing.B) {
				benchmarkClaims(b, replicas, inFlight)
			})
		}
	}
}

func benchmarkClaims(b *testing.B, replicas, inFlight int) {
	d := deploy(b, replicas, benchIntervals)
	d.leader(d.client("operator-1", wire.RoleOperator, nil))
	sidecar := d.client("sidecar-1", wire.RoleSidecar, func(o *session.Options) {
		o.Endpoint = func() *wire.Endpoint { return &wire.Endpoint{Name: "desk", Incarnation: 1} }
	})
	if err := sidecar.Do(timeoutContext(b), command.NameFence, "f", command.Fence{Endpoint: "desk", Incarnation: 1}, nil); err != nil {
		b.Fatal(err)
	}
	entry := d.client("entry-1", wire.RoleEntry, nil)
	var next atomic.Int64
	var failed atomic.Int64
	b.ResetTimer()
	var wg sync.WaitGroup
	for range inFlight {
		wg.Go(func() {
			for {
				n := next.Add(1)
				if n > int64(b.N) {
					return
				}
				key := fmt.Sprintf("%d-%d", time.Now().UnixMilli(), n)
				var claimed command.Claimed
				err := entry.Do(timeoutContext(b), command.NameClaim, key, command.Claim{
					Account: "parish", Key: key, Endpoint: "desk", Incarnation: 1,
				}, &claimed)
				if err != nil || claimed.Fence == 0 {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	if failed.Load() > 0 {
		b.Fatalf("%d claims failed", failed.Load())
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkMembers measures, by the number of sessions, of which a third are entries and the
// others are sidecars: the bytes a second of a session while only loads change, the processor
// time and memory of a session at both ends together, and the time from the sending of a
// configuration change until the last process has it.
func BenchmarkMembers(b *testing.B) {
	for _, members := range []int{9, 30, 90, 180, 300} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchmarkMembers(b, members) })
	}
}

// fleet holds the entries and sidecars of one measurement. Every third client is an entry.
type fleet struct {
	clients []*session.Client
	traffic []*wire.Traffic
	entries int
}

// fleet starts the given number of entries and sidecars.
func (d *deployment) fleet(members int) *fleet {
	f := &fleet{}
	for i := range members {
		traffic := &wire.Traffic{}
		adjust := func(o *session.Options) {
			o.Opener = d.dialer(fmt.Sprint("p-", i), o.Role, traffic)
			o.Heartbeat, o.Lease = session.DefaultHeartbeat, session.DefaultLease
			o.Clock = nil
		}
		var c *session.Client
		if i%3 == 0 {
			f.entries++
			c = d.client(fmt.Sprint("p-", i), wire.RoleEntry, adjust)
		} else {
			c = d.client(fmt.Sprint("p-", i), wire.RoleSidecar, func(o *session.Options) {
				adjust(o)
				o.Endpoint = changingEndpoint(i)
			})
		}
		d.background(c.Run)
		f.clients = append(f.clients, c)
		f.traffic = append(f.traffic, traffic)
	}
	return f
}

// changingEndpoint returns a function that returns endpoint i with another load at each
// heartbeat.
func changingEndpoint(i int) func() *wire.Endpoint {
	var heartbeats atomic.Int64
	return func() *wire.Endpoint {
		return &wire.Endpoint{
			Name: fmt.Sprint("worker-", i), Region: "leon-coast", Zone: "hall", Addr: "10.0.0.1:7000", Incarnation: 1,
			Target: "scribe", Version: "v1",
			Load: wire.Load{
				FreeTokens: 100_000 - heartbeats.Add(1), CapacityTokens: 200_000, PrefillRate: 8123.5, DecodeRate: 512.25,
				RampTokens: -1, Running: 12,
			},
		}
	}
}

// bytes returns the bytes sent and received by all entries and by all sidecars.
func (f *fleet) bytes() (entries, sidecars int64) {
	for i, t := range f.traffic {
		if i%3 == 0 {
			entries += t.Sent.Load() + t.Received.Load()
		} else {
			sidecars += t.Sent.Load() + t.Received.Load()
		}
	}
	return entries, sidecars
}

// heapBytes returns the memory of the heap and the stacks after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// idleWindow is the time over which the traffic of an idle fleet is measured.
const idleWindow = 40 * time.Second

func benchmarkMembers(b *testing.B, members int) {
	d := deploy(b, 3, benchIntervals)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	d.leader(operator)
	before := heapBytes()
	f := d.fleet(members)
	for _, c := range f.clients {
		eventually(b, "process has a permission", func() bool { return c.Fresh() && c.View().Revision() > 0 })
	}
	time.Sleep(2 * session.DefaultHeartbeat)
	perMember := (heapBytes() - before) / float64(members)
	entries0, sidecars0 := f.bytes()
	cpu0 := cpuTime(b)
	time.Sleep(idleWindow)
	cpu := cpuTime(b) - cpu0
	entries1, sidecars1 := f.bytes()

	b.ResetTimer()
	var slowest time.Duration
	for range b.N {
		took := f.change(b, operator)
		slowest = max(slowest, took)
	}
	b.StopTimer()
	b.ReportMetric(float64(entries1-entries0)/idleWindow.Seconds()/float64(f.entries), "B/s/entry")
	b.ReportMetric(float64(sidecars1-sidecars0)/idleWindow.Seconds()/float64(members-f.entries), "B/s/sidecar")
	b.ReportMetric(perMember/1024, "KB/member")
	b.ReportMetric(float64(cpu.Microseconds())/idleWindow.Seconds()/float64(members), "us-cpu/s/member")
	b.ReportMetric(float64(slowest.Microseconds())/1000, "slowest-ms")
}

// change makes one configuration change and returns the time until every process has it.
func (f *fleet) change(b *testing.B, operator *session.Client) time.Duration {
	began := time.Now()
	var changed command.Changed
	if err := operator.Do(timeoutContext(b), command.NameChange, session.NewID(), zoneIn(command.AnyRevision), &changed); err != nil {
		b.Fatal(err)
	}
	for _, c := range f.clients {
		for c.View().Revision() < changed.Revision {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}
