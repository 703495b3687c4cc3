package main

// Importing a plug-in registers it, so that the settings reference lists its settings.
import (
	_ "github.com/rosemaryproxy/rosemaryproxy/control"
	_ "github.com/rosemaryproxy/rosemaryproxy/entry"
	_ "github.com/rosemaryproxy/rosemaryproxy/platform"
	_ "github.com/rosemaryproxy/rosemaryproxy/sidecar"
	_ "github.com/rosemaryproxy/rosemaryproxy/standin"
)
