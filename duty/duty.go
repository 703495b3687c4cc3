// Package duty decides when the holder of a duty acts. A duty is work towards an outside platform that
// one VM of a deployment at a time carries out, under a lease with a fencing number.
//
// Core is a step function: it is given events and the time and returns effects, which its caller carries
// out. It does no I/O, reads no clock and starts no goroutine; the caller serialises the calls.
package duty

import (
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/autoscale"
)

// Usage is the duty to report the usage of client accounts, and Scaling the duty to order the number of
// endpoints.
const (
	Usage   = "usage"
	Scaling = "scaling"
)

// Settings configure a Core.
type Settings struct {
	// Duties are the duties of the deployment.
	Duties []string
	// Lease is the duration of a grant.
	Lease time.Duration
	// ThawSlack is what must be left of a grant when a call begins.
	ThawSlack time.Duration
	// Window is the length of a usage window, and ReportWithin the time after its end within which it
	// is to be reported.
	Window, ReportWithin time.Duration
	// PerSecond is the number of calls a second that the platform takes from all VMs together.
	PerSecond float64
}

// Event is something that a Core is told.
type Event interface{ event() }

// Tick passes time.
type Tick struct {
	// Leader is set if this process leads control.
	Leader bool
	// Wall is the true time, from which windows are counted.
	Wall time.Time
	// Orders are the numbers of endpoints that are wanted now. They are used only while this process
	// holds the duty Scaling.
	Orders []autoscale.ScaleOrder
}

// Acquired is the answer to Acquire.
type Acquired struct {
	Duty string
	// Sent is the time of the step that returned the Acquire.
	Sent time.Time
	// Failed is set if there was no answer; the other fields are then without meaning.
	Failed  bool
	Granted bool
	Number  uint64
	// Left is how long the grant, also of another holder, is valid.
	Left time.Duration
}

// WindowsRead is the answer to Read.
type WindowsRead struct {
	Number uint64
	Failed bool
	// OldestOpen is the oldest window that was never closed, or zero if none was closed yet.
	OldestOpen uint64
	// Open are the windows that have counts and are not closed.
	Open []uint64
	// Closed are the counts of windows that are closed and not yet marked as reported.
	Closed map[uint64]map[string]uint64
}

// WindowClosed is the answer to Close.
type WindowClosed struct {
	Number, Window uint64
	Failed         bool
	Counts         map[string]uint64
}

// Marked is the answer to Mark.
type Marked struct {
	Number, Window uint64
	Failed         bool
}

// Responded is the end of a Call.
type Responded struct {
	ID uint64
	// Status is the HTTP status of the response, or zero without one.
	Status int
	// NotSent is set if no byte of the request was written, because the lease had too little left.
	NotSent bool
}

func (Tick) event()         {}
func (Acquired) event()     {}
func (WindowsRead) event()  {}
func (WindowClosed) event() {}
func (Marked) event()       {}
func (Responded) event()    {}

// Effect is something that the caller of a Core has to do.
type Effect interface{ effect() }

// Acquire asks control for a duty. It is answered with Acquired.
type Acquire struct {
	Duty string
	Sent time.Time
}

// Read asks control for the state of the windows. It is answered with WindowsRead.
type Read struct{ Number uint64 }

// Close asks control to fix the counts of a window. It is answered with WindowClosed.
type Close struct{ Number, Window uint64 }

// Mark tells control that a window needs no further report. It is answered with Marked.
type Mark struct{ Number, Window uint64 }

// Call calls the platform: with a window and its counts for Usage, with an order for Scaling. It is
// answered with Responded. The caller asks Core.MayCall immediately before it writes the request.
type Call struct {
	ID     uint64
	Duty   string
	Number uint64
	Window uint64
	Counts map[string]uint64
	Order  autoscale.ScaleOrder
}

// Held tells that this process holds a duty from now on.
type Held struct {
	Duty   string
	Number uint64
}

// Lost tells that this process no longer holds a duty.
type Lost struct {
	Duty   string
	Number uint64
	Reason string
}

func (Acquire) effect() {}
func (Read) effect()    {}
func (Close) effect()   {}
func (Mark) effect()    {}
func (Call) effect()    {}
func (Held) effect()    {}
func (Lost) effect()    {}
