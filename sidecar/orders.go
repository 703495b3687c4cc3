package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/engine"
	"github.com/rosemaryproxy/rosemaryproxy/fence"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// registerRetryInterval is the time between two attempts to register an incarnation.
	registerRetryInterval = 500 * time.Millisecond
	// orderRetryInterval is the time between two attempts to carry out an order.
	orderRetryInterval = time.Second
	// orderTimeout bounds one attempt to carry out an order. Loading weights takes long.
	orderTimeout = 10 * time.Minute
)

// orders queues the orders from control, which change what the engine serves, and admits
// those that the fencing gate allows. kernel.LockOrder lists the lock mu as "sidecar.orders".
type orders struct {
	// mu guards fenceGate and pending.
	mu        sync.Mutex
	fenceGate fence.Gate
	pending   []wire.Order
	// wake has a buffer of one. It signals new orders or a new incarnation.
	wake chan struct{}
}

func newOrders() *orders { return &orders{wake: make(chan struct{}, 1)} }

// notify wakes runOrders.
func (o *orders) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// enqueue queues orders that the session received. The fencing gate decides when they
// are carried out.
func (o *orders) enqueue(list []wire.Order) {
	o.mu.Lock()
	o.pending = append(o.pending, list...)
	o.mu.Unlock()
	o.notify()
}

// next returns the first pending order that the fencing gate admits, or nil. It removes
// the orders before it, which the gate refuses because of old numbers, and returns them
// as refused. renewedByControl is the result of ControlClient.RenewedByControl. While it
// is false or the gate is not open, all orders stay pending.
func (o *orders) next(now time.Time, renewedByControl bool) (order *wire.Order, refused []wire.Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.fenceGate.Opened() || o.fenceGate.WaitTime(now) > 0 || !renewedByControl {
		return nil, nil
	}
	for len(o.pending) > 0 {
		first := o.pending[0]
		o.pending = o.pending[1:]
		if o.fenceGate.Admit(now, first.Fence, renewedByControl) == nil {
			return &first, refused
		}
		refused = append(refused, first)
	}
	return nil, refused
}

// mayRetry reports whether the admitted order with this number may be tried again.
func (o *orders) mayRetry(number uint64, renewedByControl bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fenceGate.MayRetry(number, renewedByControl)
}

// open sets the newest fencing number and lets orders pass from the given time on.
func (o *orders) open(newest uint64, from time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fenceGate.Open(newest, from)
}

// restarted makes runOrders register the new incarnation.
func (s *Sidecar) restarted() { s.orders.notify() }

// runOrders registers each incarnation with control and carries out orders until ctx
// ends. No order is carried out before the newest fencing number has been read from a
// quorum.
func (s *Sidecar) runOrders(ctx context.Context) error {
	var registered uint64
	for {
		if incarnation := s.gate.currentIncarnation(); incarnation != registered && s.register(ctx, incarnation) {
			registered = incarnation
		}
		for s.runNextOrder(ctx) {
		}
		pause := orderRetryInterval
		if s.gate.currentIncarnation() != registered {
			pause = registerRetryInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.orders.wake:
		case <-s.clock.After(pause):
		}
	}
}

// register registers incarnation with control as the endpoint's current one. Claims are
// then admitted at once, and orders after the duration of a lease. register reports whether
// it succeeded.
func (s *Sidecar) register(ctx context.Context, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	var fenced command.Fenced
	ask := command.Fence{Endpoint: s.node.Name, Incarnation: incarnation}
	if err := s.control.Do(ctx, command.NameFence, session.NewID(), ask, &fenced); err != nil {
		s.log.Debug("incarnation not registered", "incarnation", incarnation, "error", err)
		return false
	}
	s.gate.openClaims(incarnation, fenced.Newest)
	s.orders.open(fenced.Newest, s.clock.Now().Add(session.DefaultLease))
	s.log.Info("incarnation registered", "incarnation", incarnation, "fence", fenced.Newest)
	return true
}

// runNextOrder carries out the next order and reports whether there was one. It tries
// until the order succeeds, the engine refuses it, or a newer order or the loss of the
// permission forbids another attempt.
func (s *Sidecar) runNextOrder(ctx context.Context) bool {
	now := s.clock.Now()
	order, refused := s.orders.next(now, s.control.RenewedByControl())
	for _, r := range refused {
		s.log.Info("order refused", "fence", r.Fence, "action", r.Action, "value", r.Value, "reason", "old fencing number")
	}
	if order == nil {
		return false
	}
	for ctx.Err() == nil && s.orders.mayRetry(order.Fence, s.control.RenewedByControl()) {
		err := s.engine.order(ctx, engine.Order{Fence: order.Fence, Action: order.Action, Value: order.Value})
		if err == nil {
			s.log.Info("order carried out", "fence", order.Fence, "action", order.Action, "value", order.Value)
			return true
		}
		s.log.Warn("order failed", "fence", order.Fence, "action", order.Action, "value", order.Value, "error", err)
		if refusedByEngine(err) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-s.clock.After(orderRetryInterval):
		}
	}
	return true
}
