package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// coldTokens is the work in tokens that an endpoint is given after a new
// incarnation until its sidecar has said how much it bears.
const coldTokens = 2_000

// Table is what an entry knows of the endpoints. Its calls are serialised by the
// caller; a slice from View is good until the next call that changes the table.
type Table struct {
	groups map[string]*group
	byName map[string]place
}

// place is where an endpoint stands: its group and its index there.
type place struct {
	group *group
	index int
}

// group is the endpoints of one target, sorted by zone and hash of the name.
// unseen and entries run in parallel.
type group struct {
	entries []Endpoint
	unseen  [][]unseen
	nextID  uint64
}

// unseen is an attempt of our own that no load report holds yet.
type unseen struct {
	id     uint64
	at     time.Time
	prompt int64
	tokens int64
}

// Attempt is one attempt in flight, from Started to Finished.
type Attempt struct {
	Name         string
	Incarnation  uint64
	PromptTokens int
	OutputTokens int
	id           uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: map[string]*group{}, byName: map[string]place{}}
}

// View returns the endpoints of a target, sorted by zone and hash. It allocates nothing.
func (t *Table) View(target string) []Endpoint {
	g := t.groups[target]
	if g == nil {
		return nil
	}
	return g.entries
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

// Upsert adds an endpoint or brings it up to date; its load was true at the given
// time. An older incarnation than the known one is ignored; a newer one starts cold,
// with nothing in flight. An announcement without load keeps the load known.
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
	g.entries[i].Endpoint = announced
	if load.CapacityTokens > 0 {
		g.setLoad(i, load, at)
	}
}

// coldLoad makes a warm or empty announcement cold: a new incarnation has run no
// work yet, whatever its first report says.
func coldLoad(load wire.Load) wire.Load {
	if load.RampTokens <= 0 {
		load.RampTokens = coldTokens
	}
	return load
}

func (t *Table) insert(at time.Time, announced wire.Endpoint, kept Endpoint) {
	g := t.groups[announced.Target]
	if g == nil {
		g = &group{}
		t.groups[announced.Target] = g
	}
	kept.Endpoint = announced
	kept.LoadAt = at
	kept.hash = xxhash.Sum64String(announced.Name)
	i, _ := slices.BinarySearchFunc(g.entries, kept, byZoneAndHash)
	g.entries = slices.Insert(g.entries, i, kept)
	g.unseen = slices.Insert(g.unseen, i, nil)
	t.reindex(g)
}

// reindex brings the places and ranks of a group up to date.
func (t *Table) reindex(g *group) {
	for i := range g.entries {
		t.byName[g.entries[i].Name] = place{group: g, index: i}
	}
	g.rank()
}

// Remove forgets an endpoint.
func (t *Table) Remove(name string) {
	at, ok := t.byName[name]
	if !ok {
		return
	}
	g, i := at.group, at.index
	target := g.entries[i].Target
	g.entries = slices.Delete(g.entries, i, i+1)
	g.unseen = slices.Delete(g.unseen, i, i+1)
	delete(t.byName, name)
	if len(g.entries) == 0 {
		delete(t.groups, target)
		return
	}
	t.reindex(g)
}

// SetLoad records a load report that was true at the given time. A report older
// than the known one is ignored, because reports cross.
func (t *Table) SetLoad(name string, load wire.Load, at time.Time) {
	if p, ok := t.byName[name]; ok {
		p.group.setLoad(p.index, load, at)
	}
}

// Granted records the load that came with the grant of f. The load holds f.
func (t *Table) Granted(f Attempt, load wire.Load, at time.Time) {
	e, i := t.find(f.Name)
	if e == nil || e.Incarnation != f.Incarnation {
		return
	}
	g := t.byName[f.Name].group
	g.forget(i, f.id)
	g.setLoad(i, load, at)
}

// Started records an attempt that was sent to the endpoint called name.
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
	g.remember(i, unseen{
		id: f.id, at: now,
		prompt: int64(promptTokens), tokens: f.tokens(),
	})
	return f
}

// Finished records the end of an attempt, whatever its outcome. The end of an
// attempt on an earlier incarnation changes nothing.
func (t *Table) Finished(f Attempt) {
	e, i := t.find(f.Name)
	if e == nil || e.Incarnation != f.Incarnation {
		return
	}
	e.InFlight = max(e.InFlight-1, 0)
	e.InFlightTokens = max(e.InFlightTokens-f.tokens(), 0)
	t.byName[f.Name].group.forget(i, f.id)
}

// SetOutOfService records whether the configuration gives the endpoint no new work.
func (t *Table) SetOutOfService(name string, out bool) {
	e, _ := t.find(name)
	if e == nil || e.OutOfService == out {
		return
	}
	e.OutOfService = out
	t.byName[name].group.rank()
}

// SetSuspect records whether health takes the endpoint for failing.
func (t *Table) SetSuspect(name string, suspect bool) {
	if e, _ := t.find(name); e != nil {
		e.Suspect = suspect
	}
}

// find returns the endpoint called name and its place in its group.
func (t *Table) find(name string) (*Endpoint, int) {
	p, ok := t.byName[name]
	if !ok {
		return nil, 0
	}
	return &p.group.entries[p.index], p.index
}

func (f Attempt) tokens() int64 {
	return int64(f.PromptTokens) + int64(f.OutputTokens)
}

// setLoad takes the report in and drops the attempts that it already holds.
func (g *group) setLoad(i int, load wire.Load, at time.Time) {
	e := &g.entries[i]
	if at.Before(e.LoadAt) {
		return
	}
	e.Load = load
	e.LoadAt = at
	kept := g.unseen[i][:0]
	for _, u := range g.unseen[i] {
		if u.at.Before(at) {
			e.unsee(u)
			continue
		}
		kept = append(kept, u)
	}
	g.unseen[i] = kept
}

func (g *group) remember(i int, u unseen) {
	e := &g.entries[i]
	e.Unreported++
	e.UnreportedPromptTokens += u.prompt
	e.UnreportedTokens += u.tokens
	g.unseen[i] = append(g.unseen[i], u)
}

func (g *group) forget(i int, id uint64) {
	for j, u := range g.unseen[i] {
		if u.id == id {
			g.entries[i].unsee(u)
			g.unseen[i] = slices.Delete(g.unseen[i], j, j+1)
			return
		}
	}
}

func (e *Endpoint) unsee(u unseen) {
	e.Unreported--
	e.UnreportedPromptTokens -= u.prompt
	e.UnreportedTokens -= u.tokens
}

func byZoneAndHash(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash))
}
