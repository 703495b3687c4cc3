package main

// The plug-ins register themselves, so that the settings reference lists them.
import (
	_ "github.com/rosemaryproxy/rosemaryproxy/control"
	_ "github.com/rosemaryproxy/rosemaryproxy/entry"
	_ "github.com/rosemaryproxy/rosemaryproxy/platform"
	_ "github.com/rosemaryproxy/rosemaryproxy/sidecar"
	_ "github.com/rosemaryproxy/rosemaryproxy/standin"
)
