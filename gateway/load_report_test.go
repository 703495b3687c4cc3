package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/assign"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/schedule"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// loadSession is a session with control that keeps the load reports.
type loadSession struct {
	*fakeControlClient
	mu      sync.Mutex
	reports []command.LoadReport
}

func (s *loadSession) Do(ctx context.Context, name, id string, body, out any) error {
	r, ok := body.(command.LoadReport)
	if !ok || name != command.NameLoad || id != "" {
		return s.fakeControlClient.Do(ctx, name, id, body, out)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, r)
	return nil
}

func (s *loadSession) first() (command.LoadReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) == 0 {
		return command.LoadReport{}, false
	}
	return s.reports[0], true
}

func sortedLoads(loads []command.ServiceLoad) []command.ServiceLoad {
	slices.SortFunc(loads, func(a, b command.ServiceLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	return loads
}

// TestLoadOfScaledServicesIsMeasured guards against counts that miss slots in use, waiting and refused requests, or
// that name services whose number of endpoints is not ordered.
func TestLoadOfScaledServicesIsMeasured(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	answer := func(rw http.ResponseWriter, _ *http.Request) { <-release }
	w := newTestGateway(t, answer, answer)
	t.Cleanup(func() { close(release) })
	d := w.g.deployment.Load()
	d.Services["desk"].Autoscale = &Autoscale{Max: 9}
	c := w.call("/status/1", 0)
	p, err := w.g.place(context.Background(), c.newAttempt(context.Background()))
	is.NoErr(err)
	w.g.sampleLoad(d)
	p.release(false)

	w.g.mu.Lock()
	now := time.Now()
	w.g.mergeLimits(now, "other", []wire.EndpointLimit{
		{Endpoint: "desk-1", Incarnation: 1, PerSecond: 0.1, Version: 1}, {Endpoint: "desk-2", Incarnation: 1, PerSecond: 0.1, Version: 1},
	})
	for id := uint64(1); w.g.waiting.Waiting() == 0; id++ {
		is.True(id < 10) // the limits of both endpoints are used up
		r := newWaiter(schedule.Request{Request: &assign.Request{Service: "desk"}, BookingID: id << 40, Arrived: now, GiveUpAt: now.Add(time.Minute)})
		w.g.deliver(w.g.waiting.Offer(now, &r.Request))
	}
	w.g.mu.Unlock()
	w.g.sampleLoad(d)
	c.recordRefusal(verdict.Refuse(verdict.ReasonStopping, 0, "the entry stops"))
	c.recordRefusal(verdict.Refuse(verdict.ReasonOverloaded, 0, "no endpoint has room"))

	busyZone := p.Primary.Zone
	want := []command.ServiceLoad{{Service: "desk", Zone: "hall", Waiting: 0.5, Refused: 1}, {Service: "desk", Zone: "zone-0"}, {Service: "desk", Zone: "zone-1"}}
	for i := range want {
		if want[i].Zone == busyZone {
			want[i].Busy = 0.5
		}
	}
	is.Equal(sortedLoads(w.g.load.report()), want)
	is.Equal(len(w.g.load.report()), 0) // each report begins anew
}

// TestLoadIsReportedOnlyForScaledServices guards against messages of deployments without automatic scaling.
func TestLoadIsReportedOnlyForScaledServices(t *testing.T) {
	is := is.New(t)
	w := newTestGateway(t, func(http.ResponseWriter, *http.Request) {})
	s := &loadSession{fakeControlClient: w.session}
	w.g.client = s
	plain := w.g.deployment.Load()
	is.True(!plain.scaled())
	is.True(!(*Deployment)(nil).scaled())
	scaled := &Deployment{Version: 2, Services: map[string]*Service{"desk": {Name: "desk", Autoscale: &Autoscale{Max: 1}}, "scribe": {Name: "scribe"}}}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.g.reportLoads(ctx); close(done) }()
	<-time.After(loadReportInterval + 3*loadSampleInterval)
	_, sent := s.first()
	is.True(!sent)
	w.g.deployment.Store(scaled.Index())
	for !sent {
		<-time.After(loadSampleInterval)
		_, sent = s.first()
	}
	cancel()
	<-done
	r, _ := s.first()
	is.Equal(r, command.LoadReport{Source: "entry-1", Loads: r.Loads})
	is.Equal(sortedLoads(r.Loads), []command.ServiceLoad{{Service: "desk", Zone: "zone-0"}})
}
