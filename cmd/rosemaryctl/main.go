// Command rosemaryctl is the operators' command line: it asks what is running
// where, gives orders, and makes keys and example settings.
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
