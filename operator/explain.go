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

// Explanation says what an order would do. Nothing was sent.
type Explanation struct {
	// Revision is the configuration revision that the plan was made against.
	Revision uint64 `json:"revision"`
	// Before and After describe what changes.
	Before []string `json:"before"`
	After  []string `json:"after"`
	// Endpoints are those that the order reaches.
	Endpoints []AffectedEndpoint `json:"endpoints"`
	// InFlight counts the attempts in flight on them.
	InFlight int `json:"in_flight"`
	// Warnings names what the operator may not have meant.
	Warnings []string `json:"warnings"`
}

// AffectedEndpoint is an endpoint that an order reaches.
type AffectedEndpoint struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	State   string           `json:"state"`
	Before  config.ZoneState `json:"before"`
	After   config.ZoneState `json:"after"`
	Running int              `json:"running"`
}

var _ Result = (*Explanation)(nil)

// explain works out what the plan would do to the view.
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

// applyToCopy returns a copy of d with the changes made.
func applyToCopy(d *config.Document, changes []config.Change) (*config.Document, error) {
	after := d.Clone()
	err := after.Apply(config.ChangeSet{Revision: d.Revision + 1, Changes: changes})
	return after, errors.Wrap(err, "work out the changes")
}

// describeCurrent describes the part of the configuration that a change replaces.
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

func describeExisting[T any](m map[string]T, name string, change func(T) config.Change) string {
	v, ok := m[name]
	if !ok {
		return "not set"
	}
	return describeChange(change(v))
}

// warnings names the routes that lose their last endpoint in service, and those
// that lead nowhere yet.
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

// inService counts the endpoints of a target that the configuration d gives work.
func inService(v *command.View, d *config.Document, target string) int {
	count := 0
	for _, e := range v.Endpoints {
		if e.Target == target && d.EndpointState(e.Name, e.Zone) == config.In {
			count++
		}
	}
	return count
}

// WriteText writes the changes, the endpoints reached and the warnings.
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
