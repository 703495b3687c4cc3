package state

import (
	"slices"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// The actions of an order to an engine.
const (
	ActionLoad    = "load"
	ActionAdapter = "adapter"
	ActionVersion = "version"
	ActionRole    = "role"
)

// orders holds the fencing numbers and, per endpoint, the orders that stand: the
// newest of each action.
type orders struct {
	// last is the newest fencing number given out, to any endpoint or claim.
	last uint64
	// endpoints is what was ordered of each endpoint.
	endpoints map[string]standing
	// version grows with each change, so that sessions see news cheaply.
	version uint64
}

// standing is what holds for one endpoint.
type standing struct {
	// Incarnation is the newest one that asked for its fencing number.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Registered is the number given to the incarnation at its registration: lower
	// ones belong to earlier incarnations.
	Registered uint64 `cbor:"2,keyasint"`
	// Orders are the standing orders by rising fencing number.
	Orders []wire.Order `cbor:"3,keyasint"`
}

func newOrders() *orders { return &orders{endpoints: map[string]standing{}} }

func (o *orders) next() uint64 {
	o.last++
	return o.last
}

func (m *Machine) order(e *Entry) *wire.Answer {
	var c command.Order
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	if c.Endpoint == "" || c.Value == "" || !knownAction(c.Action) {
		return refuse(verdict.Refuse(verdict.ReasonBadRequest, 0,
			"an order needs an endpoint, a value and an action load, adapter, version or role"))
	}
	if _, ok := m.doc.Models[c.Value]; c.Action == ActionLoad && !ok {
		return refuse(verdict.Refuse(verdict.ReasonBadRequest, 0, "unknown model %q", c.Value))
	}
	order := wire.Order{Fence: m.orders.next(), Endpoint: c.Endpoint, Action: c.Action, Value: c.Value}
	s := m.orders.endpoints[c.Endpoint]
	s.add(order)
	m.orders.set(c.Endpoint, s)
	m.keepAudit(command.AuditEntry{Revision: m.doc.Revision, Who: e.Who, When: m.time(), ID: e.ID, Order: &order})
	return accept(command.Ordered{Fence: order.Fence})
}

func knownAction(action string) bool {
	return slices.Contains([]string{ActionLoad, ActionAdapter, ActionVersion, ActionRole}, action)
}

// fence answers a sidecar that has just started. Its incarnation takes the place
// of an older one for good, and the standing orders get new numbers, so that
// whatever the older one still receives is refused as old.
func (m *Machine) fence(e *Entry) *wire.Answer {
	var c command.Fence
	if err := wire.Unmarshal(e.Body, &c); err != nil {
		return refuse(badRequest(err))
	}
	s := m.orders.endpoints[c.Endpoint]
	if c.Incarnation < s.Incarnation {
		return refuse(verdict.Refuse(verdict.ReasonFenced, 0,
			"endpoint %s has a newer incarnation %d", c.Endpoint, s.Incarnation))
	}
	if c.Incarnation == s.Incarnation {
		return accept(command.Fenced{Newest: s.Registered})
	}
	s.Incarnation = c.Incarnation
	s.Registered = m.orders.next()
	standing := s.Orders
	s.Orders = nil
	for _, o := range standing {
		o.Fence = m.orders.next()
		s.add(o)
	}
	m.orders.set(c.Endpoint, s)
	return accept(command.Fenced{Newest: s.Registered})
}

// add puts an order in force in place of the older one with the same action.
// Adapters stand side by side, so each value is kept.
func (s *standing) add(o wire.Order) {
	kept := make([]wire.Order, 0, len(s.Orders)+1)
	for _, old := range s.Orders {
		if !replaces(o, old) {
			kept = append(kept, old)
		}
	}
	s.Orders = append(kept, o)
}

func replaces(newer, older wire.Order) bool {
	if newer.Action != older.Action {
		return false
	}
	return newer.Action != ActionAdapter || newer.Value == older.Value
}

func (o *orders) set(endpoint string, s standing) {
	o.endpoints[endpoint] = s
	o.version++
}

// OrdersVersion grows with each change of the standing orders.
func (m *Machine) OrdersVersion() uint64 { return m.orders.version }

// Orders returns the endpoint's standing orders by rising fencing number. An
// incarnation that has not yet read its fencing number, or was replaced, gets none.
func (m *Machine) Orders(endpoint string, incarnation uint64) []wire.Order {
	s := m.orders.endpoints[endpoint]
	if incarnation != s.Incarnation {
		return nil
	}
	return s.Orders
}

// Incarnation returns the endpoint's registered incarnation, or zero.
func (m *Machine) Incarnation(endpoint string) uint64 {
	return m.orders.endpoints[endpoint].Incarnation
}
