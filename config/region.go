package config

import (
	"reflect"

	"github.com/pkg/errors"
)

// Regions determines which changes a region's control group may decide on in a deployment of
// several regions, each of which has its own control group. Zones and endpoint rules are
// decided on in their own region. Models, routes and client accounts are shared: the home
// region decides on them and the other regions copy them.
type Regions struct {
	// Own is the region of this control group. Home is the region that decides on shared
	// objects.
	Own, Home string
}

// Shared reports whether the change is to a model, a route or a client account, which all
// regions share.
func (c Change) Shared() bool {
	return c.Model != nil || c.Route != nil || c.Account != nil ||
		c.DropModel != "" || c.DropRoute != "" || c.DropAccount != ""
}

// Allow returns an error if another region decides on one of the changes. With this rule, a
// partitioned region can still take its own zones and endpoints in and out of service. No two
// regions ever decide on the same object, so there are no conflicts to resolve after a
// partition.
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

// DiffShared returns the changes that make the shared objects of d equal to those of home, the
// home region's document, which may be any number of revisions ahead. The changes must take
// effect together. seen is the newest revision of the home document that was applied to d: for
// a home document of that or an earlier revision, which was delayed, there are no changes.
func (d *Document) DiffShared(home *Document, seen uint64) []Change {
	if home.Revision <= seen {
		return nil
	}
	var changes []Change
	changes = append(changes, diff(d.Models, home.Models,
		func(m *Model) Change { return Change{Model: m} }, func(n string) Change { return Change{DropModel: n} })...)
	changes = append(changes, diff(d.Accounts, home.Accounts,
		func(a *Account) Change { return Change{Account: a} }, func(n string) Change { return Change{DropAccount: n} })...)
	return append(changes, diff(d.Routes, home.Routes,
		func(r *Route) Change { return Change{Route: r} }, func(n string) Change { return Change{DropRoute: n} })...)
}

// diff returns the changes that make ours equal to theirs, sorted by name, those that set an
// object first.
func diff[V any](ours, theirs map[string]V, set func(*V) Change, drop func(string) Change) []Change {
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
