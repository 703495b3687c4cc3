package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

var start = time.Unix(1_000_000, 0)

// warmLoad returns the load of an idle warm endpoint.
func warmLoad() wire.Load {
	return wire.Load{FreeTokens: 1_200_000, CapacityTokens: 1_200_000, PrefillRate: 10_000, DecodeRate: 1_000, RampTokens: -1}
}

// warmEndpoint returns the announcement of an idle warm endpoint of target "m".
func warmEndpoint(name, zone string) wire.Endpoint {
	return wire.Endpoint{Name: name, Zone: zone, Target: "m", Incarnation: 1, Load: warmLoad()}
}

// fleet returns a table of n warm endpoints in five availability zones.
func fleet(n int) *Table {
	t := NewTable()
	for i := range n {
		t.Upsert(start, warmEndpoint(fmt.Sprintf("e%03d", i), fmt.Sprintf("z%d", i%5)))
	}
	return t
}

func TestClassOf(t *testing.T) {
	is := is.New(t)
	for tokens, want := range map[int]Class{0: Short, 7_999: Short, 8_000: Medium, 99_999: Medium, 100_000: Long, 1_000_000: Long} {
		is.Equal(ClassOf(tokens), want)
	}
}

// choosers returns a chooser of every policy.
func choosers() map[string]Chooser {
	return map[string]Chooser{
		"random":         NewRandom(1),
		"round_robin":    &RoundRobin{},
		"least_requests": NewLeastRequests(1),
		"two_choices":    NewTwoChoices(1),
		"predicted":      NewPredicted(1),
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(e *wire.Endpoint)      // changes the announcement
		update func(t *Table, name string) // updates the table afterwards
		prompt int
		tried  []string
		want   verdict.Reason
		retry  bool
	}{
		{name: "all out of service", update: func(t *Table, n string) { t.SetOutOfService(n, true) }, want: verdict.ReasonZoneOut, retry: true},
		{name: "larger than any endpoint", prompt: 2_000_000, want: verdict.ReasonPromptTooLong},
		{name: "memory full", change: func(e *wire.Endpoint) { e.Load.FreeTokens = 10 }, want: verdict.ReasonEndpointMemory, retry: true},
		{name: "all leaving", change: func(e *wire.Endpoint) { e.Load.Leaving = true }, want: verdict.ReasonEndpointLeaving, retry: true},
		{name: "allowance used up", change: func(e *wire.Endpoint) { e.Load.RampTokens, e.Load.Running = 10, 1 }, want: verdict.ReasonEndpointCold, retry: true},
		{name: "all tried", tried: []string{"a", "b"}, want: verdict.ReasonNoEndpoint, retry: true},
		{name: "nothing reported", change: func(e *wire.Endpoint) { e.Load = wire.Load{} }, want: verdict.ReasonNoEndpoint, retry: true},
	}
	for _, c := range cases {
		for policy, chooser := range choosers() {
			t.Run(c.name+"/"+policy, func(t *testing.T) {
				is := is.New(t)
				table := NewTable()
				for _, name := range []string{"a", "b"} {
					e := warmEndpoint(name, "z")
					if c.change != nil {
						c.change(&e)
					}
					table.Upsert(start, e)
					if c.update != nil {
						c.update(table, name)
					}
				}
				prompt := max(c.prompt, 1000)
				req := &Request{Target: "m", Class: ClassOf(prompt), PromptTokens: prompt, Zone: "z", Tried: c.tried}
				_, err := chooser.Choose(start, req, table.View("m"))
				r := verdict.From(err)
				is.True(r != nil)
				is.Equal(r.Verdict, verdict.NotRun)
				is.Equal(r.Reason, c.want)
				is.Equal(r.RetryAfter > 0, c.retry)
			})
		}
	}
}

func TestEmptyViewIsRefused(t *testing.T) {
	for policy, chooser := range choosers() {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			_, err := chooser.Choose(start, &Request{Target: "m"}, nil)
			is.Equal(verdict.From(err).Reason, verdict.ReasonNoEndpoint)
		})
	}
}

// TestSuspectIsTheLastResort checks that a suspect endpoint is chosen only when no other
// one fits.
func TestSuspectIsTheLastResort(t *testing.T) {
	for policy, chooser := range choosers() {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			table := fleet(2)
			table.SetSuspect("e000", true)
			req := &Request{Target: "m", PromptTokens: 1000, Zone: "z0"}
			for range 20 {
				c, err := chooser.Choose(start, req, table.View("m"))
				is.NoErr(err)
				is.Equal(table.View("m")[c.Index].Name, "e001")
			}
			table.SetSuspect("e001", true)
			_, err := chooser.Choose(start, req, table.View("m"))
			is.NoErr(err) // a suspect endpoint is better than a refusal
		})
	}
}
