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

// selfManaged are the time spans of a group that keeps its own membership.
const selfManaged = longGrace + `,"steward":true`

// host returns what a process of control is provisioned with.
func (d *deployment) host(name string) *kernel.Host {
	d.t.Helper()
	files, err := d.ca.Issue(d.dir, name, wire.RoleControl)
	is.New(d.t).NoErr(err)
	return kernel.NewHost(&settings.File{TLS: files}, hclog.NewNullLogger())
}

// relay runs a relay until the test ends and returns it.
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

// standing asks the process of control at addr where it stands.
func (d *deployment) standing(addr string) command.ReplicaInfo {
	var s command.ReplicaInfo
	dialer := d.dialer("asking", wire.RoleOperator, &wire.Traffic{})
	answer, err := session.Exchange(timeoutContext(d.t), dialer, addr, &wire.Command{Name: command.NameReplicaInfo})
	if err == nil && answer.Refused == nil {
		is.New(d.t).NoErr(wire.Unmarshal(answer.Body, &s))
	}
	return s
}

// TestFoundersExcludeRelays has one VM without a disk among three seeds. The two others
// found the group between them, whoever asks first.
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
	// Whoever is told first stops listening until its replica does, so the other may
	// have to wait for that replica.
	answer := <-answers
	is.NoErr(answer.err)
	is.Equal(answer.founders, want)
}

// TestRelaysLeadToTheReplicas knows only relays, as a process may whose seeds are all on
// VMs without a disk: an operator, a session and a replica that joins find the group.
func TestRelaysLeadToTheReplicas(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, selfManaged)
	innerRelay := freeAddr(t)
	outerRelay := freeAddr(t)
	d.relay("behind", innerRelay, d.addrs...)
	d.relay("front", outerRelay, innerRelay)
	relays := func(o *session.Options) { o.Replicas = []string{outerRelay} }

	operator := d.client("operator", wire.RoleOperator, relays)
	eventually(t, "the operator reaches the leader", func() bool { return len(members(t, operator)) == 3 })
	entry := d.client("entry", wire.RoleEntry, relays)
	d.background(entry.Run)
	eventually(t, "the entry may work", entry.Fresh)

	joining := freeAddr(t)
	seeds, err := json.Marshal([]string{outerRelay})
	is.NoErr(err)
	settings, err := json.Marshal(map[string]any{
		"listen": joining, "data": filepath.Join(d.dir, "data", "joining"), "steward": true, "seeds": json.RawMessage(seeds),
		"lease": "2s", "grace": "60s", "tick": "10ms",
	})
	is.NoErr(err)
	d.run("joining", string(settings))
	eventually(t, "the replica votes", func() bool { return members(t, operator)[joining] != 0 })
}

// TestRestartedRelaysAreFoundByTheReplicas has processes whose seeds are all relays that
// were restarted and know nothing: the replicas tell their own seeds, and relays that
// ask one another pass it on.
func TestRestartedRelaysAreFoundByTheReplicas(t *testing.T) {
	is := is.New(t)
	near, far := freeAddr(t), freeAddr(t)
	d := deploy(t, 3, selfManaged+fmt.Sprintf(`,"seeds":[%q]`, near))
	d.relay("near", near)
	d.relay("far", far, near)
	entry := d.client("entry", wire.RoleEntry, func(o *session.Options) { o.Replicas = []string{far} })
	d.background(entry.Run)
	eventually(t, "the entry may work", entry.Fresh)
	// The relay that nobody told learns of the other from its question.
	is.Equal(len(d.standing(near).Addrs), 3)
}

// TestRelayGoesOnToAnotherReplica stops the replica that a relay uses.
func TestRelayGoesOnToAnotherReplica(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, selfManaged)
	r := d.relay("relay", freeAddr(t), d.addrs[0])
	eventually(t, "the relay knows all replicas", func() bool { return len(d.standing(string(r.Listen)).Addrs) == 3 })
	is.Equal(r.Replica(), d.addrs[0])
	d.stop(0)
	eventually(t, "another replica is found", func() bool { return r.Replica() != "" && r.Replica() != d.addrs[0] })
	operator := d.client("operator", wire.RoleOperator, func(o *session.Options) { o.Replicas = []string{string(r.Listen)} })
	var view command.View
	eventually(t, "the operator reaches the leader", func() bool {
		return operator.Do(timeoutContext(t), command.NameView, session.NewID(), nil, &view) == nil
	})
}
