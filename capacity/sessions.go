package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
)

const (
	// settleTime is the wait before a measurement until the messages of new sessions
	// have been exchanged.
	settleTime = time.Second
	// observedEntries is the number of entries while sidecar sessions are measured.
	observedEntries = 4
	// backgroundSidecars is the number of sidecars while entry sessions are measured.
	backgroundSidecars = 25
	// changesPerSize is the number of configuration changes measured at each size.
	changesPerSize = 10
)

// sidecarSessions measures sidecar sessions and, with a few entries, what the list of
// endpoints costs an entry session.
func sidecarSessions(dir string, o Options) ([]*Table, error) {
	sidecars := &Table{
		Name:   "sidecar sessions",
		Method: "3 replicas and 4 entries in this process; processor time and memory are those of both ends and all replicas",
		X:      "sidecars",
		Columns: []string{
			"idle sent B/s", "idle received B/s", "idle received msg/s", "idle cpu %", "loaded sent B/s", "loaded packet B/s", "loaded cpu %", "heap KB", "resident KB",
		},
	}
	entries := &Table{
		Name:    "endpoints at an entry",
		Method:  "bytes and messages of one entry's session with control; every load changes each second",
		X:       "endpoints",
		Columns: []string{"idle received B/s", "loaded received B/s", "loaded received msg/s", "loaded packets/s", "loaded packet B/s"},
	}
	g, err := startGroup(dir, 3, dev.Small(dir).Bootstrap)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	if err := g.addEntries(observedEntries); err != nil {
		return nil, err
	}
	for _, n := range o.Sessions {
		if err := g.sidecarRow(n, o.Window, sidecars, entries); err != nil {
			return nil, err
		}
	}
	return []*Table{sidecars, entries}, nil
}

// sidecarRow adds the measurements with n sidecars, first with constant and then with
// varying load.
func (g *group) sidecarRow(n int, span time.Duration, sidecars, entries *Table) error {
	g.loadVaries.Store(false)
	if err := g.addSidecars(n); err != nil {
		return err
	}
	time.Sleep(settleTime)
	heap := heapBytes()
	resident, err := residentBytes()
	if err != nil {
		return err
	}
	idle, idleEntries, err := g.observeBoth(span)
	if err != nil {
		return err
	}
	g.loadVaries.Store(true)
	time.Sleep(session.DefaultHeartbeat)
	loaded, loadedEntries, err := g.observeBoth(2 * span)
	if err != nil {
		return err
	}
	sidecars.add(float64(n),
		idle.perSession(idle.sent, n), idle.perSession(idle.received, n), idle.perSession(idle.updates, n), idle.cpuPercent(),
		loaded.perSession(loaded.sent, n), loaded.perSession(loaded.packetBytes, 1), loaded.cpuPercent(), heap/1024, resident/1024)
	count := len(g.entries)
	entries.add(float64(n),
		idleEntries.perSession(idleEntries.received, count),
		loadedEntries.perSession(loadedEntries.received, count), loadedEntries.perSession(loadedEntries.updates, count),
		loadedEntries.perSession(loadedEntries.packets, 1), loadedEntries.perSession(loadedEntries.packetBytes, 1))
	return nil
}

// observeBoth observes the sidecars and the entries over the same time span.
func (g *group) observeBoth(span time.Duration) (sidecars, entries window, err error) {
	before, err := totals(g.entries)
	if err != nil {
		return sidecars, entries, err
	}
	if sidecars, err = observe(g.sidecars, span); err != nil {
		return sidecars, entries, err
	}
	after, err := totals(g.entries)
	return sidecars, after.since(before, sidecars.span), err
}

// entrySessions measures entry sessions and the distribution of configuration changes.
func entrySessions(dir string, o Options) ([]*Table, error) {
	sessions := &Table{
		Name:    "entry sessions",
		Method:  "3 replicas and 25 sidecars whose loads change each second, in this process; processor time and memory as above",
		X:       "entries",
		Columns: []string{"sent B/s", "received B/s", "received msg/s", "cpu %", "heap KB", "resident KB"},
	}
	changes := &Table{
		Name:    "changes of the configuration",
		Method:  "10 changes of a client account one after the other, from the operator's call until the last entry and sidecar has it",
		X:       "processes",
		Columns: []string{"B a process", "median ms", "slowest ms"},
	}
	g, err := startGroup(dir, 3, dev.Small(dir).Bootstrap)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	g.loadVaries.Store(true)
	if err := g.addSidecars(backgroundSidecars); err != nil {
		return nil, err
	}
	for _, n := range o.Sessions {
		if err := g.entryRow(n, o.Window, sessions, changes); err != nil {
			return nil, err
		}
	}
	return []*Table{sessions, changes}, nil
}

// entryRow adds the measurements with n entries.
func (g *group) entryRow(n int, span time.Duration, sessions, changes *Table) error {
	if err := g.addEntries(n); err != nil {
		return err
	}
	time.Sleep(settleTime)
	heap := heapBytes()
	resident, err := residentBytes()
	if err != nil {
		return err
	}
	w, err := observe(g.entries, 2*span)
	if err != nil {
		return err
	}
	sessions.add(float64(n),
		w.perSession(w.sent, n), w.perSession(w.received, n), w.perSession(w.updates, n), w.cpuPercent(), heap/1024, resident/1024)
	return g.changeRow(changes)
}

// changeRow adds the measurement of changesPerSize changes to t.
func (g *group) changeRow(t *Table) error {
	all := append(slices.Clone(g.entries), g.sidecars...)
	operator, done, err := g.deployment.Files.OperatorClient()
	if err != nil {
		return err
	}
	defer done()
	bytes := -changeBytes(all)
	var took []time.Duration
	for i := range changesPerSize {
		began := time.Now()
		revision, err := changeLimit(operator, 10+i)
		if err != nil {
			return err
		}
		if err := awaitRevision(all, revision); err != nil {
			return err
		}
		took = append(took, time.Since(began))
	}
	bytes += changeBytes(all)
	slices.Sort(took)
	t.add(float64(len(all)),
		float64(bytes)/float64(changesPerSize*len(all)),
		milliseconds(took[len(took)/2]), milliseconds(took[len(took)-1]))
	return nil
}

// changeBytes returns the encoded size of all configuration changes received so far.
func changeBytes(members []*controlSession) (sum int64) {
	for _, m := range members {
		sum += m.changeBytes.Load()
	}
	return sum
}

// changeLimit sets the limit on concurrent requests of a client account and returns
// the new revision.
func changeLimit(operator *session.Client, concurrent int) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	account := config.Account{
		Name: dev.SmallAccount, KeyHashes: []string{config.HashKey(dev.SmallKey)}, Limits: config.Limits{Concurrent: concurrent},
	}
	change := command.Change{Expect: command.AnyRevision, Changes: []config.Change{{Account: &account}}}
	var changed command.Changed
	err := operator.Do(ctx, command.NameChange, session.NewID(), change, &changed)
	return changed.Revision, err
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
