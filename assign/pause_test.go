package assign

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

func TestPausesThatEndpointsAskFor(t *testing.T) {
	type answer struct {
		sent, received, span time.Duration
		incarnation          uint64
	}
	tests := map[string]struct {
		answers []answer
		// until is the end of the pause, zero if there is none.
		until time.Duration
	}{
		"one":                              {[]answer{{1, 2, 4, 1}}, 6},
		"a longer one replaces it":         {[]answer{{1, 2, 4, 1}, {3, 4, 9, 1}}, 13},
		"a shorter one does not":           {[]answer{{1, 2, 4, 1}, {3, 4, 1, 1}}, 6},
		"an earlier answer comes late":     {[]answer{{2, 3, 9, 1}, {1, 4, 1, 1}}, 12},
		"of another incarnation":           {[]answer{{1, 2, 4, 2}}, 0},
		"asked for before it was known":    {[]answer{{-5, 2, 4, 1}}, 0},
		"huge":                             {[]answer{{1, 2, 1e9, 1}}, 2 + maxPause/time.Second},
		"over before it is asked for anew": {[]answer{{1, 2, 1, 1}, {4, 5, 1, 1}}, 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := fleetOf(1)
			m := f.members["engine-00"]
			m.LearnedAt = t0
			for _, a := range test.answers {
				f.ObservePause(at(a.received*time.Second), at(a.sent*time.Second), m.Name, a.incarnation, a.span*time.Second)
			}
			is.Equal(m.pause.until.IsZero(), test.until == 0)
			if test.until == 0 {
				return
			}
			end := at(test.until * time.Second)
			is.Equal(m.pause.until, end)
			_, err := f.Choose(end.Add(-time.Millisecond), &Request{Service: m.Service})
			is.Equal(verdict.From(err).Reason, verdict.ReasonOverloaded)
			is.Equal(verdict.From(err).RetryAfter, time.Millisecond) // the rest of the pause
			_, err = f.Choose(end.Add(-time.Millisecond), &Request{Service: m.Service, ForPeer: true})
			is.NoErr(err) // the pause is for this entry
			_, err = f.Choose(end, &Request{Service: m.Service})
			is.NoErr(err)
			e := m.Endpoint
			e.Incarnation++
			f.Update(e)
			_, err = f.Choose(at(0), &Request{Service: m.Service})
			is.NoErr(err) // a new incarnation has asked for none
		})
	}
}

func TestOneRequestGoesFirstAfterAPause(t *testing.T) {
	is := is.New(t)
	f := fleetOf(1)
	m := f.members["engine-00"]
	r := &Request{Service: m.Service}
	f.ObservePause(at(0), at(0), m.Name, 1, time.Second)
	now := at(time.Second)
	a, err := f.Choose(now, r)
	is.NoErr(err)
	f.Place(now, "", 1, &a.Booking)
	_, err = f.Choose(now, r)
	is.Equal(verdict.From(err).Reason, verdict.ReasonOverloaded)
	is.True(f.LimitWait(now, r, 3) > 0)
	f.MarkAlive(now, m.Name) // the first answer
	_, err = f.Choose(now, r)
	is.NoErr(err)
}

func TestOthersAreChosenWhileAnEndpointPauses(t *testing.T) {
	is := is.New(t)
	f := fleetOf(2)
	f.ObservePause(at(0), at(0), "engine-00", 1, time.Second)
	a, err := f.Choose(at(1), &Request{Service: f.members["engine-00"].Service})
	is.NoErr(err)
	is.Equal(a.Primary.Name, "engine-01")
	a.Helpers = []Endpoint{f.members["engine-00"].Endpoint}
	endpoint, reason := f.Withdrawn(at(1), a, &Request{Service: a.Primary.Service})
	is.Equal(endpoint, "engine-00") // as the helper of a prompt that another entry has placed
	is.Equal(reason, verdict.ReasonOverloaded)
}
