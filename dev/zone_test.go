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

// doAsOperator sends a command to control as an operator.
func doAsOperator(t *testing.T, d *Deployment, name string, body, out any) {
	t.Helper()
	client, closeClient, err := d.Files.OperatorClient()
	if err != nil {
		t.Fatal(err)
	}
	defer closeClient()
	if err := client.Do(context.Background(), name, session.NewID(), body, out); err != nil {
		t.Fatal(err)
	}
}

// setZone takes a zone out of service or back into it, and waits until the change is
// applied in all processes.
func setZone(t *testing.T, d *Deployment, zone string, state config.ZoneState) {
	t.Helper()
	var changed command.Changed
	doAsOperator(t, d, command.NameChange, command.Change{
		Expect:  command.AnyRevision,
		Changes: []config.Change{{Zone: &config.Zone{Name: zone, Region: "leon-coast", State: state}}},
	}, &changed)
	eventually(t, "the change of the zone is applied", func() bool {
		var lagging command.Lagging
		doAsOperator(t, d, command.NameInForce, command.InForce(changed), &lagging)
		return len(lagging.Processes) == 0
	})
}

// load sends prompts from concurrent callers until stopAndWait is called, and counts
// the answers.
type load struct {
	ok, failed atomic.Int64
	t          *testing.T
	stop       chan struct{}
	once       sync.Once
	wg         sync.WaitGroup
}

// startLoad starts callers, each of which sends its prompts one after another.
func startLoad(t *testing.T, d *Deployment, callers int) *load {
	l := &load{t: t, stop: make(chan struct{})}
	t.Cleanup(l.stopAndWait)
	for i := range callers {
		l.wg.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				l.sendAndCount(d.Files.Entries[i%len(d.Files.Entries)])
			}
		})
	}
	return l
}

// sendAndCount sends a prompt to an entry and counts whether it is answered.
func (l *load) sendAndCount(entry string) {
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

// awaitCompleted waits until n more requests are answered.
func (l *load) awaitCompleted(t *testing.T, n int64) {
	t.Helper()
	from := l.ok.Load()
	eventually(t, "more requests are answered", func() bool { return l.ok.Load() >= from+n })
}

// stopAndWait stops the callers and waits for their requests.
func (l *load) stopAndWait() {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
}

func TestZoneOutOfServiceGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Small(t.TempDir()))
	l := startLoad(t, d, 6)
	l.awaitCompleted(t, 50)
	setZone(t, d, SmallZones[0], config.Out)
	before := d.Metric("scribe-1", "sidecar_granted_total")
	is.True(before > 0)
	l.awaitCompleted(t, 100)
	is.Equal(d.Metric("scribe-1", "sidecar_granted_total"), before)
	setZone(t, d, SmallZones[0], config.In)
	eventually(t, "the zone gets work again", func() bool { return d.Metric("scribe-1", "sidecar_granted_total") > before })
	l.stopAndWait()
	is.Equal(l.failed.Load(), int64(0))
}

func TestGracefulStopFailsNoRequest(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Small(t.TempDir()))
	l := startLoad(t, d, 6)
	l.awaitCompleted(t, 50)
	for _, name := range []string{"scribe-1", "scribe-2"} {
		is.NoErr(d.StopProcess(name))
		l.awaitCompleted(t, 20)
		is.NoErr(d.StartProcess(name))
		eventually(t, "the endpoint is back", func() bool { return d.Metric(name, "sidecar_granted_total") > 0 })
	}
	for _, name := range []string{"control-1", "control-2", "control-3"} {
		is.NoErr(d.StopProcess(name))
		l.awaitCompleted(t, 20)
		is.NoErr(d.StartProcess(name))
		l.awaitCompleted(t, 20)
	}
	l.stopAndWait()
	is.Equal(l.failed.Load(), int64(0))
}
