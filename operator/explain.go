package operator

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// Explanation is the answer to an explain statement: the effects that an order would have. The
// order is not sent.
type Explanation struct {
	// Revision is the configuration revision from which the effects were computed.
	Revision uint64 `json:"revision"`
	// Before and After describe the changed parts of the configuration before and after the
	// order. After also lists an order to an engine or a change of the replicas.
	Before []string `json:"before"`
	After  []string `json:"after"`
	// Endpoints are the endpoints that the order affects.
	Endpoints []AffectedEndpoint `json:"endpoints"`
	// InFlight is the number of attempts in flight on Endpoints.
	InFlight int `json:"in_flight"`
	// Warnings lists effects that the operator may not intend.
	Warnings []string `json:"warnings"`
}

// AffectedEndpoint is an endpoint that an order affects. State is the result of endpointState.
// Before and After say whether the endpoint is in service before and after the order. Running is
// the number of attempts in flight on it.
type AffectedEndpoint struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	State   string           `json:"state"`
	Before  config.ZoneState `json:"before"`
	After   config.ZoneState `json:"after"`
	Running int              `json:"running"`
}

var _ Result = (*Explanation)(nil)

// explain computes the effects of the plan on the configuration and the endpoints of v.
func explain(v *command.View, p *Plan) (*Explanation, error) {
	after, err := applyToCopy(v.Document, p.Changes)
	if err != nil {
		return nil, err
	}
	e := &Explanation{
		Revision:  v.Document.Revision,
		Before:    []string{},
		After:     []string{},
		Endpoints: []AffectedEndpoint{},
		Warnings:  []string{},
	}
	for _, c := range p.Changes {
		e.Before = append(e.Before, describeCurrent(v.Document, c))
		e.After = append(e.After, describeChange(c))
	}
	if p.Engine != nil {
		e.After = append(e.After, fmt.Sprintf("order %s %s on %s under the next fencing number", p.Engine.Action, p.Engine.Value, p.Engine.Endpoint))
	}
	if p.Member != nil {
		e.After = append(e.After, strings.TrimSpace(fmt.Sprintf("%s replica %d %s", p.Member.Action, p.Member.ID, p.Member.Addr)))
	}
	for i := range v.Endpoints {
		if slices.Contains(p.Endpoints, v.Endpoints[i].Name) {
			e.add(&v.Endpoints[i], v.Document, after)
		}
	}
	e.Warnings = append(e.Warnings, warnings(v, after)...)
	return e, nil
}

// add adds an endpoint to the affected ones. The documents before and after are the
// configurations without and with the order's changes.
func (e *Explanation) add(endpoint *wire.Endpoint, before, after *config.Document) {
	e.InFlight += endpoint.Load.Running
	e.Endpoints = append(e.Endpoints, AffectedEndpoint{
		Name:    endpoint.Name,
		Zone:    endpoint.Zone,
		State:   endpointState(endpoint),
		Before:  before.EndpointState(endpoint.Name, endpoint.Zone),
		After:   after.EndpointState(endpoint.Name, endpoint.Zone),
		Running: endpoint.Load.Running,
	})
}

// applyToCopy returns a copy of d to which the changes are applied.
func applyToCopy(d *config.Document, changes []config.Change) (*config.Document, error) {
	after := d.Clone()
	err := after.Apply(config.ChangeSet{Revision: d.Revision + 1, Changes: changes})
	return after, errors.Wrap(err, "work out the changes")
}

// describeCurrent describes the current value of the part of d that c replaces or drops.
func describeCurrent(d *config.Document, c config.Change) string {
	switch {
	case c.Zone != nil:
		return describeExisting(d.Zones, c.Zone.Name, func(z config.Zone) config.Change { return config.Change{Zone: &z} })
	case c.Model != nil || c.DropModel != "":
		name := c.DropModel
		if c.Model != nil {
			name = c.Model.Name
		}
		return describeExisting(d.Models, name, func(m config.Model) config.Change { return config.Change{Model: &m} })
	case c.Route != nil || c.DropRoute != "":
		name := c.DropRoute
		if c.Route != nil {
			name = c.Route.Name
		}
		return describeExisting(d.Routes, name, func(r config.Route) config.Change { return config.Change{Route: &r} })
	case c.Account != nil || c.DropAccount != "":
		name := c.DropAccount
		if c.Account != nil {
			name = c.Account.Name
		}
		return describeExisting(d.Accounts, name, func(a config.Account) config.Change { return config.Change{Account: &a} })
	}
	name := c.DropEndpoint
	if c.Endpoint != nil {
		name = c.Endpoint.Name
	}
	return describeExisting(d.Endpoints, name, func(s config.ZoneState) config.Change {
		return config.Change{Endpoint: &config.EndpointRule{Name: name, State: s}}
	})
}

// describeExisting describes the entry name of m, or returns "not set" if there is none. The
// function change wraps the entry in a change, from which describeChange makes the text.
func describeExisting[T any](m map[string]T, name string, change func(T) config.Change) string {
	v, ok := m[name]
	if !ok {
		return "not set"
	}
	return describeChange(change(v))
}

// warnings compares the configuration of v with the configuration after the order. It lists the
// routes that lose their last endpoint in service, and the new routes whose target has no
// endpoint in service.
func warnings(v *command.View, after *config.Document) []string {
	var list []string
	for _, name := range sortedKeys(after.Routes) {
		target := after.Routes[name].Target
		before := inService(v, v.Document, target)
		remaining := inService(v, after, target)
		_, existed := v.Document.Routes[name]
		switch {
		case before > 0 && remaining == 0:
			list = append(list, fmt.Sprintf("route %s would have no endpoint in service", name))
		case !existed && remaining == 0:
			list = append(list, fmt.Sprintf("route %s leads to %s, which no endpoint in service serves", name, target))
		}
	}
	return list
}

// inService returns the number of endpoints of a target that are in service in the
// configuration d.
func inService(v *command.View, d *config.Document, target string) int {
	count := 0
	for _, e := range v.Endpoints {
		if e.Target == target && d.EndpointState(e.Name, e.Zone) == config.In {
			count++
		}
	}
	return count
}

// WriteText writes the changes, the affected endpoints and the warnings.
func (e *Explanation) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "would change, at revision %d:\n", e.Revision)
	for _, line := range e.Before {
		fmt.Fprintf(&b, "  - %s\n", line)
	}
	for _, line := range e.After {
		fmt.Fprintf(&b, "  + %s\n", line)
	}
	fmt.Fprintf(&b, "reaches %s with %s in flight\n", plural(len(e.Endpoints), "endpoint"), plural(e.InFlight, "attempt"))
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errors.Wrap(err, "write explanation")
	}
	if err := e.writeEndpoints(w); err != nil {
		return err
	}
	for _, warning := range e.Warnings {
		if _, err := fmt.Fprintf(w, "warning: %s\n", warning); err != nil {
			return errors.Wrap(err, "write explanation")
		}
	}
	return nil
}

func (e *Explanation) writeEndpoints(w io.Writer) error {
	if len(e.Endpoints) == 0 {
		return nil
	}
	t := &Table{columns: []column{{"endpoint", text}, {"zone", text}, {"state", text}, {"before", text}, {"after", text}, {"running", number}}}
	for _, a := range e.Endpoints {
		t.rows = append(t.rows, []value{a.Name, a.Zone, a.State, string(a.Before), string(a.After), float64(a.Running)})
	}
	return t.WriteText(w)
}
