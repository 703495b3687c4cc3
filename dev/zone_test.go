package dev

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
)

// operate sends one command as an operator.
func operate(t *testing.T, d *Deployment, name string, body, out any) {
	t.Helper()
	client, done, err := d.Files.OperatorClient()
	if err != nil {
		t.Fatal(err)
	}
	defer done()
	if err := client.Do(context.Background(), name, session.NewID(), body, out); err != nil {
		t.Fatal(err)
	}
}

// setZone orders a zone in or out and waits until that is in force everywhere.
func setZone(t *testing.T, d *Deployment, zone string, state config.ZoneState) {
	t.Helper()
	var changed command.Changed
	operate(t, d, command.NameChange, command.Change{
		Expect:  command.AnyRevision,
		Changes: []config.Change{{Zone: &config.Zone{Name: zone, Region: "leon-coast", State: state}}},
	}, &changed)
	until(t, "the zone's order is in force", func() bool {
		var lagging command.Lagging
		operate(t, d, command.NameInForce, command.InForce(changed), &lagging)
		return len(lagging.Processes) == 0
	})
}

// load keeps callers busy until its stop function is called.
type load struct {
	ok, failed atomic.Int64
	t          *testing.T
	stop       chan struct{}
	once       sync.Once
	wg         sync.WaitGroup
}

func startLoad(t *testing.T, d *Deployment, callers int) *load {
	l := &load{t: t, stop: make(chan struct{})}
	t.Cleanup(l.end)
	for i := range callers {
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				l.count(d.Files.Entries[i%len(d.Files.Entries)])
			}
		})
	}
	return l
}

func (l *load) count(entry string) {
	res, err := completion(entry, false)
	if err != nil {
		l.t.Log(err)
		l.failed.Add(1)
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		l.t.Logf("%s: %s", res.Status, body)
		l.failed.Add(1)
		return
	}
	l.ok.Add(1)
}

// more waits until n more requests have ended well.
func (l *load) more(t *testing.T, n int64) {
	t.Helper()
	from := l.ok.Load()
	until(t, "requests go on", func() bool { return l.ok.Load() >= from+n })
}

func (l *load) end() {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
}

func TestAZoneThatIsOutGetsNoNewWorkWhileTheOthersServe(t *testing.T) {
	is := is.New(t)
	d := start(t, Small(t.TempDir()))
	l := startLoad(t, d, 6)
	l.more(t, 50)
	setZone(t, d, SmallZones[0], config.Out)
	before := d.Metric("scribe-1", "sidecar_granted_total")
	is.True(before > 0)
	l.more(t, 100)
	is.Equal(d.Metric("scribe-1", "sidecar_granted_total"), before)
	setZone(t, d, SmallZones[0], config.In)
	until(t, "the zone takes work again", func() bool { return d.Metric("scribe-1", "sidecar_granted_total") > before })
	l.end()
	is.Equal(l.failed.Load(), int64(0))
}

func TestAPlannedStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	d := start(t, Small(t.TempDir()))
	l := startLoad(t, d, 6)
	l.more(t, 50)
	for _, name := range []string{"scribe-1", "scribe-2"} {
		is.NoErr(d.StopProcess(name))
		l.more(t, 20)
		is.NoErr(d.StartProcess(name))
		until(t, "the endpoint is back", func() bool { return d.Metric(name, "sidecar_granted_total") > 0 })
	}
	for _, name := range []string{"control-1", "control-2", "control-3"} {
		is.NoErr(d.StopProcess(name))
		l.more(t, 20)
		is.NoErr(d.StartProcess(name))
		l.more(t, 20)
	}
	l.end()
	is.Equal(l.failed.Load(), int64(0))
}
