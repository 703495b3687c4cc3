// Command rosemary-dev runs a complete deployment with stand-ins in one process, for
// development.
package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
)

func main() {
	cli.Execute(dev.Command())
}
