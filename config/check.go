package config

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// keyHashBytes is the size of a SHA-256 digest.
const keyHashBytes = 32

// Fault is one error in a change.
type Fault struct {
	// Change is the index of the change, counted from 0. Error counts from 1.
	Change int
	// Problem says what is wrong and what is expected.
	Problem string
}

// Faults is an error that lists all faults of a set of changes.
type Faults []Fault

// Error lists the faults on one line.
func (f Faults) Error() string {
	parts := make([]string, len(f))
	for i, fault := range f {
		parts[i] = fmt.Sprintf("change %d: %s", fault.Change+1, fault.Problem)
	}
	return strings.Join(parts, "; ")
}

// checker collects the faults of changes. It checks that what they drop exists in the
// document before them, and that their references hold in the document after them.
type checker struct {
	before *Document
	after  *Document
	// keyOwner holds, by key hash, the client account that has the hash after the changes.
	keyOwner map[string]string
	// index is the index of the change being checked.
	index  int
	faults Faults
}

// Check checks changes that are to be applied to d together, without changing d. Its error is
// Faults and lists every fault. The changes may refer to one another.
func (d *Document) Check(changes []Change) error {
	if len(changes) == 0 {
		return Faults{{Problem: "there is nothing to change"}}
	}
	after := d.Clone()
	for _, c := range changes {
		after.apply(c)
	}
	k := &checker{before: d, after: after, keyOwner: after.keyOwners()}
	for i, c := range changes {
		k.index = i
		k.check(c)
	}
	if len(k.faults) > 0 {
		return k.faults
	}
	return nil
}

func (k *checker) addFault(format string, args ...any) {
	k.faults = append(k.faults, Fault{Change: k.index, Problem: fmt.Sprintf(format, args...)})
}

func (k *checker) check(c Change) {
	if n := c.countSet(); n != 1 {
		k.addFault("%d fields are set, want exactly one", n)
		return
	}
	switch {
	case c.Zone != nil:
		k.zone(*c.Zone)
	case c.Model != nil:
		k.model(*c.Model)
	case c.Route != nil:
		k.route(*c.Route)
	case c.Account != nil:
		k.account(*c.Account)
	case c.Endpoint != nil:
		k.endpoint(*c.Endpoint)
	case c.DropModel != "":
		k.dropModel(c.DropModel)
	case c.DropRoute != "":
		requireKnown(k, k.before.Routes, "route", c.DropRoute)
	case c.DropAccount != "":
		k.dropAccount(c.DropAccount)
	case c.DropEndpoint != "":
		requireKnown(k, k.before.Endpoints, "rule for endpoint", c.DropEndpoint)
	case c.Publication != nil:
		k.publication(*c.Publication)
	}
}

// countSet returns the number of fields that are set.
func (c Change) countSet() int {
	n := 0
	for _, set := range []bool{
		c.Zone != nil, c.Model != nil, c.Route != nil, c.Account != nil, c.Endpoint != nil,
		c.DropModel != "", c.DropRoute != "", c.DropAccount != "", c.DropEndpoint != "",
		c.Publication != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// publication checks that the version is higher than the applied one, so that the applied
// version never goes back.
func (k *checker) publication(p Publication) {
	if applied := k.before.PublishedVersion(); p.Version <= applied {
		k.addFault("publication %d does not follow on version %d", p.Version, applied)
	}
	if len(p.Content) == 0 {
		k.addFault("publication %d is empty", p.Version)
	}
}

// requireKnown adds a fault if m has no object called name.
func requireKnown[V any](k *checker, m map[string]V, kind, name string) {
	if _, ok := m[name]; !ok {
		k.addFault("unknown %s %q", kind, name)
	}
}

// name checks a name that must be usable as an element of a path.
func (k *checker) name(kind, name string) {
	if name == "" || strings.ContainsAny(name, " \t\r\n/\"'") {
		k.addFault("bad name %q of a %s: want no space, quote or slash", name, kind)
	}
}

// modelName checks the name of a model or of a route's target. Slashes are allowed, because
// the names of published models contain them.
func (k *checker) modelName(kind, name string) {
	if name == "" || strings.ContainsAny(name, " \t\r\n\"'") {
		k.addFault("bad name %q of a %s: want no space or quote", name, kind)
	}
}

func (k *checker) state(s ZoneState) {
	if s != In && s != Out {
		k.addFault("bad state %q: want %q or %q", s, In, Out)
	}
}

func (k *checker) zone(z Zone) {
	k.name("zone", z.Name)
	k.name("region", z.Region)
	k.state(z.State)
	// A zone's region determines which region's control group decides on the zone.
	if old, ok := k.before.Zones[z.Name]; ok && old.Region != z.Region {
		k.addFault("zone %q is in region %q and cannot move to %q", z.Name, old.Region, z.Region)
	}
}

func (k *checker) model(m Model) {
	k.modelName("model", m.Name)
	if m.WeightBytes < 0 {
		k.addFault("model %q: weight_bytes is below zero", m.Name)
	}
	k.unique("version of model "+m.Name, m.Versions)
	k.unique("adapter of model "+m.Name, m.Adapters)
}

// unique adds a fault for each empty or duplicate item.
func (k *checker) unique(kind string, items []string) {
	seen := map[string]bool{}
	for _, item := range items {
		if item == "" {
			k.addFault("an empty %s", kind)
		} else if seen[item] {
			k.addFault("duplicate %s: %q", kind, item)
		}
		seen[item] = true
	}
}

func (k *checker) route(r Route) {
	k.name("route", r.Name)
	k.modelName("target", r.Target)
	switch r.Kind {
	case ModelRoute:
		requireKnown(k, k.after.Models, "model", r.Target)
	case ServiceRoute:
	default:
		k.addFault("bad kind %q of route %q: want %q or %q", r.Kind, r.Name, ModelRoute, ServiceRoute)
	}
	for _, a := range r.Accounts {
		requireKnown(k, k.after.Accounts, "client account", a)
	}
	for _, c := range r.NonIdempotent {
		if c.Method == "" || !strings.HasPrefix(c.Path, "/") {
			k.addFault("bad call %q %q of route %q: want a method and a path that starts with /", c.Method, c.Path, r.Name)
		}
	}
	if r.Deadline < 0 || r.MaxOutputTokens < 0 {
		k.addFault("route %q: deadline or max_output_tokens is below zero", r.Name)
	}
}

func (k *checker) account(a Account) {
	k.name("client account", a.Name)
	l := a.Limits
	if !(l.RequestsPerSecond >= 0) || !(l.TokensPerSecond >= 0) || l.Concurrent < 0 || l.HeldBytes < 0 {
		k.addFault("client account %q: a limit is below zero or no number", a.Name)
	}
	for _, h := range a.KeyHashes {
		k.keyHash(a.Name, h)
	}
	k.unique("key hash of client account "+a.Name, a.KeyHashes)
}

// keyHash checks one key hash of account. Two accounts must not share a key, because the key
// identifies the account of a request.
func (k *checker) keyHash(account, hash string) {
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
		k.addFault("client account %q: a key hash is no SHA-256 digest in lower-case hexadecimal", account)
	}
	if other := k.keyOwner[hash]; other != account && other != "" {
		k.addFault("client account %q: a key hash is the same as one of client account %q", account, other)
	}
}

// keyOwners returns the client account of each key hash. If several accounts have the same
// hash, it is the first of them in alphabetical order.
func (d *Document) keyOwners() map[string]string {
	owners := map[string]string{}
	for name, a := range d.Accounts {
		for _, h := range a.KeyHashes {
			if other, ok := owners[h]; !ok || name < other {
				owners[h] = name
			}
		}
	}
	return owners
}

func (k *checker) endpoint(e EndpointRule) {
	k.name("endpoint", e.Name)
	k.state(e.State)
}

// dropModel checks that the model exists and that no route leads to it after the changes.
func (k *checker) dropModel(name string) {
	requireKnown(k, k.before.Models, "model", name)
	for _, r := range sortedKeys(k.after.Routes) {
		if route := k.after.Routes[r]; route.Kind == ModelRoute && route.Target == name {
			k.addFault("model %q is the target of route %q", name, r)
		}
	}
}

// dropAccount checks that the client account exists and that no route lists it after the
// changes.
func (k *checker) dropAccount(name string) {
	requireKnown(k, k.before.Accounts, "client account", name)
	for _, r := range sortedKeys(k.after.Routes) {
		for _, a := range k.after.Routes[r].Accounts {
			if a == name {
				k.addFault("client account %q may use route %q", name, r)
			}
		}
	}
}
