package operator

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

// Plan is the command that an order sends to control. One of Changes, Engine and Member is set.
type Plan struct {
	// Changes are the changes of the configuration.
	Changes []config.Change
	// Engine is an order to an engine.
	Engine *command.Order
	// Member is a change of the replicas of control.
	Member *command.Member
	// Key is the new key of a client account. It is shown once and not sent; Changes contain
	// its hash.
	Key string
	// Endpoints are the names of the endpoints that the order affects.
	Endpoints []string
}

// makePlan plans an order and makes the same checks of its changes as control, so that a refusal
// is found before anything is sent.
func makePlan(o planner, v *command.View) (*Plan, error) {
	p, err := o.plan(v)
	if err != nil || len(p.Changes) == 0 {
		return p, err
	}
	var faults config.Faults
	if err := v.Document.Check(p.Changes); errors.As(err, &faults) {
		problems := make([]string, len(faults))
		for i, f := range faults {
			problems[i] = f.Problem
		}
		return nil, &StatementError{Problem: "control would refuse this: " + strings.Join(problems, "; ")}
	}
	return p, nil
}

// unknownName returns the fault of a name that is not among the known ones. It suggests a
// similar name or, if there are at most 10, lists the known ones. The argument what is the kind
// of object.
func unknownName(n Name, what string, known []string) *StatementError {
	hint := suggestion(n.Text, known)
	if hint == "" && len(known) > 0 && len(known) <= 10 {
		hint = "; known: " + strings.Join(known, ", ")
	}
	return faultAt(n, "no %s %q%s", what, n.Text, hint)
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// find returns the entry n of m. The argument what is the kind of object for the fault.
func find[T any](n Name, what string, m map[string]T) (T, error) {
	v, ok := m[n.Text]
	if !ok {
		return v, unknownName(n, what, sortedKeys(m))
	}
	return v, nil
}

// zoneOrder takes an availability zone out of service or brings it back in.
type zoneOrder struct {
	name  Name
	state config.ZoneState
}

func (o *zoneOrder) plan(v *command.View) (*Plan, error) {
	zone, err := find(o.name, "zone", v.Document.Zones)
	if err != nil {
		return nil, err
	}
	zone.State = o.state
	p := &Plan{Changes: []config.Change{{Zone: &zone}}}
	for _, e := range v.Endpoints {
		if e.Zone == zone.Name {
			p.Endpoints = append(p.Endpoints, e.Name)
		}
	}
	return p, nil
}

// endpointOrder takes an endpoint out of service or brings it back in.
type endpointOrder struct {
	name  Name
	state config.ZoneState
}

func (o *endpointOrder) plan(v *command.View) (*Plan, error) {
	// The configuration may have a rule for an endpoint without a session. The rule can still
	// be changed.
	if _, ruled := v.Document.Endpoints[o.name.Text]; !ruled {
		if _, err := findEndpoint(v, o.name); err != nil {
			return nil, err
		}
	}
	rule := &config.EndpointRule{Name: o.name.Text, State: o.state}
	return &Plan{Changes: []config.Change{{Endpoint: rule}}, Endpoints: []string{o.name.Text}}, nil
}

// addZoneOrder adds an availability zone, which is out of service until a zoneOrder brings it in.
type addZoneOrder struct {
	name   Name
	region string
}

func (o *addZoneOrder) plan(v *command.View) (*Plan, error) {
	if _, ok := v.Document.Zones[o.name.Text]; ok {
		return nil, faultAt(o.name, "there is a zone %q already", o.name.Text)
	}
	zone := &config.Zone{Name: o.name.Text, Region: o.region, State: config.Out}
	return &Plan{Changes: []config.Change{{Zone: zone}}}, nil
}

// accountOrder adds a client account or changes the limits of an existing one.
type accountOrder struct {
	name Name
	add  bool
	// set has one function for each limit that the order names. Other limits keep their value.
	set []func(*config.Limits)
}

func (o *accountOrder) plan(v *command.View) (*Plan, error) {
	account, exists := v.Document.Accounts[o.name.Text]
	switch {
	case o.add && exists:
		return nil, faultAt(o.name, "there is a client account %q already", o.name.Text)
	case !o.add && !exists:
		return nil, unknownName(o.name, "client account", sortedKeys(v.Document.Accounts))
	}
	account.Name = o.name.Text
	for _, set := range o.set {
		set(&account.Limits)
	}
	return &Plan{Changes: []config.Change{{Account: &account}}}, nil
}

const (
	keyBytes  = 32
	keyPrefix = "rk-"
)

// NewKey returns a random key for a client account: keyPrefix and keyBytes random bytes in
// hexadecimal.
func NewKey() (string, error) {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", errors.Wrap(err, "make key")
	}
	return keyPrefix + hex.EncodeToString(raw), nil
}

// addKeyOrder makes a key for a client account. Only the hash of the key is sent to control.
type addKeyOrder struct{ account Name }

func (o *addKeyOrder) plan(v *command.View) (*Plan, error) {
	account, err := find(o.account, "client account", v.Document.Accounts)
	if err != nil {
		return nil, err
	}
	key, err := NewKey()
	if err != nil {
		return nil, err
	}
	account.KeyHashes = append(slices.Clone(account.KeyHashes), config.HashKey(key))
	return &Plan{Changes: []config.Change{{Account: &account}}, Key: key}, nil
}

// dropKeyOrder removes a key from a client account. The key is given by the first digits of its
// digest, which must match only one key of the account.
type dropKeyOrder struct{ hash, account Name }

func (o *dropKeyOrder) plan(v *command.View) (*Plan, error) {
	account, err := find(o.account, "client account", v.Document.Accounts)
	if err != nil {
		return nil, err
	}
	named := func(hash string) bool { return strings.HasPrefix(hash, o.hash.Text) }
	rest := slices.DeleteFunc(slices.Clone(account.KeyHashes), named)
	switch len(account.KeyHashes) - len(rest) {
	case 0:
		return nil, faultAt(o.hash, "client account %q has no key whose digest starts with %s", account.Name, o.hash.Text)
	case 1:
		account.KeyHashes = rest
		return &Plan{Changes: []config.Change{{Account: &account}}}, nil
	}
	return nil, faultAt(o.hash, "more than one key's digest starts with %s; give more digits", o.hash.Text)
}
