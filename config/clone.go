package config

import (
	"maps"
	"slices"
)

// Clone returns a copy of d; Apply on one of them does not affect the other. The values in the
// maps are shared, because they are replaced as a whole and never changed in place.
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

// cloneMap returns a copy of m. For nil it returns an empty map, so that Apply can add to it.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// WithoutAccounts returns a copy of the document without its client accounts, at the same
// revision, for sidecars, which need no accounts. The copy shares the other maps with d.
func (d *Document) WithoutAccounts() *Document {
	c := *d
	c.Accounts = map[string]Account{}
	return &c
}

// WithoutAccounts returns the change set without its changes of client accounts. The result
// has the same revision, even if no change is left, so that its receiver misses no revision.
func (r ChangeSet) WithoutAccounts() ChangeSet {
	if !slices.ContainsFunc(r.Changes, Change.concernsAccount) {
		return r
	}
	kept := make([]Change, 0, len(r.Changes))
	for _, c := range r.Changes {
		if !c.concernsAccount() {
			kept = append(kept, c)
		}
	}
	return ChangeSet{Revision: r.Revision, Changes: kept}
}

// concernsAccount reports whether the change adds, replaces or drops a client account.
func (c Change) concernsAccount() bool { return c.Account != nil || c.DropAccount != "" }

// Bootstrap returns the changes that turn an empty document into d, except for its revision.
// Equal documents give the same changes in the same order.
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

// sortedKeys returns the keys of m, sorted.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
