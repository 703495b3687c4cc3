package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestEachRegionDecidesItsOwn(t *testing.T) {
	home, other := Regions{Own: "leon-coast", Home: "leon-coast"}, Regions{Own: "sindh", Home: "leon-coast"}
	tests := map[string]struct {
		regions Regions
		change  Change
		allowed bool
	}{
		"shared at home":        {home, Change{DropModel: "m"}, true},
		"shared elsewhere":      {other, Change{Account: &Account{Name: "a"}}, false},
		"own zone":              {other, Change{Zone: &Zone{Name: "site", Region: "sindh"}}, true},
		"zone of the other":     {home, Change{Zone: &Zone{Name: "site", Region: "sindh"}}, false},
		"endpoint, anywhere":    {other, Change{Endpoint: &EndpointRule{Name: "e", State: Out}}, true},
		"route of a cut region": {other, Change{DropRoute: "r"}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.regions.Allow([]Change{test.change}) == nil, test.allowed)
		})
	}
}

// pair is two regions that are cut off from one another and meet again.
type pair struct {
	home, other *Document
	// seen is the home revision that the other region followed last.
	seen uint64
	// sent are documents of the home region on their way, in any order.
	sent []*Document
}

func (p *pair) accept(t *rapid.T, d *Document, r Regions, c Change) {
	if r.Allow([]Change{c}) != nil || d.Check([]Change{c}) != nil {
		return
	}
	if err := d.Apply(ChangeSet{Revision: d.Revision + 1, Changes: []Change{c}}); err != nil {
		t.Fatal(err)
	}
}

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

// follow delivers one home document, possibly an old or repeated one.
func (p *pair) follow(t *rapid.T, home *Document) {
	changes := p.other.DiffShared(home, p.seen)
	p.seen = max(p.seen, home.Revision)
	if len(changes) == 0 {
		return
	}
	if err := p.other.Check(changes); err != nil {
		t.Fatalf("what the home region accepted is refused: %v", err)
	}
	if err := p.other.Apply(ChangeSet{Revision: p.other.Revision + 1, Changes: changes}); err != nil {
		t.Fatal(err)
	}
}

// TestRegionsMeetAgain lets both regions decide alone for any time, with home
// documents late, repeated and crossed, and compares them once the newest arrived.
func TestRegionsMeetAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &pair{home: NewDocument(), other: NewDocument()}
		home, other := Regions{Own: "leon-coast", Home: "leon-coast"}, Regions{Own: "sindh", Home: "leon-coast"}
		rt.Repeat(map[string]func(*rapid.T){
			"home decides":  func(t *rapid.T) { p.accept(t, p.home, home, drawChange(t)) },
			"other decides": func(t *rapid.T) { p.accept(t, p.other, other, drawChange(t)) },
			"send":          func(*rapid.T) { p.sent = append(p.sent, p.home.Clone()) },
			"deliver": func(t *rapid.T) {
				if len(p.sent) > 0 {
					p.follow(t, rapid.SampledFrom(p.sent).Draw(t, "document"))
				}
			},
			"meet": func(t *rapid.T) {
				zones, endpoints := cloneMap(p.other.Zones), cloneMap(p.other.Endpoints)
				p.follow(t, p.home)
				is := is.New(rt)
				is.Equal(p.other.Models, p.home.Models)
				is.Equal(p.other.Accounts, p.home.Accounts)
				is.Equal(p.other.Routes, p.home.Routes)
				is.Equal(p.other.Zones, zones) // what the other region decided stands
				is.Equal(p.other.Endpoints, endpoints)
			},
		})
	})
}
