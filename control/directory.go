package control

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxDirectoryLog bounds the changes kept for sessions that catch up; a session
// further behind gets the whole list.
const maxDirectoryLog = 4096

const (
	// endpointBytes is about what one endpoint takes in an update.
	endpointBytes = 160
	// loadBytesPerSecond is what a session may spend on the loads of endpoints.
	loadBytesPerSecond = 2000
	minLoadInterval    = time.Second
)

// directory lists the endpoints that announce themselves. Each change gets a
// version, so that a session is told only what it has not yet been told. It does
// no locking.
type directory struct {
	version uint64
	members map[string]*member
	// log holds the names that changed, one a version; the last is at version.
	log []string
}

type member struct {
	endpoint wire.Endpoint
	seen     time.Time
	// slot is the time slot in which the sessions were last told of the load.
	slot int64
}

// newDirectory returns an empty list at version 1, because version 0 stands for
// a session that has seen nothing.
func newDirectory() *directory { return &directory{version: 1, members: map[string]*member{}} }

// announceResult says what became of one.
type announceResult int

const (
	// outdated: it came from an incarnation that was replaced, or from a frozen
	// sidecar.
	outdated announceResult = iota
	// unchanged: there is nothing to tell anybody, or not yet.
	unchanged
	// published: the sessions are told.
	published
)

// announce notes what an endpoint says about itself. Its load alone is told only
// now and then: it changes all the time, and entries learn it from each answer.
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

// sameButLoad reports whether a and b differ only in figures of their load.
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

// loadSlot numbers the time slots in which an endpoint's load is told once. The
// slots of different endpoints begin at different times, so that the reports are
// spread evenly.
func (d *directory) loadSlot(now time.Time, name string) int64 {
	interval := int64(d.loadInterval())
	offset := int64(xxhash.Sum64String(name) % uint64(interval))
	return (now.UnixNano() + offset) / interval
}

// loadInterval is the least time between two reports of one endpoint's load. It
// grows with the list, so that a session spends no more than loadBytesPerSecond.
func (d *directory) loadInterval() time.Duration {
	bytes := time.Duration(len(d.members) * endpointBytes)
	return max(minLoadInterval, bytes*time.Second/loadBytesPerSecond)
}

// seen notes a sign of life of the endpoint's incarnation.
func (d *directory) seen(now time.Time, name string, incarnation uint64) {
	if m, ok := d.members[name]; ok && m.endpoint.Incarnation == incarnation {
		m.seen = now
	}
}

// expire drops the endpoints that were last heard before deadline and returns
// their names in order.
func (d *directory) expire(deadline time.Time) []string {
	var gone []string
	for name, m := range d.members {
		if m.seen.Before(deadline) {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone {
		delete(d.members, name)
		d.changed(name)
	}
	return gone
}

func (d *directory) changed(name string) {
	d.version++
	if len(d.log) == maxDirectoryLog {
		d.log = d.log[1:]
	}
	d.log = append(d.log, name)
}

// delta is what a session has to be told.
type delta struct {
	endpoints []wire.Endpoint
	gone      []string
	reset     bool
	version   uint64
}

// since returns what changed after version. Version zero has seen nothing.
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
			out.gone = append(out.gone, name)
		}
	}
	return out
}

// list returns all endpoints by name.
func (d *directory) list() []wire.Endpoint {
	all := make([]wire.Endpoint, 0, len(d.members))
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		all = append(all, d.members[name].endpoint)
	}
	return all
}
