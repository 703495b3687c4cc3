package e2e

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
)

// metric returns the value of a metric of a process, read from its operator address.
func (s *system) metric(name, metric string) float64 {
	s.t.Helper()
	res, err := http.Get("http://" + s.files.Metrics[name] + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		key, value, ok := strings.Cut(lines.Text(), " ")
		if ok && key == metric {
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				s.t.Fatal(err)
			}
			return v
		}
	}
	return 0
}

// suspend suspends a process with SIGSTOP, and resume resumes it with SIGCONT.
func (s *system) suspend(name string) { _ = s.procs[name].Process.Signal(syscall.SIGSTOP) }
func (s *system) resume(name string)  { _ = s.procs[name].Process.Signal(syscall.SIGCONT) }

// setZone takes a zone out of service or back into it, as an operator.
func (s *system) setZone(zone string, state config.ZoneState) error {
	client, closeClient, err := s.files.OperatorClient()
	if err != nil {
		return err
	}
	defer closeClient()
	return client.Do(context.Background(), command.NameChange, session.NewID(), command.Change{
		Expect:  command.AnyRevision,
		Changes: []config.Change{{Zone: &config.Zone{Name: zone, Region: "leon-coast", State: state}}},
	}, nil)
}

// A sidecar and a control replica are suspended while their zone is taken out of
// service, and resume afterwards. The sidecar must notice by itself that its permission
// has expired, and admit no work on the configuration that it had before.
func TestSuspendedProcessesResumeAfterTheirZoneIsOut(t *testing.T) {
	is := is.New(t)
	p := dev.Small("")
	p.Metrics = true
	s := newSystem(t, p)
	for _, entry := range s.files.Entries {
		s.eventually("entry serves", func() bool { return postPrompt(entry, "hello", false).complete(false) })
	}
	c := s.startCallers(6)
	c.awaitAnswers(30)
	s.eventually("the endpoint has work", func() bool { return s.metric("scribe-1", "sidecar_granted_total") > 0 })
	s.suspend("scribe-1")
	s.suspend("control-1")
	is.NoErr(s.setZone(dev.SmallZones[0], config.Out))
	s.resume("control-1")
	s.resume("scribe-1")
	before := s.metric("scribe-1", "sidecar_granted_total")
	c.awaitAnswers(60)
	is.Equal(s.metric("scribe-1", "sidecar_granted_total"), before)
	is.NoErr(s.setZone(dev.SmallZones[0], config.In))
	s.eventually("the endpoint has work again", func() bool { return s.metric("scribe-1", "sidecar_granted_total") > before })
	c.stopAndWait()
}
