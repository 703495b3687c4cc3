package operator

import (
	"fmt"
	"slices"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// findEndpoint returns the endpoint n among those that have a session with control.
func findEndpoint(v *command.View, n Name) (*wire.Endpoint, error) {
	names := make([]string, len(v.Endpoints))
	for i := range v.Endpoints {
		names[i] = v.Endpoints[i].Name
		if names[i] == n.Text {
			return &v.Endpoints[i], nil
		}
	}
	return nil, unknownName(n, "endpoint", names)
}

// engineOrder orders the engine of an endpoint to load a model or an adapter, or to change its
// version or role.
type engineOrder struct {
	// action is an action of wire.Order.
	action   string
	value    Name
	endpoint Name
}

func (o *engineOrder) plan(v *command.View) (*Plan, error) {
	e, err := findEndpoint(v, o.endpoint)
	if err != nil {
		return nil, err
	}
	if e.Service {
		return nil, faultAt(o.endpoint, "endpoint %q is a plain service and takes no engine orders", e.Name)
	}
	if err := o.checkValue(v.Document, e); err != nil {
		return nil, err
	}
	order := &command.Order{Endpoint: e.Name, Action: o.action, Value: o.value.Text}
	return &Plan{Engine: order, Endpoints: []string{e.Name}}, nil
}

// checkValue refuses a model, version or adapter that the configuration does not list. A model
// without a list of versions or adapters allows any.
func (o *engineOrder) checkValue(d *config.Document, e *wire.Endpoint) error {
	switch o.action {
	case "load":
		_, err := find(o.value, "model", d.Models)
		return err
	case "version":
		return checkListed(o.value, "version of "+e.Target, d.Models[e.Target].Versions)
	case "adapter":
		return checkListed(o.value, "adapter of "+e.Target, d.Models[e.Target].Adapters)
	}
	return nil
}

// checkListed refuses a name that is not in known. An empty list allows any name. The argument
// what is the kind of object.
func checkListed(n Name, what string, known []string) error {
	if len(known) == 0 || slices.Contains(known, n.Text) {
		return nil
	}
	return unknownName(n, what, known)
}

// replicaOrder adds, promotes or removes a replica of control.
type replicaOrder struct {
	// action is an action of command.Member.
	action string
	id     uint64
	// name is the word that id was parsed from, for the position of faults.
	name Name
	addr string
}

func (o *replicaOrder) plan(v *command.View) (*Plan, error) {
	at := slices.IndexFunc(v.Replicas, func(r command.ReplicaStatus) bool { return r.ID == o.id })
	switch {
	case o.action == "add" && at >= 0:
		return nil, faultAt(o.name, "replica %d is a member already; a new disk takes a new number", o.id)
	case o.action != "add" && at < 0:
		return nil, unknownName(o.name, "replica", replicaNumbers(v))
	case o.action == "promote" && v.Replicas[at].Voter:
		return nil, faultAt(o.name, "replica %d is a voter already", o.id)
	}
	return &Plan{Member: &command.Member{Action: o.action, ID: o.id, Addr: o.addr}}, nil
}

// replicaNumbers returns the identifiers of the replicas as text.
func replicaNumbers(v *command.View) []string {
	list := make([]string, len(v.Replicas))
	for i, r := range v.Replicas {
		list[i] = fmt.Sprint(r.ID)
	}
	return list
}
