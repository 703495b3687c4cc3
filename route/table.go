package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// initialRampTokens is the slow-start allowance, in tokens, assumed for a new
// incarnation until its sidecar reports one.
const initialRampTokens = 2_000

// Table holds what an entry knows about the endpoints. The caller serialises all calls.
// A slice returned by View is valid until the next call that changes the table.
type Table struct {
	groups map[string]*group
	byName map[string]location
}

// location is the group of an endpoint and its index there.
type location struct {
	group *group
	index int
}

// group holds the endpoints of one target, sorted by zone and hash of the name.
// unreported[i] holds the unreported attempts at endpoints[i].
type group struct {
	endpoints  []Endpoint
	unreported [][]unreported
	nextID     uint64
}

// unreported is one of this entry's own attempts that the last load report of its
// endpoint does not include yet.
type unreported struct {
	id     uint64
	at     time.Time // when it was sent
	prompt int64     // prompt tokens
	tokens int64     // tokens of prompt and output
}

// Attempt identifies one attempt in flight. Started returns it, and Granted and Finished
// take it.
type Attempt struct {
	Name         string
	Incarnation  uint64
	PromptTokens int
	OutputTokens int
	id           uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: map[string]*group{}, byName: map[string]location{}}
}

// View returns the endpoints of a target, sorted by zone and hash of the name. It does
// not allocate.
func (t *Table) View(target string) []Endpoint {
	g := t.groups[target]
	if g == nil {
		return nil
	}
	return g.endpoints
}

// Get returns the endpoint called name.
func (t *Table) Get(name string) (Endpoint, bool) {
	e, _ := t.find(name)
	if e == nil {
		return Endpoint{}, false
	}
	return *e, true
}

// Names returns the names of all endpoints, sorted.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.byName))
	for name := range t.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Upsert adds or updates an endpoint with an announcement whose load was reported for
// the time at. An announcement of an older incarnation than the known one is ignored. A
// newer incarnation starts cold, with nothing in flight. An announcement without a load
// does not change the known load.
func (t *Table) Upsert(at time.Time, announced wire.Endpoint) {
	old, i := t.find(announced.Name)
	if old == nil {
		t.insert(at, announced, Endpoint{})
		return
	}
	if announced.Incarnation < old.Incarnation {
		return
	}
	kept := *old
	if announced.Incarnation > old.Incarnation {
		kept = Endpoint{OutOfService: old.OutOfService}
		announced.Load = coldLoad(announced.Load)
	}
	moved := announced.Target != old.Target || announced.Zone != old.Zone
	if moved || announced.Incarnation > old.Incarnation {
		t.Remove(announced.Name)
		t.insert(at, announced, kept)
		return
	}
	g := t.byName[announced.Name].group
	load := announced.Load
	announced.Load = old.Load
	g.endpoints[i].Endpoint = announced
	if load.CapacityTokens > 0 {
		g.setLoad(i, load, at)
	}
}

// coldLoad returns the load of a new incarnation. The load gets the slow-start allowance
// initialRampTokens if it has none, because the announcement contains no load or describes
// a warm endpoint: a new incarnation has not run any work yet.
func coldLoad(load wire.Load) wire.Load {
	if load.RampTokens <= 0 {
		load.RampTokens = initialRampTokens
	}
	return load
}

// insert adds an announced endpoint to the group of its target. kept holds the fields
// that do not come from the announcement.
func (t *Table) insert(at time.Time, announced wire.Endpoint, kept Endpoint) {
	g := t.groups[announced.Target]
	if g == nil {
		g = &group{}
		t.groups[announced.Target] = g
	}
	kept.Endpoint = announced
	kept.LoadAt = at
	kept.hash = xxhash.Sum64String(announced.Name)
	i, _ := slices.BinarySearchFunc(g.endpoints, kept, byZoneAndHash)
	g.endpoints = slices.Insert(g.endpoints, i, kept)
	g.unreported = slices.Insert(g.unreported, i, nil)
	t.reindex(g)
}

// reindex updates the locations and ranks of all endpoints of a group.
func (t *Table) reindex(g *group) {
	for i := range g.endpoints {
		t.byName[g.endpoints[i].Name] = location{group: g, index: i}
	}
	g.rank()
}

// Remove removes an endpoint, if it is known.
func (t *Table) Remove(name string) {
	at, ok := t.byName[name]
	if !ok {
		return
	}
	g, i := at.group, at.index
	target := g.endpoints[i].Target
	g.endpoints = slices.Delete(g.endpoints, i, i+1)
	g.unreported = slices.Delete(g.unreported, i, i+1)
	delete(t.byName, name)
	if len(g.endpoints) == 0 {
		delete(t.groups, target)
		return
	}
	t.reindex(g)
}

// SetLoad records a load report for the time at. A report older than the known one is
// ignored, because reports may arrive out of order.
func (t *Table) SetLoad(name string, load wire.Load, at time.Time) {
	if p, ok := t.byName[name]; ok {
		p.group.setLoad(p.index, load, at)
	}
}

// Granted records the load report that came with the sidecar's answer to attempt f. The
// report includes f.
func (t *Table) Granted(f Attempt, load wire.Load, at time.Time) {
	e, i := t.find(f.Name)
	if e == nil || e.Incarnation != f.Incarnation {
		return
	}
	g := t.byName[f.Name].group
	g.dropUnreported(i, f.id)
	g.setLoad(i, load, at)
}

// Started records an attempt that is sent to the named endpoint.
func (t *Table) Started(now time.Time, name string, promptTokens, outputTokens int) Attempt {
	f := Attempt{Name: name, PromptTokens: promptTokens, OutputTokens: outputTokens}
	e, i := t.find(name)
	if e == nil {
		return f
	}
	g := t.byName[name].group
	g.nextID++
	f.id = g.nextID
	f.Incarnation = e.Incarnation
	e.InFlight++
	e.InFlightTokens += f.tokens()
	g.addUnreported(i, unreported{
		id: f.id, at: now,
		prompt: int64(promptTokens), tokens: f.tokens(),
	})
	return f
}

// Finished records the end of an attempt, whatever its outcome. It does nothing for an
// attempt at an earlier incarnation of the endpoint.
func (t *Table) Finished(f Attempt) {
	e, i := t.find(f.Name)
	if e == nil || e.Incarnation != f.Incarnation {
		return
	}
	e.InFlight = max(e.InFlight-1, 0)
	e.InFlightTokens = max(e.InFlightTokens-f.tokens(), 0)
	t.byName[f.Name].group.dropUnreported(i, f.id)
}

// SetOutOfService records whether the configuration excludes the endpoint from new work.
func (t *Table) SetOutOfService(name string, out bool) {
	e, _ := t.find(name)
	if e == nil || e.OutOfService == out {
		return
	}
	e.OutOfService = out
	t.byName[name].group.rank()
}

// SetSuspect records whether package health considers the endpoint to be failing.
func (t *Table) SetSuspect(name string, suspect bool) {
	if e, _ := t.find(name); e != nil {
		e.Suspect = suspect
	}
}

// find returns the named endpoint and its index in its group, or nil.
func (t *Table) find(name string) (*Endpoint, int) {
	p, ok := t.byName[name]
	if !ok {
		return nil, 0
	}
	return &p.group.endpoints[p.index], p.index
}

// tokens returns the attempt's tokens of prompt and output.
func (f Attempt) tokens() int64 {
	return int64(f.PromptTokens) + int64(f.OutputTokens)
}

// setLoad records a load report for endpoint i and drops the unreported attempts that
// were sent before it, since the report includes them.
func (g *group) setLoad(i int, load wire.Load, at time.Time) {
	e := &g.endpoints[i]
	if at.Before(e.LoadAt) {
		return
	}
	e.Load = load
	e.LoadAt = at
	kept := g.unreported[i][:0]
	for _, u := range g.unreported[i] {
		if u.at.Before(at) {
			e.removeUnreported(u)
			continue
		}
		kept = append(kept, u)
	}
	g.unreported[i] = kept
}

// addUnreported adds an attempt at endpoint i.
func (g *group) addUnreported(i int, u unreported) {
	e := &g.endpoints[i]
	e.Unreported++
	e.UnreportedPromptTokens += u.prompt
	e.UnreportedTokens += u.tokens
	g.unreported[i] = append(g.unreported[i], u)
}

// dropUnreported removes the attempt id at endpoint i, if it is still unreported.
func (g *group) dropUnreported(i int, id uint64) {
	for j, u := range g.unreported[i] {
		if u.id == id {
			g.endpoints[i].removeUnreported(u)
			g.unreported[i] = slices.Delete(g.unreported[i], j, j+1)
			return
		}
	}
}

// removeUnreported subtracts an attempt from the endpoint's unreported totals.
func (e *Endpoint) removeUnreported(u unreported) {
	e.Unreported--
	e.UnreportedPromptTokens -= u.prompt
	e.UnreportedTokens -= u.tokens
}

func byZoneAndHash(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash))
}
