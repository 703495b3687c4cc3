package dev

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
)

// Prompts are served after control has lost its quorum, and after it has lost its last
// replica, for longer than a permission of control is valid. Non-idempotent calls,
// which need the quorum, are refused at once with the verdict not_run, and run again
// when the replicas have restarted.
func TestPromptsAreServedWithoutAQuorum(t *testing.T) {
	is := is.New(t)
	d := startWithService(t)
	l := startLoad(t, d, 4)
	for _, name := range []string{"control-2", "control-3", "control-1"} {
		is.NoErr(d.StopProcess(name))
		if name == "control-2" {
			continue
		}
		time.Sleep(2 * session.DefaultLease)
		l.awaitCompleted(t, 20)
		sealed := seal(d.Files.Entries[0], newKey(), "{}")
		is.Equal(sealed.status, http.StatusServiceUnavailable)
		is.Equal(sealed.verdict, "not_run")
	}
	for _, name := range []string{"control-1", "control-2", "control-3"} {
		is.NoErr(d.StartProcess(name))
	}
	eventually(t, "service executes calls again", func() bool { return seal(d.Files.Entries[0], newKey(), "{}").status == http.StatusOK })
	l.stopAndWait()
	is.Equal(l.failed.Load(), int64(0))
}

// A change that takes a zone out of service is applied when control answers it: no
// endpoint of the zone gets new work after the answer.
func TestAcceptedZoneChangeIsApplied(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, Small(t.TempDir()))
	l := startLoad(t, d, 4)
	l.awaitCompleted(t, 20)
	client, closeClient, err := d.Files.OperatorClient()
	is.NoErr(err)
	defer closeClient()
	is.NoErr(client.Do(context.Background(), command.NameChange, session.NewID(), command.Change{
		Expect:  command.AnyRevision,
		Changes: []config.Change{{Zone: &config.Zone{Name: SmallZones[1], Region: "leon-coast", State: config.Out}}},
	}, nil))
	before := d.Metric("scribe-2", "sidecar_granted_total")
	l.awaitCompleted(t, 50)
	is.Equal(d.Metric("scribe-2", "sidecar_granted_total"), before)
	l.stopAndWait()
	is.Equal(l.failed.Load(), int64(0))
}
