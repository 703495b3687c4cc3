package control

import "github.com/rosemaryproxy/rosemaryproxy/control/command"

// UsageState is the state of the usage windows.
type UsageState struct {
	// OldestOpen is the oldest window that was never closed, or zero if none was closed yet.
	OldestOpen uint64
	// Open are the windows that have counts and are not closed.
	Open []uint64
	// Closed are the windows that are closed and not yet marked as reported.
	Closed []command.ClosedWindow
}
