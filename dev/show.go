package dev

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// OperatorClient returns a client with which an operator's commands are sent, and a
// function that closes it.
func (f *Files) OperatorClient() (*session.Client, func(), error) {
	id, err := wire.LoadIdentity(f.Operator)
	if err != nil {
		return nil, nil, err
	}
	pool, err := wire.NewPool(id, wire.PoolOptions{}, &wire.Traffic{})
	if err != nil {
		return nil, nil, err
	}
	c, err := session.New(session.Options{
		Node:     settings.Node{Name: "operator"},
		Role:     wire.RoleOperator,
		Replicas: f.Control,
		Opener:   pool,
	})
	return c, pool.Close, err
}

// showWhatRuns writes what "rosemaryctl show endpoints" shows.
func showWhatRuns(ctx context.Context, w io.Writer, f *Files) error {
	client, done, err := f.OperatorClient()
	if err != nil {
		return err
	}
	defer done()
	var view command.View
	if err := client.Do(ctx, command.NameView, session.NewID(), nil, &view); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nENDPOINT\tZONE\tTARGET\tADDRESS\tFREE TOKENS")
	for _, e := range view.Endpoints {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", e.Name, e.Zone, e.Target, e.Addr, e.Load.FreeTokens)
	}
	return t.Flush()
}
