package kernel

// LockOrder is the order in which the shared tables of a process are locked.
// A goroutine that holds one of them may take only later ones. No lock is held
// across I/O.
var LockOrder = []string{
	"config.View",
	"entry.admission",
	"entry.accounts",
	"entry.table",
	"quarantine.List",
	"sidecar.gate",
	"stream.Budget",
	"wire.Pool",
}
