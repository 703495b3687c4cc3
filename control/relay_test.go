package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/kernel"
	"github.com/rosemaryproxy/rosemaryproxy/settings"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// selfManaged is longGrace for a group that manages its own membership.
const selfManaged = longGrace + `,"steward":true`

// host returns a host for the plug-in of a control process.
func (d *deployment) host(name string) *kernel.Host {
	d.t.Helper()
	files, err := d.ca.Issue(d.dir, name, wire.RoleControl)
	is.New(d.t).NoErr(err)
	return kernel.NewHost(&settings.File{TLS: files}, hclog.NewNullLogger())
}

// relay starts a relay, which runs until the test ends.
func (d *deployment) relay(name, listen string, seeds ...string) *control.Relay {
	d.t.Helper()
	r := &control.Relay{Listen: settings.Addr(listen)}
	for _, s := range seeds {
		r.Seeds = append(r.Seeds, settings.Addr(s))
	}
	is.New(d.t).NoErr(r.Provision(d.host(name)))
	d.background(r.Run)
	return r
}

// replicaInfo returns the replica info of the control process at addr, or an empty one if the
// process does not answer.
func (d *deployment) replicaInfo(addr string) command.ReplicaInfo {
	var s command.ReplicaInfo
	dialer := d.dialer("asking", wire.RoleOperator, &wire.Traffic{})
	answer, err := session.Exchange(timeoutContext(d.t), dialer, addr, &wire.Command{Name: command.NameReplicaInfo})
	if err == nil && answer.Refused == nil {
		is.New(d.t).NoErr(wire.Unmarshal(answer.Body, &s))
	}
	return s
}

// TestFoundersExcludeRelays has one VM without a disk among three seeds. The founders must be the
// two others, no matter which of them asks first.
func TestFoundersExcludeRelays(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 0, selfManaged)
	seeds := []settings.Addr{settings.Addr(freeAddr(t)), settings.Addr(freeAddr(t)), settings.Addr(freeAddr(t))}
	type result struct {
		founders []settings.Addr
		err      error
	}
	answers := make(chan result, 2)
	ask := func(name string, self settings.Addr) {
		founders, err := control.Founders(context.Background(), d.host(name), self, seeds)
		answers <- result{founders, err}
	}
	go ask("first", seeds[2])
	d.relay("relay", string(seeds[1]), settings.Addrs(seeds)...)
	first := make(chan struct{})
	go func() {
		defer close(first)
		ask("second", seeds[0])
	}()
	want := []settings.Addr{seeds[0], seeds[2]}
	slices.Sort(want)
	// The first caller to return stops listening. The other one may have to wait until the
	// first one's replica listens, which this test does not start.
	answer := <-answers
	is.NoErr(answer.err)
	is.Equal(answer.founders, want)
}

// TestRelaysLeadToTheReplicas starts an operator, an entry and a joining replica that know only a
// relay, as happens if all their seeds are on VMs without a disk. All must find the group.
func TestRelaysLeadToTheReplicas(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, selfManaged)
	innerRelay := freeAddr(t)
	outerRelay := freeAddr(t)
	d.relay("inner", innerRelay, d.addrs...)
	d.relay("outer", outerRelay, innerRelay)
	relays := func(o *session.Options) { o.Replicas = []string{outerRelay} }

	operator := d.client("operator", wire.RoleOperator, relays)
	eventually(t, "the operator reaches the leader", func() bool { return len(members(t, operator)) == 3 })
	entry := d.client("entry", wire.RoleEntry, relays)
	d.background(entry.Run)
	eventually(t, "the entry has a permission", entry.Fresh)

	joining := freeAddr(t)
	seeds, err := json.Marshal([]string{outerRelay})
	is.NoErr(err)
	settings, err := json.Marshal(map[string]any{
		"listen": joining, "data": filepath.Join(d.dir, "data", "joining"), "steward": true, "seeds": json.RawMessage(seeds),
		"lease": "2s", "grace": "60s", "tick": "10ms",
	})
	is.NoErr(err)
	d.run("joining", string(settings))
	eventually(t, "the replica holds the log", func() bool {
		var view command.View
		if err := operator.Do(timeoutContext(t), command.NameView, session.NewID(), nil, &view); err != nil {
			return false
		}
		return slices.ContainsFunc(view.Replicas, func(r command.ReplicaStatus) bool {
			return r.Addr == joining && r.Match > 0 && r.Match >= view.Replicas[0].Match
		})
	})
}

// TestRestartedRelaysAreFoundByTheReplicas has an entry whose only seed is a restarted relay that
// knows no replica. The replicas announce themselves to the relay near, which is their seed. The
// relay far, which is the entry's seed, must learn the members from near.
func TestRestartedRelaysAreFoundByTheReplicas(t *testing.T) {
	is := is.New(t)
	near, far := freeAddr(t), freeAddr(t)
	d := deploy(t, 3, selfManaged+fmt.Sprintf(`,"seeds":[%q]`, near))
	d.relay("near", near)
	d.relay("far", far, near)
	entry := d.client("entry", wire.RoleEntry, func(o *session.Options) { o.Replicas = []string{far} })
	d.background(entry.Run)
	eventually(t, "the entry has a permission", entry.Fresh)
	// The relay near knows the members from the replicas' announcements.
	is.Equal(len(d.replicaInfo(near).Addrs), 3)
}

// TestRelayGoesOnToAnotherReplica stops the replica that a relay uses. The relay must find another
// replica and redirect operators to it.
func TestRelayGoesOnToAnotherReplica(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, selfManaged)
	r := d.relay("relay", freeAddr(t), d.addrs[0])
	eventually(t, "the relay knows all replicas", func() bool { return len(d.replicaInfo(string(r.Listen)).Addrs) == 3 })
	is.Equal(r.Replica(), d.addrs[0])
	d.stop(0)
	eventually(t, "another replica is found", func() bool { return r.Replica() != "" && r.Replica() != d.addrs[0] })
	operator := d.client("operator", wire.RoleOperator, func(o *session.Options) { o.Replicas = []string{string(r.Listen)} })
	var view command.View
	eventually(t, "the operator reaches the leader", func() bool {
		return operator.Do(timeoutContext(t), command.NameView, session.NewID(), nil, &view) == nil
	})
}
