package control

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// maxDirectoryLog bounds the changes kept for sessions that catch up; a session
// further behind gets the whole list.
const maxDirectoryLog = 4096

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
	heard    time.Time
}

// newDirectory returns an empty list at version 1, because version 0 stands for
// a session that has seen nothing.
func newDirectory() *directory { return &directory{version: 1, members: map[string]*member{}} }

// announce notes what an endpoint says about itself. It refuses an older
// incarnation, which comes from a sidecar that was replaced or frozen.
func (d *directory) announce(now time.Time, e wire.Endpoint) bool {
	old, ok := d.members[e.Name]
	if ok && e.Incarnation < old.endpoint.Incarnation {
		return false
	}
	d.members[e.Name] = &member{endpoint: e, heard: now}
	if !ok || !reflect.DeepEqual(old.endpoint, e) {
		d.changed(e.Name)
	}
	return true
}

// heard notes a sign of life of the endpoint's incarnation.
func (d *directory) heard(now time.Time, name string, incarnation uint64) {
	if m, ok := d.members[name]; ok && m.endpoint.Incarnation == incarnation {
		m.heard = now
	}
}

// expire drops the endpoints that were last heard before deadline and returns
// their names in order.
func (d *directory) expire(deadline time.Time) []string {
	var gone []string
	for name, m := range d.members {
		if m.heard.Before(deadline) {
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
		d.log = append(d.log[:0], d.log[1:]...)
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
