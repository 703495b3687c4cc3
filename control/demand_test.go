package control

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/autoscale"
	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// scaledDemand returns a demand with the limits of one service, and a document in which one availability zone is
// out of service.
func scaledDemand(t *testing.T) (*demand, *config.Document) {
	t.Helper()
	d := newDemand(func([]byte) (map[string]autoscale.Limits, error) {
		return map[string]autoscale.Limits{"scribe": {Min: 1, Max: 10}}, nil
	})
	doc := config.NewDocument()
	doc.Publication = &config.Publication{Version: 1}
	doc.Zones["annex"] = config.Zone{Name: "annex", State: config.Out}
	is.New(t).NoErr(d.configure(doc.Publication))
	return d, doc
}

// scribes returns endpoints of the service: two that serve, one that is cold and one that leaves.
func scribes(zone string) []wire.Endpoint {
	out := make([]wire.Endpoint, 4)
	for i := range out {
		out[i] = wire.Endpoint{Name: zone + string(rune('1'+i)), Target: "scribe", Zone: zone, Direct: true, Slots: 8}
	}
	out[2].Cold, out[3].Load.Leaving = true, true
	return append(out, wire.Endpoint{Name: "desk-1", Target: "desk", Zone: zone, Direct: true, Slots: 2})
}

func busy(zone string, slots float64) []command.ServiceLoad {
	return []command.ServiceLoad{{Service: "scribe", Zone: zone, Busy: slots}, {Service: "desk", Zone: zone, Busy: 1000}}
}

// TestDemandOfAllEntriesIsAdded guards against counts that follow one entry only, that count services without
// limits, and that take cold or leaving endpoints for serving ones.
func TestDemandOfAllEntriesIsAdded(t *testing.T) {
	is := is.New(t)
	d, doc := scaledDemand(t)
	now := time.Unix(1_000_000, 0)
	d.record(now, "entry-1", busy("hall", 10))
	d.record(now, "entry-2", busy("hall", 18))
	d.record(now, "entry-2", busy("hall", 20)) // replaces the earlier one
	samples := d.sum(scribes("hall"))
	is.Equal(samples, map[string]map[string]autoscale.Zone{"scribe": {"hall": {Demand: autoscale.Demand{Busy: 30}, Serving: 2, Starting: 1, Slots: 8}}})

	var last []autoscale.Change
	for range 10 {
		is.Equal(len(last), 0) // no count is changed before the trend is known
		now = now.Add(time.Second)
		is.True(d.takeTurn(now))
		is.True(!d.takeTurn(now.Add(900 * time.Millisecond)))
		d.record(now, "entry-1", busy("hall", 10))
		d.record(now, "entry-2", busy("annex", 20)) // out of service
		last = d.observe(now, doc, scribes("hall"))
	}
	is.Equal(d.scaler.Orders(now), []autoscale.ScaleOrder{{Service: "scribe", Zone: "hall", Count: 6}}) // 30 slots at 0.7
}

// TestLostReportsDoNotLowerDemand guards against counts that fall because reports are missing.
func TestLostReportsDoNotLowerDemand(t *testing.T) {
	is := is.New(t)
	d, doc := scaledDemand(t)
	now := time.Unix(1_000_000, 0)
	for i := range 40 {
		now = now.Add(time.Second)
		if i%3 == 0 {
			d.record(now, "entry-1", busy("hall", 30))
		}
		d.observe(now, doc, scribes("hall"))
	}
	is.Equal(d.scaler.Orders(now), []autoscale.ScaleOrder{{Service: "scribe", Zone: "hall", Count: 6}})
	for range 60 { // no entry reports
		now = now.Add(time.Second)
		is.Equal(len(d.observe(now, doc, scribes("hall"))), 0)
	}
	is.Equal(len(d.scaler.Orders(now)), 0)
}

// TestLimitsStayIfAPublicationIsNotDecoded guards against services that lose their limits, and against an error
// that is logged each second.
func TestLimitsStayIfAPublicationIsNotDecoded(t *testing.T) {
	is := is.New(t)
	d, _ := scaledDemand(t)
	d.decode = func([]byte) (map[string]autoscale.Limits, error) { return nil, errors.New("no configuration") }
	is.True(d.configure(&config.Publication{Version: 2}) != nil)
	is.NoErr(d.configure(&config.Publication{Version: 2}))
	is.Equal(len(d.limits), 1)
}

// TestLoadReportsAreChecked guards against values that would make every later sum useless.
func TestLoadReportsAreChecked(t *testing.T) {
	s := &Server{demand: newDemand(nil), clock: stillClock{}}
	for name, c := range map[string]struct {
		loads []command.ServiceLoad
		want  verdict.Reason
	}{
		"a load":       {busy("hall", 1), ""},
		"negative":     {busy("hall", -1), verdict.ReasonBadRequest},
		"not a number": {busy("hall", math.NaN()), verdict.ReasonBadRequest},
		"infinite":     {busy("hall", math.Inf(1)), verdict.ReasonBadRequest},
		"too many":     {make([]command.ServiceLoad, maxServiceLoads+1), verdict.ReasonTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := wire.Marshal(command.LoadReport{Loads: c.loads})
			is.NoErr(err)
			answer := s.recordLoad(wire.Peer{Name: "entry-1"}, &wire.Command{Body: body})
			reason := verdict.Reason("")
			if answer.Refused != nil {
				reason = answer.Refused.Refusal().Reason
			}
			is.Equal(reason, c.want)
		})
	}
}

// stillClock is a clock that shows the same time.
type stillClock struct{}

func (stillClock) Now() time.Time                       { return time.Unix(1_000_000, 0) }
func (stillClock) After(time.Duration) <-chan time.Time { return nil }
