// Command rosemary-sidecar runs the sidecar of one endpoint, on the endpoint's VM.
package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	_ "github.com/rosemaryproxy/rosemaryproxy/sidecar"
)

func main() {
	cli.Execute(cli.Daemon("rosemary-sidecar", "Serve one endpoint from the slot on its VM"))
}
