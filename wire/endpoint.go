package wire

import (
	"net/netip"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	// MaxIncarnation bounds the incarnation of a direct endpoint, the millisecond of its start: the
	// beginning of the year 2200.
	MaxIncarnation = 7_258_118_400_000
	// maxSlots bounds the requests that a direct endpoint runs concurrently.
	maxSlots = 1 << 20
	// maxNameBytes bounds the names of an endpoint, its service and its availability zone.
	maxNameBytes = 256
)

// CheckDirect returns an error if e cannot be a direct endpoint. Such an announcement must not replace that of
// an endpoint that can be used.
func (e *Endpoint) CheckDirect() error {
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case err != nil:
		return errors.Wrapf(err, "address of endpoint %q", e.Name)
	case addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		return errors.Errorf("endpoint %q has address %s, to which no connection is possible", e.Name, addr)
	case e.Slots < 0 || e.Slots > maxSlots:
		return errors.Errorf("endpoint %q has %d slots; 0 to %d are possible", e.Name, e.Slots, maxSlots)
	case e.Incarnation > MaxIncarnation:
		return errors.Errorf("endpoint %q has started at %d, after %d", e.Name, e.Incarnation, uint64(MaxIncarnation))
	case e.Name == "" || len(e.Name) > maxNameBytes || len(e.Target) > maxNameBytes || len(e.Zone) > maxNameBytes:
		return errors.Errorf("endpoint %.40q, its service or its availability zone has no name or one over %d bytes", e.Name, maxNameBytes)
	case !utf8.ValidString(e.Name) || !utf8.ValidString(e.Target) || !utf8.ValidString(e.Zone):
		return errors.Errorf("endpoint %q, its service %q or its availability zone %q has a name that is not UTF-8", e.Name, e.Target, e.Zone)
	}
	return nil
}
