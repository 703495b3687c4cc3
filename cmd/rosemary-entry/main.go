// Command rosemary-entry runs an entry, which accepts the requests of callers, on a VM
// of its own.
package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	_ "github.com/rosemaryproxy/rosemaryproxy/entry"
	_ "github.com/rosemaryproxy/rosemaryproxy/platform"
)

func main() {
	cli.Execute(cli.Daemon("rosemary-entry", "Serve callers on an entry VM"))
}
