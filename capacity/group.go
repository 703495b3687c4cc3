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
	// settleTimeout bounds each wait for a process or session to become ready, which is
	// polled every pollInterval.
	settleTimeout = 30 * time.Second
	pollInterval  = time.Millisecond
)

// group is a running group of control replicas and the sessions of simulated sidecars
// and entries with it.
type group struct {
	dir        string
	deployment *dev.Deployment
	authority  *wire.Authority
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	// loadVaries is set while the load that the sidecars report changes with each
	// heartbeat.
	loadVaries atomic.Bool
	sidecars   []*controlSession
	entries    []*controlSession
}

// controlSession is the client side of one session with control.
type controlSession struct {
	client *session.Client
	dialer *session.Dialer
	// limits holds the shares of account limits of an entry; it is nil for a sidecar.
	limits  *session.Limits
	traffic wire.Traffic
	// relay counts the packets of the session. Only the first sidecar and the first
	// entry have one; it is nil for others.
	relay *relay
	// updates counts the update messages received, changes the configuration changes
	// in them, and changeBytes the encoded size of these changes.
	updates     atomic.Int64
	changes     atomic.Int64
	changeBytes atomic.Int64
	// snapshotBytes is the encoded size of the last complete configuration received.
	snapshotBytes atomic.Int64
}

// startGroup starts control replicas that keep their data below dir and start with the
// configuration doc.
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

// stop ends the sessions and then the replicas.
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

// addSidecars opens sidecar sessions until there are n, and waits until all are up to
// date.
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

// addEntries opens entry sessions until there are n, and waits until all are up to
// date.
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

// announcer returns the function that describes the endpoint of sidecar i for each
// heartbeat.
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

// endpointOf returns endpoint i, which has left slow start and is in one of five
// availability zones.
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

// open opens a session, through a relay if relayed is set.
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

// count counts an update and its configuration.
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

// byteCount is an io.Writer that counts bytes.
type byteCount int64

func (c *byteCount) Write(p []byte) (int, error) {
	*c += byteCount(len(p))
	return len(p), nil
}

// encodedBytes returns the size of a message with its frame, or 0 if the message is too
// large for a frame.
func encodedBytes(m wire.Message) int64 {
	var c byteCount
	if _, err := wire.WriteMessage(&c, m); err != nil {
		return 0
	}
	return int64(c)
}

// awaitRevision waits until every session has a valid permission and at least the
// given revision of the configuration.
func awaitRevision(sessions []*controlSession, revision uint64) error {
	deadline := time.Now().Add(settleTimeout)
	for _, m := range sessions {
		for !m.client.Fresh() || m.client.View().Revision() < revision {
			if time.Now().After(deadline) {
				return errors.New("timed out waiting for sessions to reach the revision")
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// awaitSnapshot waits until snapshotBytes is set, which happens shortly after the
// client has applied the configuration.
func (m *controlSession) awaitSnapshot() error {
	deadline := time.Now().Add(settleTimeout)
	for m.snapshotBytes.Load() == 0 {
		if time.Now().After(deadline) {
			return errors.New("timed out waiting for the size of the configuration")
		}
		time.Sleep(pollInterval)
	}
	return nil
}
