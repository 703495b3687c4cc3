package control

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxDirectoryLog bounds the changes that are kept for sessions to catch up. A session that
// is further behind gets the complete list.
const maxDirectoryLog = 4096

const (
	// endpointBytes is the approximate size of one endpoint in an update.
	endpointBytes = 160
	// loadBytesPerSecond bounds the bytes a second that endpoint loads take in one session.
	loadBytesPerSecond = 2000
	// minLoadInterval is the minimum time between two updates of one endpoint's load.
	minLoadInterval = time.Second
)

// directory is the list of announced endpoints. Each change has a version, so that a session
// gets only the changes after the version it has. directory does no locking; table guards it.
type directory struct {
	version uint64
	members map[string]*member
	// log holds the name of the changed endpoint for each of the latest versions. The last
	// element belongs to version.
	log []string
	// departed holds the incarnations of direct endpoints that leave or have left, and when that was learned.
	departed map[incarnation]time.Time
}

// member is one endpoint of a directory.
type member struct {
	endpoint wire.Endpoint
	// seen is the time of the endpoint's last sign of life.
	seen time.Time
	// slot is the time slot in which the endpoint's load was last published.
	slot int64
}

// newDirectory returns an empty list at version 1, because version 0 stands for a session
// that has received nothing.
func newDirectory() *directory {
	return &directory{version: 1, members: map[string]*member{}, departed: map[incarnation]time.Time{}}
}

// announceResult is the effect of an announcement on the directory.
type announceResult int

const (
	// outdated means that the announcement is ignored, because a newer incarnation of the
	// endpoint is listed. It may have been started while the announcing sidecar was suspended.
	outdated announceResult = iota
	// unchanged means that nothing has changed, or only the load, which is not to be
	// published before the next time slot.
	unchanged
	// published means that the change has a new version, which the sessions get.
	published
)

// announce records what an endpoint says about itself. A change of the load alone is
// published at most once in each slot of loadSlot: the load changes all the time, and entries
// also learn it from each answer of the endpoint.
func (d *directory) announce(now time.Time, e wire.Endpoint) announceResult {
	old, ok := d.members[e.Name]
	if ok && e.Incarnation < old.endpoint.Incarnation {
		return outdated
	}
	if ok && reflect.DeepEqual(old.endpoint, e) {
		old.seen = now
		return unchanged
	}
	slot := d.loadSlot(now, e.Name)
	if ok && sameButLoad(old.endpoint, e) && slot == old.slot {
		old.seen = now
		return unchanged
	}
	d.members[e.Name] = &member{endpoint: e, seen: now, slot: slot}
	d.changed(e.Name)
	return published
}

// sameButLoad reports whether a and b differ only in load figures that need not be published
// at once. A change of Leaving, the end of the slow start and a change of the capacity are
// published at once.
func sameButLoad(a, b wire.Endpoint) bool {
	if a.Load.Leaving != b.Load.Leaving || (a.Load.RampTokens < 0) != (b.Load.RampTokens < 0) {
		return false
	}
	if a.Load.CapacityTokens != b.Load.CapacityTokens {
		return false
	}
	a.Load, b.Load = wire.Load{}, wire.Load{}
	return reflect.DeepEqual(a, b)
}

// loadSlot returns the number of the time slot that now is in. An endpoint's load is published
// once in each slot. The slots of different endpoints begin at different times, so that the
// updates are spread evenly.
func (d *directory) loadSlot(now time.Time, name string) int64 {
	interval := int64(d.loadInterval())
	offset := int64(xxhash.Sum64String(name) % uint64(interval))
	return (now.UnixNano() + offset) / interval
}

// loadInterval returns the length of a time slot. It grows with the number of endpoints, so
// that a session spends at most loadBytesPerSecond on loads.
func (d *directory) loadInterval() time.Duration {
	bytes := time.Duration(len(d.members) * endpointBytes)
	return max(minLoadInterval, bytes*time.Second/loadBytesPerSecond)
}

// seen records a sign of life of the endpoint's incarnation.
func (d *directory) seen(now time.Time, name string, incarnation uint64) {
	if m, ok := d.members[name]; ok && m.endpoint.Incarnation == incarnation {
		m.seen = now
	}
}

// expire removes the endpoints whose last sign of life is before deadline and returns their
// names in order.
func (d *directory) expire(deadline time.Time) []string {
	var expired []string
	for name, m := range d.members {
		if m.seen.Before(deadline) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		delete(d.members, name)
		d.changed(name)
	}
	return expired
}

// changed records a change of the endpoint in the log, under a new version of the list.
func (d *directory) changed(name string) {
	d.version++
	if len(d.log) == maxDirectoryLog {
		d.log = d.log[1:]
	}
	d.log = append(d.log, name)
}

// delta is the part of a directory that a session lacks.
type delta struct {
	endpoints []wire.Endpoint
	// removed holds the names of endpoints that are no longer listed.
	removed []string
	// reset is set if endpoints is the complete list and replaces the session's.
	reset bool
	// version is the version of the directory after the changes.
	version uint64
}

// since returns the changes after version, or the complete list for version 0 and for versions
// that are no longer in the log.
func (d *directory) since(version uint64) delta {
	missing := d.version - version
	if version == 0 || missing > uint64(len(d.log)) {
		return delta{endpoints: d.list(), reset: true, version: d.version}
	}
	out := delta{version: d.version}
	names := slices.Clone(d.log[uint64(len(d.log))-missing:])
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if m, ok := d.members[name]; ok {
			out.endpoints = append(out.endpoints, m.endpoint)
		} else {
			out.removed = append(out.removed, name)
		}
	}
	return out
}

// list returns all endpoints, sorted by name.
func (d *directory) list() []wire.Endpoint {
	all := make([]wire.Endpoint, 0, len(d.members))
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		all = append(all, d.members[name].endpoint)
	}
	return all
}
