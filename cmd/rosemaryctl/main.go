// Command rosemaryctl is the operators' command line: it asks what is running
// where, gives orders, and makes keys and example settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := newRoot().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "rosemaryctl: %v\n", err)
	os.Exit(exitCode(err))
}
