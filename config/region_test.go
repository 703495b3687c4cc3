package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRegionsAllowOnlyTheirOwnChanges(t *testing.T) {
	home, other := Regions{Own: "leon-coast", Home: "leon-coast"}, Regions{Own: "sindh", Home: "leon-coast"}
	tests := map[string]struct {
		regions Regions
		change  Change
		allowed bool
	}{
		"shared at home":         {home, Change{DropModel: "m"}, true},
		"shared elsewhere":       {other, Change{Account: &Account{Name: "a"}}, false},
		"own zone":               {other, Change{Zone: &Zone{Name: "site", Region: "sindh"}}, true},
		"zone of another region": {home, Change{Zone: &Zone{Name: "site", Region: "sindh"}}, false},
		"endpoint, anywhere":     {other, Change{Endpoint: &EndpointRule{Name: "e", State: Out}}, true},
		"shared, drop elsewhere": {other, Change{DropRoute: "r"}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.regions.Allow([]Change{test.change}) == nil, test.allowed)
		})
	}
}

// regionPair holds the documents of two regions during and after a partition.
type regionPair struct {
	home, other *Document
	// seen is the newest home revision that the other region has applied.
	seen uint64
	// sent holds the home documents in transit, which arrive in any order.
	sent []*Document
}

// decide applies c to d if the region r may decide on it and it has no fault.
func (p *regionPair) decide(t *rapid.T, d *Document, r Regions, c Change) {
	if r.Allow([]Change{c}) != nil || d.Check([]Change{c}) != nil {
		return
	}
	if err := d.Apply(ChangeSet{Revision: d.Revision + 1, Changes: []Change{c}}); err != nil {
		t.Fatal(err)
	}
}

// drawChange returns a random change, which may have faults.
func drawChange(t *rapid.T) Change {
	name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name"))
	state := rapid.SampledFrom([]ZoneState{In, Out}).Draw(t, "state")
	region := rapid.SampledFrom([]string{"leon-coast", "sindh"}).Draw(t, "region")
	return rapid.SampledFrom([]Change{
		{Zone: &Zone{Name: region + name, Region: region, State: state}},
		{Endpoint: &EndpointRule{Name: name, State: state}},
		{Model: &Model{Name: name, WeightBytes: int64(len(state))}},
		{Account: &Account{Name: name, Limits: Limits{Concurrent: len(region)}}},
		{Route: &Route{Name: name, Kind: ModelRoute, Target: name, Accounts: []string{name}}},
		{DropRoute: name}, {DropModel: name}, {DropAccount: name},
	}).Draw(t, "change")
}

// deliver applies a home document, which may be an old or repeated one, to the other region.
func (p *regionPair) deliver(t *rapid.T, home *Document) {
	changes := p.other.DiffShared(home, p.seen)
	p.seen = max(p.seen, home.Revision)
	if len(changes) == 0 {
		return
	}
	if err := p.other.Check(changes); err != nil {
		t.Fatalf("changes accepted by the home region are refused: %v", err)
	}
	if err := p.other.Apply(ChangeSet{Revision: p.other.Revision + 1, Changes: changes}); err != nil {
		t.Fatal(err)
	}
}

// TestRegionsConvergeAfterPartition lets both regions decide alone for any time, while home
// documents arrive late, repeatedly and out of order. Once the newest home document has
// arrived, the shared objects of both regions must be equal, and the other region's own zones
// and endpoints unchanged.
func TestRegionsConvergeAfterPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &regionPair{home: NewDocument(), other: NewDocument()}
		home, other := Regions{Own: "leon-coast", Home: "leon-coast"}, Regions{Own: "sindh", Home: "leon-coast"}
		rt.Repeat(map[string]func(*rapid.T){
			"home decides":  func(t *rapid.T) { p.decide(t, p.home, home, drawChange(t)) },
			"other decides": func(t *rapid.T) { p.decide(t, p.other, other, drawChange(t)) },
			"send":          func(*rapid.T) { p.sent = append(p.sent, p.home.Clone()) },
			"deliver": func(t *rapid.T) {
				if len(p.sent) > 0 {
					p.deliver(t, rapid.SampledFrom(p.sent).Draw(t, "document"))
				}
			},
			"newest arrives": func(t *rapid.T) {
				zones, endpoints := cloneMap(p.other.Zones), cloneMap(p.other.Endpoints)
				p.deliver(t, p.home)
				is := is.New(rt)
				is.Equal(p.other.Models, p.home.Models)
				is.Equal(p.other.Accounts, p.home.Accounts)
				is.Equal(p.other.Routes, p.home.Routes)
				is.Equal(p.other.Zones, zones) // the home document does not change them
				is.Equal(p.other.Endpoints, endpoints)
			},
		})
	})
}
