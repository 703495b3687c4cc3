package capacity

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/dev"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

const (
	// settleTimeout bounds each wait for processes to be up to date.
	settleTimeout = 30 * time.Second
	pollInterval  = time.Millisecond
)

// group is a running group of control replicas and the sessions with it.
type group struct {
	dir        string
	deployment *dev.Deployment
	authority  *wire.Authority
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	// loadVaries is set while the sidecars' load changes at each heartbeat.
	loadVaries atomic.Bool
	sidecars   []*controlSession
	entries    []*controlSession
}

// controlSession is the client end of one session.
type controlSession struct {
	client  *session.Client
	dialer  *session.Dialer
	limits  *session.Limits
	traffic wire.Traffic
	// relay counts the packets of the first sidecar and the first entry; it is nil
	// for others.
	relay *relay
	// updates and changes count the messages received, and those with changes of
	// the configuration; changeBytes is the size of the latter.
	updates     atomic.Int64
	changes     atomic.Int64
	changeBytes atomic.Int64
	// snapshotBytes is the size of the whole configuration as received.
	snapshotBytes atomic.Int64
}

// startGroup starts control replicas with data below dir and the configuration doc.
func startGroup(dir string, replicas int, doc *config.Document) (*group, error) {
	plan := &dev.Plan{
		Dir: dir, Region: "leon-coast", Zones: dev.SmallZones, Replicas: replicas,
		Bootstrap: doc, LogLevel: "error",
	}
	d, err := dev.Start(plan, hclog.NewNullLogger())
	if err != nil {
		return nil, err
	}
	authority, err := wire.OpenAuthority(filepath.Join(dir, "keys"))
	if err != nil {
		d.Stop()
		return nil, err
	}
	g := &group{dir: dir, deployment: d, authority: authority}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g, nil
}

// stop ends the sessions, then the replicas.
func (g *group) stop() {
	g.cancel()
	g.running.Wait()
	for _, m := range append(g.entries, g.sidecars...) {
		m.dialer.Close()
		if m.relay != nil {
			m.relay.stop()
		}
	}
	g.deployment.Stop()
}

// addSidecars opens sessions until there are n of sidecars.
func (g *group) addSidecars(n int) error {
	for i := len(g.sidecars); i < n; i++ {
		m, err := g.open(fmt.Sprint("worker-", i), wire.RoleSidecar, i == 0, g.announcer(i))
		if err != nil {
			return err
		}
		g.sidecars = append(g.sidecars, m)
	}
	return awaitRevision(g.sidecars, 1)
}

// addEntries opens sessions until there are n of entries.
func (g *group) addEntries(n int) error {
	for i := len(g.entries); i < n; i++ {
		m, err := g.open(fmt.Sprint("entry-", i), wire.RoleEntry, i == 0, nil)
		if err != nil {
			return err
		}
		g.entries = append(g.entries, m)
	}
	return awaitRevision(g.entries, 1)
}

// announcer returns what sidecar i announces.
func (g *group) announcer(i int) func() *wire.Endpoint {
	var heartbeats atomic.Int64
	return func() *wire.Endpoint {
		if g.loadVaries.Load() {
			heartbeats.Add(1)
		}
		e := endpointOf(i)
		e.Load.FreeTokens -= heartbeats.Load()
		return &e
	}
}

// endpointOf returns a warm endpoint in one of five availability zones.
func endpointOf(i int) wire.Endpoint {
	return wire.Endpoint{
		Name: fmt.Sprint("worker-", i), Region: "leon-coast", Zone: fmt.Sprint("zone-", i%5),
		Addr: "10.0.0.1:7000", Incarnation: 1, Target: dev.SmallModel, Version: "v1",
		Load: wire.Load{
			FreeTokens: 1_000_000, CapacityTokens: 1_200_000, PrefillRate: 8123.5, DecodeRate: 512.25,
			RampTokens: -1, Running: 12,
		},
	}
}

// open opens a session, through a relay when relayed.
func (g *group) open(name string, role wire.Role, relayed bool, announce func() *wire.Endpoint) (*controlSession, error) {
	files, err := g.authority.Issue(filepath.Join(g.dir, "keys"), name, role)
	if err != nil {
		return nil, err
	}
	id, err := wire.LoadIdentity(files)
	if err != nil {
		return nil, err
	}
	m := &controlSession{}
	replicas := g.deployment.Files.Control
	if relayed {
		if m.relay, err = startRelay(replicas[0]); err != nil {
			return nil, err
		}
		replicas = []string{m.relay.addr}
	}
	m.dialer = session.NewDialer(id, wire.PoolOptions{}, &m.traffic)
	if role == wire.RoleEntry {
		m.limits = session.NewLimits()
	}
	m.client, err = session.New(session.Options{
		Node: settings.Node{Name: name, Region: "leon-coast", Zone: dev.SmallZones[0]}, Role: role,
		Replicas: replicas, Opener: m.dialer, Endpoint: announce, Limits: m.limits, OnUpdate: m.count,
	})
	if err != nil {
		return nil, err
	}
	g.running.Go(func() { _ = m.client.Run(g.ctx) })
	return m, nil
}

// count counts an update and what it carries.
func (m *controlSession) count(u *wire.Update) {
	m.updates.Add(1)
	if u.Snapshot != nil {
		m.snapshotBytes.Store(encodedBytes(&wire.Update{Snapshot: u.Snapshot}))
	}
	if len(u.Changes) > 0 {
		m.changes.Add(int64(len(u.Changes)))
		m.changeBytes.Add(encodedBytes(&wire.Update{Changes: u.Changes}))
	}
}

// byteCount counts what is written.
type byteCount int64

func (c *byteCount) Write(p []byte) (int, error) {
	*c += byteCount(len(p))
	return len(p), nil
}

// encodedBytes is the size of a message in its frame; 0 when it is too large for one.
func encodedBytes(m wire.Message) int64 {
	var c byteCount
	if _, err := wire.WriteMessage(&c, m); err != nil {
		return 0
	}
	return int64(c)
}

// awaitRevision waits until every member is permitted to work at revision or later.
func awaitRevision(sessions []*controlSession, revision uint64) error {
	deadline := time.Now().Add(settleTimeout)
	for _, m := range sessions {
		for !m.client.Fresh() || m.client.View().Revision() < revision {
			if time.Now().After(deadline) {
				return errors.New("the sessions did not come up to date")
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// awaitSnapshot waits until the size of the whole configuration is known, which is
// a moment after the member has it.
func (m *controlSession) awaitSnapshot() error {
	deadline := time.Now().Add(settleTimeout)
	for m.snapshotBytes.Load() == 0 {
		if time.Now().After(deadline) {
			return errors.New("no configuration was received")
		}
		time.Sleep(pollInterval)
	}
	return nil
}
