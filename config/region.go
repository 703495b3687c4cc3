package config

import (
	"reflect"

	"github.com/pkg/errors"
)

// Regions says what one region decides when there are several, each with a
// control group of its own. Zones and endpoint rules belong to their region.
// Models, routes and client accounts are shared: one region is their home and
// decides on them, and the others follow it.
type Regions struct {
	// Own is the region of this control group and Home the home of what is shared.
	Own, Home string
}

// Shared reports whether the change is of something that all regions share.
func (c Change) Shared() bool {
	return c.Model != nil || c.Route != nil || c.Account != nil ||
		c.DropModel != "" || c.DropRoute != "" || c.DropAccount != ""
}

// Allow refuses a change that another region decides on. A region that is cut off
// so still takes its own zones and endpoints in and out, and no two regions ever
// decide on the same thing: there is nothing to reconcile when they meet again.
func (r Regions) Allow(changes []Change) error {
	for i, c := range changes {
		switch {
		case c.Shared() && r.Own != r.Home:
			return errors.Errorf("change %d: models, routes and client accounts are decided in region %q", i+1, r.Home)
		case c.Zone != nil && c.Zone.Region != r.Own:
			return errors.Errorf("change %d: zone %q is decided in region %q", i+1, c.Zone.Name, c.Zone.Region)
		}
	}
	return nil
}

// DiffShared returns the changes that bring the shared part of d to that of the home
// region's document, which may be any number of revisions ahead. They take effect
// together. seen is the home revision followed last: an older or equal one, which
// was held up on its way, changes nothing.
func (d *Document) DiffShared(home *Document, seen uint64) []Change {
	if home.Revision <= seen {
		return nil
	}
	var changes []Change
	changes = append(changes, differences(d.Models, home.Models,
		func(m *Model) Change { return Change{Model: m} }, func(n string) Change { return Change{DropModel: n} })...)
	changes = append(changes, differences(d.Accounts, home.Accounts,
		func(a *Account) Change { return Change{Account: a} }, func(n string) Change { return Change{DropAccount: n} })...)
	return append(changes, differences(d.Routes, home.Routes,
		func(r *Route) Change { return Change{Route: r} }, func(n string) Change { return Change{DropRoute: n} })...)
}

// differences lists, by name, what it takes to make ours equal to theirs.
func differences[V any](ours, theirs map[string]V, set func(*V) Change, drop func(string) Change) []Change {
	var out []Change
	for _, name := range sortedKeys(theirs) {
		v := theirs[name]
		if old, ok := ours[name]; !ok || !reflect.DeepEqual(old, v) {
			out = append(out, set(&v))
		}
	}
	for _, name := range sortedKeys(ours) {
		if _, ok := theirs[name]; !ok {
			out = append(out, drop(name))
		}
	}
	return out
}
