package control_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/control/session"
	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// TestWipedReplicaJoinsAgainByItself erases the disk of each replica, one after the other. Each
// replica must join again as a new member, and no accepted change may be lost.
func TestWipedReplicaJoinsAgainByItself(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 3, longGrace+`,"steward":true`)
	operator := d.client("operator", wire.RoleOperator, nil)
	eventually(t, "all replicas vote", func() bool { return len(members(t, operator)) == 3 })
	changed := change(t, operator, zoneOut(command.AnyRevision, "hall"))
	for i := range 3 {
		before := members(t, operator)
		d.stop(i)
		is.NoErr(os.RemoveAll(filepath.Join(d.dir, "data", fmt.Sprint(i+1))))
		seeds := fmt.Sprintf(`["%s","%s"]`, d.addrs[(i+1)%3], d.addrs[(i+2)%3])
		d.stops[i] = d.run(fmt.Sprintf("control-%d", i+1), fmt.Sprintf(`{"listen":%q,"data":%q,"steward":true,"seeds":%s,%s}`,
			d.addrs[i], filepath.Join(d.dir, "data", fmt.Sprint(i+1)), seeds, longGrace))
		eventually(t, "the wiped replica votes again", func() bool {
			now := members(t, operator)
			return len(now) == 3 && now[d.addrs[i]] != 0 && now[d.addrs[i]] != before[d.addrs[i]]
		})
		var view command.View
		is.NoErr(operator.Do(timeoutContext(t), command.NameView, session.NewID(), nil, &view))
		is.True(view.Document.Revision >= changed)
	}
}

// change makes a configuration change and returns the new revision.
func change(t *testing.T, c *session.Client, body command.Change) uint64 {
	t.Helper()
	var changed command.Changed
	if err := c.Do(timeoutContext(t), command.NameChange, session.NewID(), body, &changed); err != nil {
		t.Fatal(err)
	}
	return changed.Revision
}

// members returns the IDs of the voters that have acknowledged log entries to the leader, by
// address, or nil if no leader answers.
func members(t *testing.T, c *session.Client) map[string]uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var view command.View
	if err := c.Do(ctx, command.NameView, session.NewID(), nil, &view); err != nil {
		return nil
	}
	out := map[string]uint64{}
	for _, r := range view.Replicas {
		if r.Voter && r.Match > 0 {
			out[r.Addr] = r.ID
		}
	}
	return out
}
