package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/operator"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// connect returns a client of control and a function that closes its connections. The connections
// are opened when the first command is sent.
func (o *options) connect() (operator.Control, func(), error) {
	a, err := o.access()
	if err != nil {
		return nil, nil, err
	}
	id, err := wire.LoadIdentity(a.TLS)
	if err != nil {
		return nil, nil, &cli.UsageError{Err: err}
	}
	pool, err := wire.NewPool(id, wire.PoolOptions{}, &wire.Traffic{})
	if err != nil {
		return nil, nil, err
	}
	replicas := make([]string, len(a.Control))
	for i, addr := range a.Control {
		replicas[i] = string(addr)
	}
	client, err := session.New(session.Options{Role: wire.RoleOperator, Replicas: replicas, Opener: pool})
	if err != nil {
		return nil, nil, err
	}
	return client, pool.Close, nil
}
