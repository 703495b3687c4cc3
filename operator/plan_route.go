package operator

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

// routeOrder adds a route or changes an existing one. An option that is nil leaves
// the route's value unchanged.
type routeOrder struct {
	name      string
	kind      config.RouteKind
	target    Name
	deadline  *time.Duration
	maxOutput *int
	accounts  []Name
}

func (o *routeOrder) plan(v *command.View) (*Plan, error) {
	if err := o.check(v.Document); err != nil {
		return nil, err
	}
	route, existed := v.Document.Routes[o.name]
	targets := []string{o.target.Text}
	if existed {
		targets = append(targets, route.Target)
	}
	route.Name, route.Kind, route.Target = o.name, o.kind, o.target.Text
	if o.deadline != nil {
		route.Deadline = *o.deadline
	}
	if o.maxOutput != nil {
		route.MaxOutputTokens = *o.maxOutput
	}
	if o.accounts != nil {
		route.Accounts = nameTexts(o.accounts)
	}
	return &Plan{Changes: []config.Change{{Route: &route}}, Endpoints: endpointsServing(v, targets...)}, nil
}

// check refuses a model or a client account that is not configured. The configuration does not
// list services, so any name of a service is allowed.
func (o *routeOrder) check(d *config.Document) error {
	if o.kind == config.ModelRoute {
		if _, err := find(o.target, "model", d.Models); err != nil {
			return err
		}
	}
	for _, a := range o.accounts {
		if _, err := find(a, "client account", d.Accounts); err != nil {
			return err
		}
	}
	return nil
}

func nameTexts(names []Name) []string {
	list := make([]string, len(names))
	for i, n := range names {
		list[i] = n.Text
	}
	return list
}

// endpointsServing returns the names of the endpoints that serve one of the targets.
func endpointsServing(v *command.View, targets ...string) []string {
	var names []string
	for _, e := range v.Endpoints {
		if slices.Contains(targets, e.Target) {
			names = append(names, e.Name)
		}
	}
	return names
}

// markOrder marks calls of a route as non-idempotent, so that they run at most once, or removes
// the mark.
type markOrder struct {
	route Name
	call  config.Call
	// path is the word of the call's path, for the position of faults.
	path Name
	// mark is false if the mark is to be removed.
	mark bool
}

func (o *markOrder) plan(v *command.View) (*Plan, error) {
	route, err := find(o.route, "route", v.Document.Routes)
	if err != nil {
		return nil, err
	}
	calls := slices.Clone(route.NonIdempotent)
	marked := slices.Contains(calls, o.call)
	switch {
	case o.mark && marked:
		return nil, faultAt(o.path, "%s %s of route %q is marked already", o.call.Method, o.call.Path, route.Name)
	case !o.mark && !marked:
		return nil, faultAt(o.path, "%s %s of route %q is not marked", o.call.Method, o.call.Path, route.Name)
	case o.mark:
		calls = append(calls, o.call)
	default:
		calls = slices.DeleteFunc(calls, func(c config.Call) bool { return c == o.call })
	}
	route.NonIdempotent = calls
	return &Plan{Changes: []config.Change{{Route: &route}}, Endpoints: endpointsServing(v, route.Target)}, nil
}

// modelOrder adds a model or changes an existing one. An option that is nil or zero leaves
// the model's value unchanged.
type modelOrder struct {
	name     string
	versions []string
	adapters []string
	weights  int64
}

func (o *modelOrder) plan(v *command.View) (*Plan, error) {
	model := v.Document.Models[o.name]
	model.Name = o.name
	if o.versions != nil {
		model.Versions = o.versions
	}
	if o.adapters != nil {
		model.Adapters = o.adapters
	}
	if o.weights != 0 {
		model.WeightBytes = o.weights
	}
	return &Plan{Changes: []config.Change{{Model: &model}}, Endpoints: endpointsServing(v, o.name)}, nil
}

// dropOrder removes a model, a route, a client account or the rule for an endpoint.
type dropOrder struct {
	// kind is "model", "route", "account" or "endpoint".
	kind string
	name Name
}

func (o *dropOrder) plan(v *command.View) (*Plan, error) {
	d := v.Document
	switch o.kind {
	case "model":
		if _, err := find(o.name, "model", d.Models); err != nil {
			return nil, err
		}
		return &Plan{Changes: []config.Change{{DropModel: o.name.Text}}, Endpoints: endpointsServing(v, o.name.Text)}, nil
	case "route":
		route, err := find(o.name, "route", d.Routes)
		return &Plan{Changes: []config.Change{{DropRoute: o.name.Text}}, Endpoints: endpointsServing(v, route.Target)}, err
	case "account":
		_, err := find(o.name, "client account", d.Accounts)
		return &Plan{Changes: []config.Change{{DropAccount: o.name.Text}}}, err
	}
	_, err := find(o.name, "rule for endpoint", d.Endpoints)
	return &Plan{Changes: []config.Change{{DropEndpoint: o.name.Text}}, Endpoints: []string{o.name.Text}}, err
}

// plural returns the number n with the noun what, which gets an "s" unless n is 1.
func plural(n int, what string) string {
	if n == 1 {
		return fmt.Sprintf("%d %s", n, what)
	}
	return fmt.Sprintf("%d %ss", n, what)
}
