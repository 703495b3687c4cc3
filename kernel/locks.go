package kernel

// LockOrder lists the mutexes of the shared tables of a process in the order in which they
// are locked. A goroutine that holds one of them may lock only those that come later. No
// lock is held during I/O.
var LockOrder = []string{
	"control.table",
	"control.store",
	"control.demand",
	"control.relay",
	"control.DutyHolder",
	"session.Client",
	"session.Limits",
	"session.Dialer",
	"config.View",
	"entry.table",
	"gateway.fleet",
	"gateway.retries",
	"gateway.bookings",
	"gateway.load",
	"gateway.placer",
	"gateway.placing",
	"gateway.usage",
	"session.Suspects",
	"entry.watch",
	"sidecar.orders",
	"sidecar.gate",
	"stream.Budget",
	"wire.Pool",
	"drain.Connections",
}
