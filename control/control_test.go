package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// patience bounds every wait of the tests; it is far above what they need.
const patience = 30 * time.Second

const bootstrapJSON = `{
  "zones": {"hall": {"name": "hall", "region": "leon-coast", "state": "in"},
            "annex": {"name": "annex", "region": "leon-coast", "state": "in"}},
  "models": {"scribe": {"name": "scribe"}},
  "routes": {"read": {"name": "read", "kind": "model", "target": "scribe"}},
  "accounts": {"parish": {"name": "parish", "limits": {"concurrent": 4}}}
}`

// deployment is one replica of control and the authority of its processes.
type deployment struct {
	t         *testing.T
	ca        *wire.Authority
	dir       string
	addr      string
	bootstrap string
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	ca, err := wire.NewAuthority(dir)
	is.NoErr(err)
	d := &deployment{t: t, ca: ca, dir: dir, bootstrap: filepath.Join(dir, "bootstrap.json")}
	is.NoErr(os.WriteFile(d.bootstrap, []byte(bootstrapJSON), 0o600))
	files, err := ca.Issue(dir, "control-1", wire.RoleControl)
	is.NoErr(err)
	raw := fmt.Sprintf(`{"listen":"127.0.0.1:0","data":%q,"id":1,"replicas":{"1":"127.0.0.1:1"},"bootstrap":%q,"grace":"300ms"}`,
		filepath.Join(dir, "data"), d.bootstrap)
	h := kernel.NewHost(&settings.File{TLS: files}, hclog.NewNullLogger())
	loaded, err := h.Load("control", json.RawMessage(raw))
	is.NoErr(err)
	plugin := loaded.(*control.Plugin)
	d.addr = plugin.Addr()
	d.background(plugin.Run)
	return d
}

// background runs f until the test ends and waits for it then.
func (d *deployment) background(f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f(ctx) })
	d.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (d *deployment) client(name string, role wire.Role, adjust func(*session.Options)) *session.Client {
	d.t.Helper()
	is := is.New(d.t)
	files, err := d.ca.Issue(d.dir, name, role)
	is.NoErr(err)
	id, err := wire.LoadIdentity(files)
	is.NoErr(err)
	pool, err := wire.NewPool(id, wire.PoolOptions{}, &wire.Traffic{})
	is.NoErr(err)
	d.t.Cleanup(pool.Close)
	o := session.Options{
		Node: settings.Node{Name: name, Region: "leon-coast", Zone: "hall"}, Role: role,
		Replicas: []string{d.addr}, Opener: pool, Heartbeat: 50 * time.Millisecond, Lease: 2 * time.Second,
	}
	if adjust != nil {
		adjust(&o)
	}
	c, err := session.New(o)
	is.NoErr(err)
	return c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func zoneOut(expect uint64, zone string) command.Change {
	z := config.Zone{Name: zone, Region: "leon-coast", State: config.Out}
	return command.Change{Expect: expect, Changes: []config.Change{{Zone: &z}}}
}

// endpointList is an entry's copy of the endpoint list.
type endpointList struct {
	mu    sync.Mutex
	known map[string]wire.Endpoint
}

func (l *endpointList) update(u *wire.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.Reset || l.known == nil {
		l.known = map[string]wire.Endpoint{}
	}
	for _, e := range u.Endpoints {
		l.known[e.Name] = e
	}
	for _, name := range u.Gone {
		delete(l.known, name)
	}
}

func (l *endpointList) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.known[name]
	return ok
}

func TestEntryAndSidecarLearnOfEachOtherAndOfAZoneOut(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	list := &endpointList{}
	entry := d.client("entry-1", wire.RoleEntry, func(o *session.Options) { o.OnUpdate = list.update })
	announced := &wire.Endpoint{Name: "worker-1", Zone: "annex", Addr: "127.0.0.1:9", Incarnation: 1, Target: "scribe"}
	sidecar := d.client("sidecar-1", wire.RoleSidecar, func(o *session.Options) {
		o.Endpoint = func() *wire.Endpoint { return announced }
	})
	d.background(entry.Run)
	d.background(sidecar.Run)
	for _, c := range []*session.Client{entry, sidecar} {
		eventually(t, "permitted", func() bool { return c.Fresh() && c.View().Revision() == 1 })
	}
	eventually(t, "endpoint listed", func() bool { return list.has("worker-1") })
	is.Equal(len(entry.View().Load().Accounts), 1)
	is.Equal(len(sidecar.View().Load().Accounts), 0) // sidecars need no accounts

	operator := d.client("operator-1", wire.RoleOperator, nil)
	var changed command.Changed
	is.NoErr(operator.Do(within(t), command.NameChange, "c1", zoneOut(1, "annex"), &changed))
	is.Equal(changed.Revision, uint64(2))
	for _, c := range []*session.Client{entry, sidecar} {
		eventually(t, "zone out in force", func() bool {
			return c.View().Load().EndpointState("worker-1", "annex") == config.Out
		})
	}
	eventually(t, "nobody lags", func() bool {
		var lagging command.Lagging
		is.NoErr(operator.Do(within(t), command.NameInForce, "", command.InForce{Revision: 2}, &lagging))
		return len(lagging.Processes) == 0
	})
}

func TestResendGetsTheFirstAnswerAndTheLoserIsToldTheWinner(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	operator := d.client("operator-1", wire.RoleOperator, nil)
	eventually(t, "bootstrapped", func() bool {
		var view command.View
		is.NoErr(operator.Do(within(t), command.NameView, "", nil, &view))
		return view.Document.Revision == 1
	})
	var first, again command.Changed
	is.NoErr(operator.Do(within(t), command.NameChange, "c1", zoneOut(1, "annex"), &first))
	is.NoErr(operator.Do(within(t), command.NameChange, "c1", zoneOut(1, "annex"), &again))
	is.Equal(first, again)

	rival := d.client("operator-2", wire.RoleOperator, nil)
	refusal := verdict.From(rival.Do(within(t), command.NameChange, "c2", zoneOut(1, "hall"), nil))
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.Equal(refusal.Reason, verdict.ReasonRevisionConflict)
	is.Equal(refusal.Detail, "revision 1 was expected and is now 2: operator-1 changed it first, by command c1")
}

func TestCommandsAreRefusedToTheWrongRole(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	entry := d.client("entry-1", wire.RoleEntry, nil)
	refusal := verdict.From(entry.Do(within(t), command.NameChange, "c1", zoneOut(1, "annex"), nil))
	is.Equal(refusal.Reason, verdict.ReasonUnauthenticated)
	is.Equal(refusal.Verdict, verdict.NotRun)
}

func TestSilentEndpointLeavesTheList(t *testing.T) {
	d := deploy(t)
	list := &endpointList{}
	entry := d.client("entry-1", wire.RoleEntry, func(o *session.Options) { o.OnUpdate = list.update })
	d.background(entry.Run)
	sidecar := d.client("sidecar-1", wire.RoleSidecar, func(o *session.Options) {
		o.Endpoint = func() *wire.Endpoint { return &wire.Endpoint{Name: "worker-1", Incarnation: 1} }
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d.background(func(end context.Context) error {
		defer context.AfterFunc(end, stop)()
		return sidecar.Run(ctx)
	})
	eventually(t, "endpoint listed", func() bool { return list.has("worker-1") })
	stop()
	eventually(t, "endpoint gone", func() bool { return !list.has("worker-1") })
}
