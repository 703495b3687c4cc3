package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// attempt is a copy of a request in flight.
type attempt struct {
	digest uint64
	holder string
	entry  int
	alone  bool
}

// endpoint is an endpoint with its sidecar.
type endpoint struct {
	incarnation uint64
	running     []attempt
	failures    int
}

// fleet simulates entries that send a crashing request and innocent requests to endpoints.
// With baseline set, the entries retry every lost request on any endpoint.
type fleet struct {
	baseline  bool
	now       time.Time
	list      *List
	entries   []*LocalView
	endpoints []*endpoint
	attempts  int
	lost      map[uint64]int
	// unaware counts the copies of the crashing request from entries for which it was
	// still clear.
	unaware int
	// otherFailures counts the endpoints that failed for another reason.
	otherFailures int
}

const (
	fleetEntries   = 4
	fleetEndpoints = 8
	fleetInnocents = 12
	// maxUnaware is the most copies from entries that don't know of the first loss.
	maxUnaware = 2
)

func newFleet(baseline bool) *fleet {
	f := &fleet{baseline: baseline, now: start, list: NewList(DefaultLimits()), lost: map[uint64]int{}}
	for range fleetEntries {
		f.entries = append(f.entries, NewLocalView())
	}
	for range fleetEndpoints {
		f.endpoints = append(f.endpoints, &endpoint{incarnation: 1})
	}
	return f
}

// send sends a copy of a request from an entry to an endpoint, and reports whether it
// runs.
func (f *fleet) send(entry, to int, digest uint64) bool {
	n := f.endpoints[to]
	f.attempts++
	c := attempt{digest: digest, entry: entry, holder: fmt.Sprint(f.attempts)}
	if f.baseline {
		n.running = append(n.running, c)
		return true
	}
	switch f.entries[entry].Status(f.now, digest) {
	case Convicted:
		return false
	case Suspect:
		p := f.list.Permit(f.now, PermitRequest{Digest: digest, Holder: c.holder, Endpoint: fmt.Sprint(to), Incarnation: n.incarnation, Deadline: f.now.Add(time.Hour)})
		f.entries[entry].SetStatus(f.now, digest, p.Status)
		if !p.Granted {
			return false
		}
		c.alone = p.Alone
	}
	if (c.alone && len(n.running) > 0) || slices.ContainsFunc(n.running, func(o attempt) bool { return o.alone }) {
		f.list.ReleasePermit(f.now, digest, c.holder)
		return false
	}
	n.running = append(n.running, c)
	return true
}

// fail ends an instance with every request in flight on it.
func (f *fleet) fail(at int) {
	n := f.endpoints[at]
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
	n.failures++
}

// crash fails the endpoint if the crashing request is in flight on it.
func (f *fleet) crash(at int) {
	if slices.ContainsFunc(f.endpoints[at].running, func(c attempt) bool { return c.digest == crasher }) {
		f.fail(at)
	}
}

// finish completes the innocent requests on an endpoint.
func (f *fleet) finish(at int) {
	n := f.endpoints[at]
	for _, c := range n.running {
		if c.digest != crasher && f.list.Status(c.digest) == Suspect {
			f.list.Completed(f.now, c.digest)
		}
	}
	n.running = slices.DeleteFunc(n.running, func(c attempt) bool { return c.digest != crasher })
}

// updateEntry sends control's lists to an entry.
func (f *fleet) updateEntry(entry int) {
	f.entries[entry].Update(f.now, f.list.Digests(Suspect), f.list.Digests(Convicted))
}

// extraLosses returns how many endpoints beyond MaxLostEndpoints may be lost: one, once
// an innocent request was lost both beside the crasher and to a failure of another cause.
func (f *fleet) extraLosses() int {
	for digest := range uint64(fleetInnocents) {
		if f.otherFailures > 0 && f.lost[digest+1] > 1 {
			return 1
		}
	}
	return 0
}

func (f *fleet) inFlight(digest uint64) int {
	count := 0
	for _, n := range f.endpoints {
		for _, c := range n.running {
			if c.digest == digest {
				count++
			}
		}
	}
	return count
}

// TestCrashingRequestCostsAtMostThreeEndpoints checks that at most MaxLostEndpoints are
// lost to a crashing request, and that no innocent request is convicted. Copies of the
// request come through any entry at any time, beside innocent requests. Entries learn
// late what control knows; at most maxUnaware copies come from entries that don't know
// of the first loss. One endpoint may also fail for another reason. An innocent request
// that is wrongly convicted because of this must be cleared once the crasher is
// convicted, and one more endpoint may be lost until then.
func TestCrashingRequestCostsAtMostThreeEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(false)
		node := rapid.IntRange(0, fleetEndpoints-1)
		entry := rapid.IntRange(0, fleetEntries-1)
		t.Repeat(map[string]func(*rapid.T){
			"retry": func(t *rapid.T) {
				e, to := entry.Draw(t, "entry"), node.Draw(t, "node")
				if f.unaware == maxUnaware {
					f.updateEntry(e)
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
			"crash":        func(t *rapid.T) { f.crash(node.Draw(t, "node")) },
			"finish":       func(t *rapid.T) { f.finish(node.Draw(t, "node")) },
			"update entry": func(t *rapid.T) { f.updateEntry(entry.Draw(t, "entry")) },
			"other failure": func(t *rapid.T) {
				at := node.Draw(t, "node")
				if f.otherFailures == 0 && !slices.ContainsFunc(f.endpoints[at].running, func(c attempt) bool { return c.digest == crasher }) {
					f.otherFailures++
					f.fail(at)
				}
			},
			"": func(t *rapid.T) {
				f.now = f.now.Add(3 * time.Second)
				if f.lost[crasher] > MaxLostEndpoints+f.extraLosses() {
					t.Fatalf("%d endpoints lost", f.lost[crasher])
				}
				if f.extraLosses() > 0 && f.list.Status(crasher) != Convicted {
					return
				}
				for digest := range uint64(fleetInnocents) {
					if f.list.Status(digest+1) == Convicted {
						t.Fatalf("innocent %d convicted after %d failures", digest+1, f.lost[digest+1])
					}
				}
			},
		})
	})
}

// retryRepeatedly simulates a caller that retries a crashing request as soon as it
// failed, each time through the next entry. It returns the number of lost endpoints.
func retryRepeatedly(f *fleet, retries int) int {
	for i := range retries {
		entry, at := i%fleetEntries, i%fleetEndpoints
		f.updateEntry(entry)
		f.send(entry, at, crasher)
		for digest := range uint64(3) {
			if f.inFlight(digest+1) == 0 {
				f.send(entry, (at+int(digest)%2)%fleetEndpoints, digest+1)
			}
		}
		f.crash(at)
		f.finish(at)
		f.now = f.now.Add(time.Second)
	}
	return f.lost[crasher]
}

// TestRetryWithoutQuarantineLosesEveryEndpoint compares 40 retries with and without
// quarantine.
func TestRetryWithoutQuarantineLosesEveryEndpoint(t *testing.T) {
	cases := []struct {
		name     string
		baseline bool
		most     int
	}{
		{"without quarantine", true, 40},
		{"with quarantine", false, MaxLostEndpoints},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lost := retryRepeatedly(newFleet(c.baseline), 40)
			t.Logf("%d endpoints lost to 40 retries", lost)
			if lost > c.most || (c.baseline && lost != c.most) || lost == 0 {
				t.Fatalf("%d endpoints lost, limit is %d", lost, c.most)
			}
		})
	}
}
