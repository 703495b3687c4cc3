package dev

import (
	"context"
	"io"

	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/operator"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// OperatorClient returns a client that sends commands to control as an operator, and a
// function that closes it.
func (f *Files) OperatorClient() (*session.Client, func(), error) {
	id, err := wire.LoadIdentity(f.Operator)
	if err != nil {
		return nil, nil, err
	}
	dialer := session.NewDialer(id, wire.PoolOptions{}, &wire.Traffic{})
	c, err := session.New(session.Options{
		Node:     settings.Node{Name: "operator"},
		Role:     wire.RoleOperator,
		Replicas: f.Control,
		Opener:   dialer,
	})
	return c, dialer.Close, err
}

// showEndpoints writes the output of "rosemaryctl show endpoints" to w.
func showEndpoints(ctx context.Context, w io.Writer, f *Files) error {
	client, closeClient, err := f.OperatorClient()
	if err != nil {
		return err
	}
	defer closeClient()
	const statement = "show endpoints"
	result, err := operator.NewSession(client, kernel.SystemClock{}).Execute(ctx, statement)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\n$ rosemaryctl "+statement+"\n"); err != nil {
		return err
	}
	return operator.Write(w, result, false)
}
