// Command rosemary-dev runs a whole deployment with stand-ins in one process.
package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
)

func main() {
	cli.Execute(dev.Command())
}
