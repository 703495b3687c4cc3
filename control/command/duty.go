package command

import "time"

// Names of the commands about duties, which one VM of a deployment at a time carries out towards an
// outside system, and about the usage that this VM reports. All of them are idempotent in themselves and
// are sent without an identifier, so that their answers are not stored.
const (
	// NameDuty acquires or renews the right to a duty. Its body is an AcquireDuty and its answer a
	// DutyGrant.
	NameDuty = "duty"
	// NameUsage records how many requests endpoints began to run. Its body is a Usage and its answer a
	// UsageRecorded.
	NameUsage = "usage"
	// NameCloseWindow fixes the counts of a usage window. Its body is a CloseWindow and its answer a
	// ClosedWindow.
	NameCloseWindow = "close_window"
	// NameReportedWindow drops the counts of a window that was reported. Its body is a ReportedWindow.
	NameReportedWindow = "reported_window"
	// NameLoad tells the leader how busy endpoints are. Its body is a LoadReport. It is not replicated.
	NameLoad = "load"
)

// DutyUsage is the duty to report usage, and DutyScaling the duty to order the number of endpoints.
const (
	DutyUsage   = "usage"
	DutyScaling = "scaling"
)

// AcquireDuty asks for the right to a duty for the time TTL. A holder that asks again renews its right.
type AcquireDuty struct {
	Duty   string        `cbor:"1,keyasint"`
	Holder string        `cbor:"2,keyasint"`
	TTL    time.Duration `cbor:"3,keyasint"`
}

// DutyGrant is the state of the right to a duty.
type DutyGrant struct {
	// Granted is set if the sender of AcquireDuty holds the duty.
	Granted bool   `cbor:"1,keyasint"`
	Holder  string `cbor:"2,keyasint"`
	// Number is the fencing number of the grant. It increases whenever the holder changes.
	Number uint64        `cbor:"3,keyasint"`
	Left   time.Duration `cbor:"4,keyasint"`
}

// WindowCounts are the requests of client accounts that endpoints began to run in a usage window,
// counted by one source since its start.
type WindowCounts struct {
	Window uint64            `cbor:"1,keyasint"`
	Counts map[string]uint64 `cbor:"2,keyasint"`
}

// Usage reports the counts of one start of an entry.
type Usage struct {
	// Source identifies the entry and its start.
	Source  string         `cbor:"1,keyasint"`
	Windows []WindowCounts `cbor:"2,keyasint"`
}

// UsageRecorded is the answer to Usage. Counts of windows before OldestOpen were dropped.
type UsageRecorded struct {
	OldestOpen uint64 `cbor:"1,keyasint"`
}

// CloseWindow fixes the counts of a window. Number is that of the sender's grant of DutyUsage.
type CloseWindow struct {
	Number uint64 `cbor:"1,keyasint"`
	Window uint64 `cbor:"2,keyasint"`
}

// ClosedWindow holds the counts of a window, which never change again.
type ClosedWindow struct {
	Window uint64            `cbor:"1,keyasint"`
	Counts map[string]uint64 `cbor:"2,keyasint"`
}

// UsageState lists the usage windows that are not reported yet.
type UsageState struct {
	// OldestOpen is the oldest window that may still get counts.
	OldestOpen uint64
	// Open are the open windows that have counts, oldest first.
	Open []uint64
	// Closed are the closed windows, oldest first.
	Closed []ClosedWindow
}

// ReportedWindow says that the platform has accepted the counts of a window, or never will. Number is
// that of the sender's grant of DutyUsage.
type ReportedWindow struct {
	Number uint64 `cbor:"1,keyasint"`
	Window uint64 `cbor:"2,keyasint"`
}

// LoadReport tells how busy endpoints are with the requests of one entry.
type LoadReport struct {
	Source string        `cbor:"1,keyasint"`
	Loads  []ServiceLoad `cbor:"2,keyasint"`
}

// ServiceLoad is the load of one service in one availability zone in the last second.
type ServiceLoad struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	// Busy is the mean number of slots in use, and Waiting the mean number of requests that waited for
	// one. Refused counts the requests that were refused for lack of capacity.
	Busy    float64 `cbor:"3,keyasint"`
	Waiting float64 `cbor:"4,keyasint"`
	Refused float64 `cbor:"5,keyasint"`
}
