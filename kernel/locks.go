package kernel

// LockOrder is the order in which the shared tables of a process are locked.
// A goroutine that holds one of them may take only later ones. No lock is held
// across I/O.
var LockOrder = []string{
	"control.table",
	"control.store",
	"control.relay",
	"session.Client",
	"session.Limits",
	"session.Dialer",
	"config.View",
	"entry.table",
	"gateway.fleet",
	"gateway.retries",
	"gateway.bookings",
	"gateway.placer",
	"entry.suspects",
	"entry.watch",
	"sidecar.orders",
	"sidecar.gate",
	"stream.Budget",
	"wire.Pool",
}
