package config

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Change is one change of the configuration. Exactly one field is set. Zone, Model, Route,
// Account and Endpoint add or replace the object of that name; a Drop field holds the name of
// the object to remove.
type Change struct {
	Zone         *Zone         `json:"zone,omitempty" cbor:"1,keyasint,omitempty"`
	Model        *Model        `json:"model,omitempty" cbor:"2,keyasint,omitempty"`
	Route        *Route        `json:"route,omitempty" cbor:"3,keyasint,omitempty"`
	Account      *Account      `json:"account,omitempty" cbor:"4,keyasint,omitempty"`
	Endpoint     *EndpointRule `json:"endpoint,omitempty" cbor:"5,keyasint,omitempty"`
	DropModel    string        `json:"drop_model,omitempty" cbor:"6,keyasint,omitempty"`
	DropRoute    string        `json:"drop_route,omitempty" cbor:"7,keyasint,omitempty"`
	DropAccount  string        `json:"drop_account,omitempty" cbor:"8,keyasint,omitempty"`
	DropEndpoint string        `json:"drop_endpoint,omitempty" cbor:"9,keyasint,omitempty"`
	Publication  *Publication  `json:"publication,omitempty" cbor:"10,keyasint,omitempty"`
}

// EndpointRule takes one endpoint out of service, or back in. It cannot put an endpoint in
// service whose zone is out of service.
type EndpointRule struct {
	Name  string    `json:"name" cbor:"1,keyasint"`
	State ZoneState `json:"state" cbor:"2,keyasint"`
}

// ChangeSet is one or more changes that take effect together and make the document's next
// revision, Revision.
type ChangeSet struct {
	Revision uint64   `json:"revision" cbor:"1,keyasint"`
	Changes  []Change `json:"changes" cbor:"2,keyasint"`
}

// smallChangeBytes is the size that a change without a publication counts for; it has a few names and numbers.
const smallChangeBytes = 1 << 10

// Size returns the approximate size of the changes in bytes.
func (r ChangeSet) Size() int {
	size := 0
	for _, c := range r.Changes {
		size += smallChangeBytes
		if c.Publication != nil {
			size += len(c.Publication.Content)
		}
		if c.Account != nil {
			size += len(c.Account.KeyHashes) * keyHashBytes * 2
		}
	}
	return size
}

// ChangesZone reports whether one of the changes is to the availability zone of that name.
func (r ChangeSet) ChangesZone(name string) bool {
	return slices.ContainsFunc(r.Changes, func(c Change) bool { return c.Zone != nil && c.Zone.Name == name })
}

// Apply applies the changes of r, which become the document's next revision. It returns an
// error if r.Revision does not directly follow the document's revision, so that a copy of the
// document cannot skip a change or go back. It doesn't check the changes; see Check.
func (d *Document) Apply(r ChangeSet) error {
	if r.Revision != d.Revision+1 {
		return errors.Errorf("revision %d does not follow on %d", r.Revision, d.Revision)
	}
	for _, c := range r.Changes {
		d.apply(c)
	}
	d.Revision = r.Revision
	return nil
}

// apply applies one change without changing the revision.
func (d *Document) apply(c Change) {
	switch {
	case c.Zone != nil:
		d.Zones[c.Zone.Name] = *c.Zone
	case c.Model != nil:
		d.Models[c.Model.Name] = *c.Model
	case c.Route != nil:
		d.Routes[c.Route.Name] = *c.Route
	case c.Account != nil:
		d.Accounts[c.Account.Name] = *c.Account
	case c.Endpoint != nil:
		d.Endpoints[c.Endpoint.Name] = c.Endpoint.State
	case c.DropModel != "":
		delete(d.Models, c.DropModel)
	case c.DropRoute != "":
		delete(d.Routes, c.DropRoute)
	case c.DropAccount != "":
		delete(d.Accounts, c.DropAccount)
	case c.DropEndpoint != "":
		delete(d.Endpoints, c.DropEndpoint)
	case c.Publication != nil:
		d.Publication = c.Publication
	}
}

// EndpointState returns whether endpoint, in the availability zone named zone, takes new
// work: In if its zone is in and no rule takes the endpoint out. Endpoints of an unknown zone
// are out.
func (d *Document) EndpointState(endpoint, zone string) ZoneState {
	z, ok := d.Zones[zone]
	if !ok || z.State != In {
		return Out
	}
	if d.Endpoints[endpoint] == Out {
		return Out
	}
	return In
}

// AtMostOnce reports whether a call of the route must run at most once. path is the path
// below the route.
func (r Route) AtMostOnce(method, path string) bool {
	for _, c := range r.NonIdempotent {
		if strings.EqualFold(c.Method, method) && strings.HasPrefix(path, c.Path) {
			return true
		}
	}
	return false
}
