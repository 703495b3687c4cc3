package config

import (
	"maps"
	"slices"
)

// Clone returns a copy of d that shares nothing that Apply changes. The values
// in the maps are replaced whole and never changed in place, so they are shared.
func (d *Document) Clone() *Document {
	return &Document{
		Revision:  d.Revision,
		Zones:     cloneMap(d.Zones),
		Models:    cloneMap(d.Models),
		Routes:    cloneMap(d.Routes),
		Accounts:  cloneMap(d.Accounts),
		Endpoints: cloneMap(d.Endpoints),

		Publication: d.Publication,
	}
}

// cloneMap copies m and returns an empty map for nil, so that Apply can write.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// WithoutAccounts returns the document without its client accounts, at the same
// revision. Sidecars need no accounts.
func (d *Document) WithoutAccounts() *Document {
	c := *d
	c.Accounts = map[string]Account{}
	return &c
}

// WithoutAccounts returns the revision without its changes of client accounts.
// The revision itself stays, so that its receiver can still follow on it.
func (r ChangeSet) WithoutAccounts() ChangeSet {
	if !slices.ContainsFunc(r.Changes, Change.ofAccount) {
		return r
	}
	kept := make([]Change, 0, len(r.Changes))
	for _, c := range r.Changes {
		if !c.ofAccount() {
			kept = append(kept, c)
		}
	}
	return ChangeSet{Revision: r.Revision, Changes: kept}
}

func (c Change) ofAccount() bool { return c.Account != nil || c.DropAccount != "" }

// Bootstrap returns the changes that build the document d from an empty one, in
// an order that is the same for equal documents.
func (d *Document) Bootstrap() []Change {
	var changes []Change
	for _, name := range sortedKeys(d.Zones) {
		z := d.Zones[name]
		changes = append(changes, Change{Zone: &z})
	}
	for _, name := range sortedKeys(d.Models) {
		m := d.Models[name]
		changes = append(changes, Change{Model: &m})
	}
	for _, name := range sortedKeys(d.Accounts) {
		a := d.Accounts[name]
		changes = append(changes, Change{Account: &a})
	}
	for _, name := range sortedKeys(d.Routes) {
		r := d.Routes[name]
		changes = append(changes, Change{Route: &r})
	}
	for _, name := range sortedKeys(d.Endpoints) {
		changes = append(changes, Change{Endpoint: &EndpointRule{Name: name, State: d.Endpoints[name]}})
	}
	if d.Publication != nil {
		changes = append(changes, Change{Publication: d.Publication})
	}
	return changes
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
