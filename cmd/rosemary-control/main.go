// Command rosemary-control runs a control process, which holds a replica of the state
// on a VM with a disk.
package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	_ "github.com/rosemaryproxy/rosemaryproxy/control"
	_ "github.com/rosemaryproxy/rosemaryproxy/platform"
)

func main() {
	cli.Execute(cli.Daemon("rosemary-control", "Hold the replicated state on a VM with a disk"))
}
