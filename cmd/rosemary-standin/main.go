// Command rosemary-standin runs stand-ins of engines, application workers and the
// weight store, for tests on one machine.
package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	_ "github.com/rosemaryproxy/rosemaryproxy/standin"
)

func main() {
	cli.Execute(cli.Daemon("rosemary-standin", "Serve stand-ins of engines, application workers and the weight store"))
}
