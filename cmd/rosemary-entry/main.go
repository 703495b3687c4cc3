// Command rosemary-entry serves callers on an entry VM.
package main

import (
	"github.com/rosemaryproxy/rosemaryproxy/cli"
	_ "github.com/rosemaryproxy/rosemaryproxy/entry"
	_ "github.com/rosemaryproxy/rosemaryproxy/platform"
)

func main() {
	cli.Execute(cli.Daemon("rosemary-entry", "Serve callers on an entry VM"))
}
