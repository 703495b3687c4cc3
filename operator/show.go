package operator

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// table defines a table of the show statement.
type table struct {
	columns []column
	// rows returns the rows of a view, each with one value for every column.
	rows func(v *command.View) [][]value
}

// tables maps the name of a table in a show statement to its definition.
var tables = map[string]*table{
	"endpoints": {
		columns: []column{
			{"endpoint", text}, {"zone", text}, {"target", text}, {"state", text}, {"in_service", boolean},
			{"running", number}, {"free_tokens", number}, {"capacity_tokens", number},
			{"version", text}, {"adapters", list}, {"role", text}, {"service", boolean},
			{"checks_fence", boolean}, {"incarnation", text}, {"addr", text},
		},
		rows: endpointRows,
	},
	"requests": {
		columns: []column{
			{"endpoint", text}, {"zone", text}, {"target", text}, {"running", number}, {"long", number},
			{"pending_prefill_tokens", number}, {"reserved_tokens", number},
			{"prefill_per_second", number}, {"decode_per_second", number},
		},
		rows: requestRows,
	},
	"zones": {
		columns: []column{
			{"zone", text}, {"region", text}, {"state", text}, {"endpoints", number}, {"cold", number}, {"running", number},
		},
		rows: zoneRows,
	},
	"models": {
		columns: []column{
			{"model", text}, {"versions", list}, {"adapters", list}, {"weights", size}, {"endpoints", number},
		},
		rows: modelRows,
	},
	"routes": {
		columns: []column{
			{"route", text}, {"kind", text}, {"target", text}, {"accounts", list}, {"non_idempotent", list},
			{"deadline", duration}, {"max_output", number}, {"endpoints", number},
		},
		rows: routeRows,
	},
	"accounts": {
		columns: []column{
			{"account", text}, {"requests_per_second", number}, {"tokens_per_second", number},
			{"concurrent", number}, {"held", size}, {"keys", list},
		},
		rows: accountRows,
	},
	"processes": {
		columns: []column{
			{"process", text}, {"role", text}, {"region", text}, {"zone", text}, {"revision", number}, {"silent", duration},
		},
		rows: processRows,
	},
	"replicas": {
		columns: []column{
			{"replica", number}, {"addr", text}, {"leader", boolean}, {"voter", boolean}, {"match", number}, {"whole", boolean},
		},
		rows: replicaRows,
	},
	"leases": {
		columns: []column{
			{"process", text}, {"role", text}, {"zone", text}, {"silent", duration}, {"behind", number},
		},
		rows: leaseRows,
	},
}

// run returns the rows of the view that match all conditions, sorted by their first column.
func (q *tableQuery) run(v *command.View) *Table {
	t := &Table{columns: q.table.columns}
	for _, row := range q.table.rows(v) {
		if q.matchesAll(row) {
			t.rows = append(t.rows, row)
		}
	}
	sortByName(t.rows)
	return t
}

func (q *tableQuery) matchesAll(row []value) bool {
	for _, c := range q.where {
		if !c.matches(row) {
			return false
		}
	}
	return true
}

// endpointState returns the state that an endpoint reports about itself: "leaving" once it admits
// no new attempts, "cold" while slow start limits its tokens in flight, otherwise "warm". The
// state does not depend on whether the configuration has the endpoint in service.
func endpointState(e *wire.Endpoint) string {
	switch {
	case e.Load.Leaving:
		return "leaving"
	case e.Load.RampTokens >= 0 && !e.Service:
		return "cold"
	}
	return "warm"
}

func endpointRows(v *command.View) [][]value {
	var rows [][]value
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		inService := v.Document.EndpointState(e.Name, e.Zone) == config.In
		rows = append(rows, []value{
			e.Name, e.Zone, e.Target, endpointState(e), inService,
			float64(e.Load.Running), float64(e.Load.FreeTokens), float64(e.Load.CapacityTokens),
			e.Version, e.Adapters, e.Role, e.Service,
			e.ChecksFence, strconv.FormatUint(e.Incarnation, 10), e.Addr,
		})
	}
	return rows
}

func requestRows(v *command.View) [][]value {
	var rows [][]value
	for _, e := range v.Endpoints {
		l := e.Load
		rows = append(rows, []value{
			e.Name, e.Zone, e.Target, float64(l.Running), float64(l.LongPromptsRunning),
			float64(l.PendingPrefill), float64(l.CapacityTokens - l.FreeTokens),
			l.PrefillRate, l.DecodeRate,
		})
	}
	return rows
}

func zoneRows(v *command.View) [][]value {
	var rows [][]value
	for _, name := range sortedKeys(v.Document.Zones) {
		z := v.Document.Zones[name]
		var endpoints, cold, running int
		for i := range v.Endpoints {
			e := &v.Endpoints[i]
			if e.Zone != name {
				continue
			}
			endpoints++
			running += e.Load.Running
			if endpointState(e) == "cold" {
				cold++
			}
		}
		rows = append(rows, []value{name, z.Region, string(z.State), float64(endpoints), float64(cold), float64(running)})
	}
	return rows
}

func modelRows(v *command.View) [][]value {
	var rows [][]value
	for _, name := range sortedKeys(v.Document.Models) {
		m := v.Document.Models[name]
		rows = append(rows, []value{name, m.Versions, m.Adapters, float64(m.WeightBytes), float64(len(endpointsServing(v, name)))})
	}
	return rows
}

func routeRows(v *command.View) [][]value {
	var rows [][]value
	for _, name := range sortedKeys(v.Document.Routes) {
		r := v.Document.Routes[name]
		rows = append(rows, []value{
			name, string(r.Kind), r.Target, r.Accounts, callTexts(r.NonIdempotent),
			r.Deadline, float64(r.MaxOutputTokens), float64(len(endpointsServing(v, r.Target))),
		})
	}
	return rows
}

// callTexts returns the method and path of each call.
func callTexts(calls []config.Call) []string {
	texts := make([]string, len(calls))
	for i, c := range calls {
		texts[i] = fmt.Sprintf("%s %s", c.Method, c.Path)
	}
	return texts
}

// shownHashDigits is how many digits of a key's digest tables show.
const shownHashDigits = 12

func accountRows(v *command.View) [][]value {
	var rows [][]value
	for _, name := range sortedKeys(v.Document.Accounts) {
		a := v.Document.Accounts[name]
		keys := make([]string, len(a.KeyHashes))
		for i, hash := range a.KeyHashes {
			keys[i] = hash[:min(shownHashDigits, len(hash))]
		}
		l := a.Limits
		rows = append(rows, []value{
			name, l.RequestsPerSecond, l.TokensPerSecond, float64(l.Concurrent), float64(l.HeldBytes), keys,
		})
	}
	return rows
}

func processRows(v *command.View) [][]value {
	var rows [][]value
	for _, p := range v.Processes {
		rows = append(rows, []value{p.Name, p.Role, p.Region, p.Zone, float64(p.Revision), p.Silent})
	}
	return rows
}

func leaseRows(v *command.View) [][]value {
	var rows [][]value
	for _, p := range v.Processes {
		behind := float64(v.Document.Revision) - float64(p.Revision)
		rows = append(rows, []value{p.Name, p.Role, p.Zone, p.Silent.Round(time.Millisecond), behind})
	}
	return rows
}

func replicaRows(v *command.View) [][]value {
	var rows [][]value
	for _, r := range v.Replicas {
		rows = append(rows, []value{float64(r.ID), r.Addr, r.Leader, r.Voter, float64(r.Match), r.CaughtUp})
	}
	return rows
}
