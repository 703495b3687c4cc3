package prefix

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.Unix(1000, 0)
	policy = Policy{Hold: 10 * time.Second, Tokens: 50_000}
	shared = []Segment{{"a", 4000}, {"b", 2000}}
)

// running returns the incarnations of endpoints, which are all 1 but for the given ones.
func running(other map[string]uint64) func(string) (uint64, bool) {
	return func(name string) (uint64, bool) {
		if n, ok := other[name]; ok {
			return n, n > 0
		}
		return 1, true
	}
}

// Each case guards against savings that are counted though the engine has dropped the prefix, or the reverse.
func TestKeptTokens(t *testing.T) {
	own := func(id string, first ...Segment) []Segment { return append(first, Segment{id, 1000}) }
	tests := map[string]struct {
		after    time.Duration
		ask      []Segment
		now      map[string]uint64
		meantime int
		want     map[string]int
	}{
		"the whole chain":         {ask: own("x", shared...), want: map[string]int{"e": 7000}},
		"another request":         {ask: own("y", shared...), want: map[string]int{"e": 6000}},
		"another second segment":  {ask: []Segment{{"a", 4000}, {"c", 2000}}, want: map[string]int{"e": 4000}},
		"another order":           {ask: []Segment{{"b", 2000}, {"a", 4000}}},
		"another length":          {ask: []Segment{{"a", 3999}, {"b", 2000}}},
		"half of the time":        {after: 5 * time.Second, ask: own("y", shared...), want: map[string]int{"e": 3000}},
		"expired":                 {after: 10 * time.Second, ask: own("y", shared...)},
		"started again":           {ask: own("y", shared...), now: map[string]uint64{"e": 2}},
		"gone":                    {ask: own("y", shared...), now: map[string]uint64{"e": 0}},
		"much was read since":     {ask: own("y", shared...), meantime: 45_000},
		"little was read since":   {ask: own("y", shared...), meantime: 40_000, want: map[string]int{"e": 6000}},
		"segments beyond prompt":  {ask: []Segment{{"a", 4000}, {"b", 20_000}}, want: map[string]int{"e": 4000}},
		"no segments":             {},
		"a segment without an ID": {ask: []Segment{{"", 10}, {"a", 4000}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			e := Endpoint{"e", 1}
			r.Read(start, "s", e, own("x", shared...), 7000)
			r.Read(start, "s", e, nil, test.meantime)
			got := r.Kept(start.Add(test.after), "s", test.ask, 7000, policy, running(test.now))
			is.New(t).Equal(got, test.want)
			is.New(t).Equal(len(r.Kept(start, "another service", test.ask, 7000, policy, running(nil))), 0)
		})
	}
}

// A late answer of an incarnation that has ended must not count for the next one.
func TestLateReadOfAnEndedIncarnation(t *testing.T) {
	r := New()
	r.Read(start, "s", Endpoint{"e", 2}, nil, 10)
	r.Read(start, "s", Endpoint{"e", 1}, shared, 6000)
	is.New(t).Equal(len(r.Kept(start, "s", shared, 6000, policy, running(map[string]uint64{"e": 2}))), 0)
}

// Requests with prefixes of their own must neither grow the record without bound nor push out a prefix in use.
func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	wide := Policy{Hold: time.Hour, Tokens: 1 << 40}
	for i := range 3 * maxChains {
		e := Endpoint{"e" + strconv.Itoa(i%(maxEndpoints+500)), 1}
		r.Read(start, "s", e, []Segment{{"a", 100}, {strconv.Itoa(i), 10}}, 110)
		is.True(len(r.chains) <= maxChains && r.byAge.Len() == len(r.chains) && len(r.endpoints) <= maxEndpoints)
	}
	kept := r.Kept(start, "s", []Segment{{"a", 100}, {"0", 10}}, 110, wide, running(nil))
	is.Equal(len(kept), maxHolders)
	for _, tokens := range kept {
		is.Equal(tokens, 100) // the chain with "0" is the oldest
	}
}
