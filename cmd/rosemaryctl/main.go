// Command rosemaryctl is the command line for operators. It shows and changes the state of a
// deployment and creates keys and the settings of example deployments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	root := newRoot()
	err := root.ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	asJSON, _ := root.PersistentFlags().GetBool("json")
	report(os.Stderr, err, asJSON)
	os.Exit(exitCode(err))
}
