package capacity

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
	"github.com/rosemaryproxy/rosemaryproxy/quota"
)

const (
	// configuredAccounts is the number of client accounts in the configuration when the
	// cost of active accounts is measured.
	configuredAccounts = 800
	// requestInterval is the time between two requests of an active account, half the
	// heartbeat interval, so that there are requests between any two heartbeats.
	requestInterval = 500 * time.Millisecond
)

// documentWithAccounts returns a configuration with n client accounts with limits.
func documentWithAccounts(dir string, n int) *config.Document {
	doc := dev.Small(dir).Bootstrap
	for i := range n {
		name := fmt.Sprintf("parish-%04d", i)
		doc.Accounts[name] = config.Account{
			Name: name, KeyHashes: []string{config.HashKey(name)},
			Limits: config.Limits{RequestsPerSecond: 50, TokensPerSecond: 100_000, Concurrent: 20, HeldBytes: 64 << 20},
		}
	}
	return doc
}

// configuredAccountsTable measures what configured client accounts cost an entry at its
// start.
func configuredAccountsTable(dir string, o Options) ([]*Table, error) {
	t := &Table{
		Name:    "client accounts configured",
		Method:  "1 replica, 1 entry: the whole configuration as the entry receives it once, time until in force, heap of one copy",
		X:       "accounts",
		Columns: []string{"snapshot B", "start ms", "heap KB"},
	}
	for _, n := range o.Accounts {
		if err := configuredRow(filepath.Join(dir, fmt.Sprint(n)), n, t); err != nil {
			return nil, err
		}
	}
	return []*Table{t}, nil
}

// configuredRow adds the measurement with n configured client accounts to t.
func configuredRow(dir string, n int, t *Table) error {
	before := heapBytes()
	doc := documentWithAccounts(dir, n)
	heap := heapBytes() - before
	g, err := startGroup(dir, 1, doc)
	if err != nil {
		return err
	}
	defer g.stop()
	// The first entry also waits until the replica has become the leader. Only the start
	// of the second one is measured.
	if err := g.addEntries(1); err != nil {
		return err
	}
	began := time.Now()
	if err := g.addEntries(2); err != nil {
		return err
	}
	took := time.Since(began)
	if err := g.entries[1].awaitSnapshot(); err != nil {
		return err
	}
	runtime.KeepAlive(doc)
	t.add(float64(n), float64(g.entries[1].snapshotBytes.Load()), milliseconds(took), heap/1024)
	return nil
}

// activeAccounts measures what client accounts that use an entry cost it: the traffic
// and the processor time for its shares of their limits.
func activeAccounts(dir string, o Options) ([]*Table, error) {
	t := &Table{
		Name:    "client accounts active at an entry",
		Method:  "1 replica, 1 entry with requests of so many accounts; processor time of both ends",
		X:       "accounts",
		Columns: []string{"sent B/s", "received B/s", "packet B/s", "cpu %"},
	}
	g, err := startGroup(dir, 1, documentWithAccounts(dir, configuredAccounts))
	if err != nil {
		return nil, err
	}
	defer g.stop()
	if err := g.addEntries(1); err != nil {
		return nil, err
	}
	for _, n := range o.ActiveAccounts {
		w, err := g.observeUnderRequests(n, o.Window)
		if err != nil {
			return nil, err
		}
		t.add(float64(n), w.perSession(w.sent, 1), w.perSession(w.received, 1), w.perSession(w.packetBytes, 1), w.cpuPercent())
	}
	return []*Table{t}, nil
}

// observeUnderRequests observes the entry while n client accounts send requests.
func (g *group) observeUnderRequests(n int, span time.Duration) (window, error) {
	stop := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() { g.admitRequests(n, stop) })
	defer requests.Wait()
	defer close(stop)
	time.Sleep(settleTime)
	return observe(g.entries, 2*span)
}

// admitRequests passes requests of n client accounts through the entry's limits
// until stop is closed.
func (g *group) admitRequests(n int, stop <-chan struct{}) {
	entry := g.entries[0]
	cost := quota.Cost{Tokens: 1000, HeldBytes: 4096}
	for {
		doc := entry.client.View().Load()
		for i := range n {
			account, ok := doc.Accounts[fmt.Sprintf("parish-%04d", i)]
			if ok && entry.limits.Take(time.Now(), &account, cost) == nil {
				entry.limits.Release(time.Now(), account.Name, cost, cost)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
		}
	}
}
