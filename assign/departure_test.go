package assign

import (
	"testing"

	"github.com/matryer/is"
)

// Entries took an endpoint that leaves back when a replica that had started again listed it as available.
func TestEndpointThatLeavesIsTakenBackByAnOlderList(t *testing.T) {
	type step func(f *Fleet)
	update := func(e Endpoint) step { return func(f *Fleet) { f.Update(e) } }
	scribe := func(incarnation uint64, addr string, leaving bool) Endpoint {
		return Endpoint{Name: "i-1", Service: "scribe", Addr: addr, Incarnation: incarnation, Leaving: leaving}
	}
	remove := func(f *Fleet) { f.Remove("i-1") }
	retain := func(f *Fleet) { f.RetainOnly(nil) }
	left, older := update(scribe(5, "10.0.0.1:80", true)), update(scribe(5, "10.0.0.1:80", false))
	tests := map[string]struct {
		steps []step
		want  bool
	}{
		"older list":                           {[]step{left, older}, true},
		"older list with another address":      {[]step{left, update(scribe(5, "10.0.0.2:80", false))}, true},
		"removed between":                      {[]step{left, remove, older}, true},
		"not in a complete list between":       {[]step{left, retain, older}, true},
		"removed twice":                        {[]step{left, remove, older, remove, older}, true},
		"started again":                        {[]step{left, update(scribe(6, "10.0.0.1:80", false))}, false},
		"started again after a removal":        {[]step{left, remove, update(scribe(6, "10.0.0.1:80", false))}, false},
		"no incarnation named":                 {[]step{update(scribe(0, "10.0.0.1:80", true)), update(scribe(0, "10.0.0.1:80", false))}, false},
		"no incarnation named, removed before": {[]step{update(scribe(0, "10.0.0.1:80", true)), remove, update(scribe(0, "10.0.0.1:80", false))}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewFleet()
			for _, s := range test.steps {
				s(f)
			}
			is.New(t).Equal(f.Leaving("i-1"), test.want)
		})
	}
}
