package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// copyOf is a copy of a request in flight.
type copyOf struct {
	digest uint64
	holder string
	entry  int
	apart  bool
}

// node is an endpoint with its sidecar.
type node struct {
	incarnation uint64
	running     []copyOf
	fell        int
}

// fleet is a crashing request among innocents over endpoints and entries. With
// baseline set the entries retry whatever was lost, anywhere.
type fleet struct {
	baseline bool
	now      time.Time
	list     *List
	entries  []*LocalView
	nodes    []*node
	serial   int
	lost     map[uint64]int
	// unaware counts the copies of the crashing request that were sent by an entry
	// that took it for clear.
	unaware int
	// other counts endpoints that died for other reasons.
	other int
}

const (
	fleetEntries   = 4
	fleetNodes     = 8
	fleetInnocents = 12
	// maxUnaware is how many copies may be sent by entries that the news of the
	// first loss has not reached.
	maxUnaware = 2
)

func newFleet(baseline bool) *fleet {
	f := &fleet{baseline: baseline, now: start, list: NewList(DefaultLimits()), lost: map[uint64]int{}}
	for range fleetEntries {
		f.entries = append(f.entries, NewLocalView())
	}
	for range fleetNodes {
		f.nodes = append(f.nodes, &node{incarnation: 1})
	}
	return f
}

// send dispatches a copy of a request by an entry to an endpoint, and reports
// whether it runs.
func (f *fleet) send(entry, to int, digest uint64) bool {
	n := f.nodes[to]
	f.serial++
	c := copyOf{digest: digest, entry: entry, holder: fmt.Sprint(f.serial)}
	if f.baseline {
		n.running = append(n.running, c)
		return true
	}
	switch f.entries[entry].Status(f.now, digest) {
	case Convicted:
		return false
	case Suspect:
		p := f.list.RequestPermit(f.now, PermitRequest{Digest: digest, Holder: c.holder, Endpoint: fmt.Sprint(to), Incarnation: n.incarnation, Deadline: f.now.Add(time.Hour)})
		f.entries[entry].SetStatus(f.now, digest, p.Status)
		if !p.Granted {
			return false
		}
		c.apart = p.Alone
	}
	if (c.apart && len(n.running) > 0) || slices.ContainsFunc(n.running, func(o copyOf) bool { return o.apart }) {
		f.list.ReleasePermit(f.now, digest, c.holder)
		return false
	}
	n.running = append(n.running, c)
	return true
}

// fall ends an endpoint with everything in flight on it.
func (f *fleet) fall(at int) {
	n := f.nodes[at]
	var digests []uint64
	for _, c := range n.running {
		if !slices.Contains(digests, c.digest) {
			digests = append(digests, c.digest)
			f.lost[c.digest]++
		}
		f.entries[c.entry].RecordLoss(f.now, c.digest)
	}
	f.list.ReportFailure(f.now, FailureReport{Endpoint: fmt.Sprint(at), Incarnation: n.incarnation, Digests: digests, Alone: len(digests) == 1})
	n.running = nil
	n.incarnation++
	n.fell++
}

// crash runs the crashing request where it is in flight.
func (f *fleet) crash(at int) {
	if slices.ContainsFunc(f.nodes[at].running, func(c copyOf) bool { return c.digest == crasher }) {
		f.fall(at)
	}
}

// finish brings the innocents of an endpoint to whole answers.
func (f *fleet) finish(at int) {
	n := f.nodes[at]
	for _, c := range n.running {
		if c.digest != crasher && f.list.Status(c.digest) == Suspect {
			f.list.MarkCompleted(f.now, c.digest)
		}
	}
	n.running = slices.DeleteFunc(n.running, func(c copyOf) bool { return c.digest != crasher })
}

// news brings control's lists to an entry.
func (f *fleet) news(entry int) {
	f.entries[entry].Update(f.list.Digests(Suspect), f.list.Digests(Convicted))
}

// misled returns 1 once an innocent that was near the crasher has also met a failure
// of another cause.
func (f *fleet) misled() int {
	for digest := range uint64(fleetInnocents) {
		if f.other > 0 && f.lost[digest+1] > 1 {
			return 1
		}
	}
	return 0
}

func (f *fleet) inFlight(digest uint64) int {
	count := 0
	for _, n := range f.nodes {
		for _, c := range n.running {
			if c.digest == digest {
				count++
			}
		}
	}
	return count
}

// TestCrashingRequestCostsAtMostThreeEndpoints holds for copies of a crashing request
// that come through any entry at any time, for innocents beside it, and for entries
// that hear late of what control knows, as long as at most maxUnaware copies are
// sent where the news has not come. One endpoint may also die for another reason: an
// innocent that this makes look guilty is free once the crasher is found, which may
// cost one endpoint more.
func TestCrashingRequestCostsAtMostThreeEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(false)
		node := rapid.IntRange(0, fleetNodes-1)
		entry := rapid.IntRange(0, fleetEntries-1)
		t.Repeat(map[string]func(*rapid.T){
			"resend": func(t *rapid.T) {
				e, to := entry.Draw(t, "entry"), node.Draw(t, "node")
				if f.unaware == maxUnaware {
					f.news(e)
				}
				if f.entries[e].Status(f.now, crasher) != Clear {
					f.send(e, to, crasher)
				} else if f.unaware < maxUnaware && f.send(e, to, crasher) {
					f.unaware++
				}
			},
			"innocent": func(t *rapid.T) {
				digest := uint64(rapid.IntRange(1, fleetInnocents).Draw(t, "digest"))
				if f.inFlight(digest) == 0 {
					f.send(entry.Draw(t, "entry"), node.Draw(t, "node"), digest)
				}
			},
			"crash":  func(t *rapid.T) { f.crash(node.Draw(t, "node")) },
			"finish": func(t *rapid.T) { f.finish(node.Draw(t, "node")) },
			"news":   func(t *rapid.T) { f.news(entry.Draw(t, "entry")) },
			"machine failure": func(t *rapid.T) {
				at := node.Draw(t, "node")
				if f.other == 0 && !slices.ContainsFunc(f.nodes[at].running, func(c copyOf) bool { return c.digest == crasher }) {
					f.other++
					f.fall(at)
				}
			},
			"": func(t *rapid.T) {
				f.now = f.now.Add(3 * time.Second)
				if f.lost[crasher] > MaxLostEndpoints+f.misled() {
					t.Fatalf("%d endpoints lost", f.lost[crasher])
				}
				if f.misled() > 0 && f.list.Status(crasher) != Convicted {
					return
				}
				for digest := range uint64(fleetInnocents) {
					if f.list.Status(digest+1) == Convicted {
						t.Fatalf("innocent %d convicted after %d falls", digest+1, f.lost[digest+1])
					}
				}
			},
		})
	})
}

// rush lets a caller send a crashing request again as soon as it failed, through
// one entry after the other, and returns how many endpoints it cost.
func rush(f *fleet, resends int) int {
	for i := range resends {
		entry, at := i%fleetEntries, i%fleetNodes
		f.news(entry)
		f.send(entry, at, crasher)
		for digest := range uint64(3) {
			if f.inFlight(digest+1) == 0 {
				f.send(entry, (at+int(digest)%2)%fleetNodes, digest+1)
			}
		}
		f.crash(at)
		f.finish(at)
		f.now = f.now.Add(time.Second)
	}
	return f.lost[crasher]
}

func TestRetryWithoutQuarantineLosesEveryEndpoint(t *testing.T) {
	cases := []struct {
		name     string
		baseline bool
		most     int
	}{
		{"retry anywhere", true, 40},
		{"quarantine", false, MaxLostEndpoints},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lost := rush(newFleet(c.baseline), 40)
			t.Logf("%d endpoints lost to 40 resends", lost)
			if lost > c.most || (c.baseline && lost != c.most) || lost == 0 {
				t.Fatalf("%d endpoints lost, not %d", lost, c.most)
			}
		})
	}
}
