package state

import (
	"slices"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// The actions of a command.Order.
const (
	ActionLoad    = "load"
	ActionAdapter = "adapter"
	ActionVersion = "version"
	ActionRole    = "role"
)

// orders holds the last fencing number and, for each endpoint, the orders in force. These are
// the newest order of each action, and for ActionAdapter of each adapter.
type orders struct {
	// lastFence is the last fencing number issued, for any order, incarnation or claim.
	lastFence uint64
	// endpoints holds the orders by the name of the endpoint.
	endpoints map[string]endpointOrders
	// version increases with each change of endpoints, so that sessions detect changes
	// without a comparison.
	version uint64
}

// endpointOrders holds the orders in force for one endpoint, and its registered incarnation. It
// is part of a snapshot.
type endpointOrders struct {
	// Incarnation is the registered incarnation: the newest one that has sent command.Fence.
	Incarnation uint64 `cbor:"1,keyasint"`
	// RegistrationFence is the fencing number issued at the registration of Incarnation. The
	// endpoint's lower numbers were issued to earlier incarnations.
	RegistrationFence uint64 `cbor:"2,keyasint"`
	// Orders are the orders in force, in increasing order of their fencing numbers.
	Orders []wire.Order `cbor:"3,keyasint"`
}

func newOrders() *orders { return &orders{endpoints: map[string]endpointOrders{}} }

// nextFence issues the next fencing number.
func (o *orders) nextFence() uint64 {
	o.lastFence++
	return o.lastFence
}

// order carries out a command.Order.
func (m *Machine) order(e *Entry) *wire.Answer {
	var c command.Order
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	if c.Endpoint == "" || c.Value == "" || !knownAction(c.Action) {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"an order needs an endpoint, a value and an action load, adapter, version or role"))
	}
	if _, ok := m.doc.Models[c.Value]; c.Action == ActionLoad && !ok {
		return refused(verdict.Refuse(verdict.ReasonBadRequest, 0, "unknown model %q", c.Value))
	}
	order := wire.Order{Fence: m.orders.nextFence(), Endpoint: c.Endpoint, Action: c.Action, Value: c.Value}
	s := m.orders.endpoints[c.Endpoint]
	s.add(order)
	m.orders.set(c.Endpoint, s)
	m.recordAudit(command.AuditEntry{Revision: m.doc.Revision, Who: e.Who, When: m.time(), ID: e.ID, Order: &order})
	return accepted(command.Ordered{Fence: order.Fence})
}

func knownAction(action string) bool {
	return slices.Contains([]string{ActionLoad, ActionAdapter, ActionVersion, ActionRole}, action)
}

// fence registers the incarnation of a sidecar that has started. The incarnation permanently
// replaces older ones. The orders in force get new fencing numbers, so that the numbers that an
// older incarnation was given are outdated.
func (m *Machine) fence(e *Entry) *wire.Answer {
	var c command.Fence
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refused(badRequest(err))
	}
	s := m.orders.endpoints[c.Endpoint]
	if c.Incarnation < s.Incarnation {
		return refused(verdict.Refuse(verdict.ReasonFenced, 0,
			"endpoint %s has a newer incarnation %d", c.Endpoint, s.Incarnation))
	}
	if c.Incarnation == s.Incarnation {
		return accepted(command.Fenced{Newest: s.RegistrationFence})
	}
	s.Incarnation = c.Incarnation
	s.RegistrationFence = m.orders.nextFence()
	previous := s.Orders
	s.Orders = nil
	for _, o := range previous {
		o.Fence = m.orders.nextFence()
		s.add(o)
	}
	m.orders.set(c.Endpoint, s)
	return accepted(command.Fenced{Newest: s.RegistrationFence})
}

// add puts an order in force and removes the order that it supersedes.
func (s *endpointOrders) add(o wire.Order) {
	kept := make([]wire.Order, 0, len(s.Orders)+1)
	for _, old := range s.Orders {
		if !supersedes(o, old) {
			kept = append(kept, old)
		}
	}
	s.Orders = append(kept, o)
}

// supersedes reports whether the newer order replaces the older one. An order replaces one with
// the same action, except that orders for different adapters are in force together.
func supersedes(newer, older wire.Order) bool {
	if newer.Action != older.Action {
		return false
	}
	return newer.Action != ActionAdapter || newer.Value == older.Value
}

// set stores the orders of an endpoint.
func (o *orders) set(endpoint string, s endpointOrders) {
	o.endpoints[endpoint] = s
	o.version++
}

// OrdersVersion returns a number that increases with each change of the orders in force.
func (m *Machine) OrdersVersion() uint64 { return m.orders.version }

// Orders returns the orders in force for the endpoint, in increasing order of their fencing
// numbers. It returns none for an incarnation other than the registered one, because that has
// been replaced or has not yet registered. The caller must not modify the result.
func (m *Machine) Orders(endpoint string, incarnation uint64) []wire.Order {
	s := m.orders.endpoints[endpoint]
	if incarnation != s.Incarnation {
		return nil
	}
	return s.Orders
}

// Incarnation returns the registered incarnation of the endpoint, or zero if there is none.
func (m *Machine) Incarnation(endpoint string) uint64 {
	return m.orders.endpoints[endpoint].Incarnation
}
