package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Digests of parts in tests.
const (
	badPart    = 7001
	sharedPart = 7002
	rarePart   = 7003
)

// partFailure reports the end of a direct endpoint under one request with the parts.
func partFailure(l *List, seconds float64, endpoint string, request uint64, parts ...uint64) {
	r := FailureReport{Endpoint: endpoint, Incarnation: 1, Digests: []uint64{request}, Direct: true}
	for _, part := range parts {
		r.Parts = append(r.Parts, PartReport{Digest: part, Carriers: []uint64{request}})
	}
	l.ReportFailure(at(seconds), r)
}

// Requests with a part that crashes endpoints were taken for an outage, as no two of them are alike.
func TestPartOfDifferentCrashingRequestsIsConvicted(t *testing.T) {
	tests := map[string]struct {
		losses int
		// requests is the number of different requests among the losses.
		requests int
		want     Status
	}{
		"three losses":                   {3, 3, Clear},
		"four losses":                    {4, 4, Convicted},
		"four losses, two at a time":     {4, 2, Clear},
		"six losses, two at a time":      {6, 3, Convicted},
		"all losses under one request":   {9, 1, Clear},
		"more than an outage would have": {12, 12, Convicted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewList(DefaultLimits())
			for i := range test.losses {
				partFailure(l, 0.1*float64(i), fmt.Sprint("e", i), uint64(100+i%test.requests), badPart)
			}
			is.Equal(l.Status(badPart), test.want)
			if test.want == Convicted {
				is.Equal(l.Digests(Convicted), []uint64{badPart})
				is.Equal(l.Digests(Suspect), nil) // no request queues for a permit
			}
		})
	}
}

func TestTwoCrashingPartsAtOnceAreNoOutage(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range uint64(6) {
		partFailure(l, 0.1*float64(i), fmt.Sprint("a", i), 100+i, badPart)
		partFailure(l, 0.1*float64(i), fmt.Sprint("b", i), 200+i, rarePart)
	}
	is.Equal(l.Digests(Convicted), []uint64{badPart, rarePart})
}

func TestCrashingPartIsConvictedBesideAnOutage(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range uint64(5) {
		directFailure(l, 0.1*float64(i), fmt.Sprint("z", i), 300+i)
		partFailure(l, 0.1*float64(i), fmt.Sprint("e", i), 100+i, badPart)
	}
	is.Equal(l.Digests(Convicted), []uint64{badPart})
	is.Equal(l.Status(300), Clear)
}

// A sound part that is in flight beside the crashing one is in fewer of the losses.
func TestPartWithMostLossesIsConvicted(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 3 {
		partFailure(l, float64(i), fmt.Sprint("e", i), uint64(100+i), sharedPart, badPart)
	}
	partFailure(l, 3, "e3", 103, badPart)
	is.Equal(l.Digests(Convicted), []uint64{badPart})
	partFailure(l, 4, "e4", 104, sharedPart, badPart)
	is.Equal(l.Digests(Convicted), []uint64{badPart})
}

func TestCompleteAnswerFreesAPartAndTheNextIsConvicted(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 4 {
		partFailure(l, float64(i), fmt.Sprint("e", i), uint64(100+i), badPart, sharedPart)
	}
	is.Equal(l.Digests(Convicted), []uint64{sharedPart})
	is.True(l.Completed(at(4), sharedPart))
	is.Equal(l.Digests(Convicted), []uint64{badPart})
	partFailure(l, 5, "e3", 104, sharedPart) // a second report of a failure before the answer
	is.Equal(l.Status(sharedPart), Clear)
	is.True(l.Completed(at(6), badPart))
	is.Equal(l.Digests(Convicted), nil)
	is.Equal(l.Status(100), Clear)
}

func TestConvictedPartIsTriedFromTimeToTime(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 4 {
		partFailure(l, 0, fmt.Sprint("e", i), uint64(100+i), badPart)
	}
	trials := 0
	ask := func(second float64) Permit {
		trials++
		return l.Permit(at(second), PermitRequest{Digest: badPart, Holder: fmt.Sprint("h", trials), Endpoint: fmt.Sprint("t", trials), Incarnation: 1, Deadline: at(second + 10)})
	}
	is.Equal(ask(0.5), Permit{Status: Convicted, RetryAfter: 500 * time.Millisecond})
	is.True(ask(1).Granted)
	is.True(!ask(2).Granted) // one at a time
	l.ReleasePermit(at(3), badPart, "h2")
	is.True(ask(4).Granted) // as the last one decided nothing
	partFailure(l, 5, "t4", 200, badPart)
	is.Equal(ask(10), Permit{Status: Convicted, RetryAfter: 54 * time.Second})
	is.True(ask(64).Granted)
	partFailure(l, 65, "t6", 201, badPart)
	is.Equal(ask(66), Permit{Status: Convicted, RetryAfter: 478 * time.Second})
	is.True(ask(544).Granted)
	is.True(l.Completed(at(545), badPart))
	is.Equal(l.Status(badPart), Clear)
	is.True(ask(546).Granted)
}

// A part that all requests of an account share was convicted when another request crashed its endpoints before the first
// answer had come, and the conviction of the other request was revoked.
func TestPartIsNotConvictedForTheCrashesOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 5 {
		directFailure(l, 0.01*float64(i), fmt.Sprint("e", i), crasher)
	}
	is.Equal(l.Digests(Convicted), []uint64{crasher})
	for i := range 5 { // the reports of other entries come later
		partFailure(l, 0.1, fmt.Sprint("e", i), uint64(100+i), sharedPart)
	}
	is.Equal(l.Digests(Convicted), []uint64{crasher})
}

// The requests of a crashing part were convicted one by one, and hid the part.
func TestConvictedRequestsDoNotHideTheirPart(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 3 {
		for j := range 3 {
			partFailure(l, float64(20*i+j), fmt.Sprint("e", i, j), uint64(100+i), badPart)
		}
	}
	is.Equal(l.Digests(Convicted), []uint64{badPart})
}

func TestImageHoldsParts(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range 5 {
		partFailure(l, float64(i), fmt.Sprint("e", i), uint64(100+i), sharedPart, badPart)
	}
	l.Completed(at(6), sharedPart)
	is.True(l.Permit(at(60), PermitRequest{Digest: badPart, Holder: "h", Endpoint: "z", Incarnation: 3, Deadline: at(70)}).Granted)
	data, err := cbor.Marshal(l.Image())
	is.NoErr(err)
	var img Image
	is.NoErr(cbor.Unmarshal(data, &img))
	restored, err := Restore(DefaultLimits(), img)
	is.NoErr(err)
	again, err := cbor.Marshal(restored.Image())
	is.NoErr(err)
	is.Equal(again, data)
	is.Equal(restored.Fingerprint(), l.Fingerprint())
	is.Equal(restored.records[badPart].partRecord, l.records[badPart].partRecord)

	_, err = Restore(DefaultLimits(), Image{Failures: []FailureImage{{Digests: []uint64{1}, Parts: []uint64{1}}}, Records: []RecordImage{{Digest: 1}}})
	is.True(err != nil)
}

func TestPartsStayWithinTheLimits(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultLimits())
	for i := range uint64(100) {
		r := FailureReport{Endpoint: fmt.Sprint("e", i), Incarnation: 1, Direct: true, Digests: []uint64{i}}
		for part := range uint64(1000) {
			r.Parts = append(r.Parts, PartReport{Digest: 1_000_000*i + part, Carriers: []uint64{i, i + 1, i + 2, i + 3}})
		}
		l.ReportFailure(at(float64(i)), r)
	}
	is.True(len(l.records) <= l.limits.Digests)
	for _, r := range l.records {
		is.True(!r.isPart() || len(r.carriers) <= MaxPartCarriers)
	}
	for _, f := range l.failures {
		is.True(len(f.parts) <= maxPartsPerFailure)
	}
}

func TestLocalViewOfParts(t *testing.T) {
	is := is.New(t)
	l := NewLocalView()
	for i := range minPartLosses {
		is.Equal(l.PartStatus(at(0), badPart), Clear)
		l.RecordDirectLoss(at(float64(i)), badPart)
	}
	is.Equal(l.PartStatus(at(4), badPart), Suspect) // although control has not answered
	is.True(l.RecordPartCompletion(at(5), sharedPart) == false)
	is.Equal(l.Update(at(6), nil, []uint64{badPart, sharedPart}), []uint64{sharedPart})
	is.Equal(l.PartStatus(at(6), badPart), Convicted)
	is.Equal(l.PartStatus(at(6), sharedPart), Clear) // its own knowledge goes first
	is.Equal(l.PartStatus(at(40), sharedPart), Convicted)
	is.True(l.RecordPartCompletion(at(41), sharedPart))

	is.True(!l.TrialDue(at(6.5), badPart))
	is.Equal(l.NextTrial(at(6.5), badPart), time.Second)
	is.True(l.TrialDue(at(36), badPart))
	is.True(!l.TrialDue(at(36.5), badPart))
	l.SetNextTrial(at(36), badPart, 90*time.Second)
	is.True(!l.TrialDue(at(125), badPart))
	is.True(l.TrialDue(at(126), badPart))
}

func TestTrackerReportsPartsWithTheirRequests(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	where := Instance{Endpoint: "e", Addr: "a", Incarnation: 1}
	for i := range uint64(5) {
		tr.Interrupt(at(0), where, &Attempt{Digest: i, Parts: []uint64{sharedPart, 50 + i}}, false)
	}
	tr.End(where)
	ended := tr.TakeEnded()
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Parts[0], PartReport{Digest: sharedPart, Carriers: []uint64{0, 1, 2, 3, 4}})
	is.Equal(len(ended[0].Parts), 6)
}

// TestCrashingPartIsSoonRefused sends requests with a crashing part and sound ones with the other parts in any
// order, beside other failures. Entries learn late what control knows.
func TestCrashingPartIsSoonRefused(t *testing.T) {
	const entries, parts = 3, 4
	rapid.Check(t, func(t *rapid.T) {
		l, now, serial := NewList(DefaultLimits()), 0.0, uint64(1000)
		views := make([]*LocalView, entries)
		for i := range views {
			views[i] = NewLocalView()
		}
		// lost counts the losses under the part, and late those by entries that have the lists of the conviction.
		lost, late, trials := 0, 0, 0
		draw := func(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		fail := func(entry int, inFlight []uint64, requests int) {
			serial++
			r := FailureReport{Endpoint: fmt.Sprint("e", serial), Incarnation: 1, Direct: true}
			for range requests {
				serial++
				r.Digests = append(r.Digests, serial)
			}
			for _, part := range inFlight {
				if !views[entry].CompletedLately(at(now), part) {
					views[entry].RecordDirectLoss(at(now), part)
					r.Parts = append(r.Parts, PartReport{Digest: part, Carriers: []uint64{r.Digests[0]}})
				}
			}
			l.ReportFailure(at(now), r)
		}
		sound := func(t *rapid.T) []uint64 {
			return rapid.SliceOfNDistinct(rapid.Uint64Range(1, parts), 0, 2, rapid.ID[uint64]).Draw(t, "sound parts")
		}
		t.Repeat(map[string]func(*rapid.T){
			"crashing request": func(t *rapid.T) {
				entry := draw(t, entries)
				v := views[entry]
				others := sound(t)
				switch v.PartStatus(at(now), badPart) {
				case Convicted:
					if !v.TrialDue(at(now), badPart) {
						return
					}
					p := l.Permit(at(now), PermitRequest{Digest: badPart, Holder: fmt.Sprint(serial), Endpoint: fmt.Sprint("e", serial+1), Incarnation: 1, Deadline: at(now + 10)})
					v.SetNextTrial(at(now), badPart, p.RetryAfter)
					if !p.Granted {
						return
					}
					if p.Status == Convicted {
						trials++
					}
				case Suspect:
					p := l.Permit(at(now), PermitRequest{Digest: badPart, Holder: fmt.Sprint(serial), Endpoint: fmt.Sprint("e", serial+1), Incarnation: 1, Deadline: at(now + 10)})
					v.SetStatus(at(now), badPart, p.Status)
					if !p.Granted {
						return
					}
				case Clear:
					if slices.Contains(l.Digests(Convicted), badPart) {
						late++
					}
				}
				lost++
				fail(entry, append(others, badPart), 1+draw(t, 4))
			},
			"other failure": func(t *rapid.T) {
				for range 1 + draw(t, 6) {
					fail(draw(t, entries), sound(t), 1+draw(t, 4))
				}
			},
			"sound answer": func(t *rapid.T) {
				part := rapid.Uint64Range(1, parts).Draw(t, "part")
				if v := views[draw(t, entries)]; v.RecordPartCompletion(at(now), part) {
					l.Completed(at(now), part)
					v.SetStatus(at(now), part, Clear)
				}
			},
			"news": func(t *rapid.T) {
				for _, part := range views[draw(t, entries)].Update(at(now), l.Digests(Suspect), l.Digests(Convicted)) {
					l.Completed(at(now), part)
				}
			},
			"": func(t *rapid.T) {
				now += rapid.Float64Range(0, 3).Draw(t, "pause")
				if lost > 0 && len(l.Digests(Convicted)) == 0 && lost-late > 2*minPartLosses*parts {
					t.Fatalf("%d losses and no part convicted", lost)
				}
				if trials > 1 && now < trialInterval(trials-1).Seconds() {
					t.Fatalf("trial %d after %.0f s", trials, now)
				}
				if _, err := Restore(DefaultLimits(), l.Image()); err != nil {
					t.Fatal(err)
				}
			},
		})
		// Whatever was convicted wrongly comes free: the next trial permits a request.
		for _, part := range l.Digests(Convicted) {
			if part == badPart || part > parts {
				continue
			}
			p := l.Permit(at(now).Add(2*maxTrialInterval), PermitRequest{Digest: part, Holder: "trial", Endpoint: "trial", Incarnation: 1, Deadline: at(now + 10)})
			if !p.Granted {
				t.Fatalf("part %d gets no trial", part)
			}
			if l.Completed(at(now).Add(2*maxTrialInterval), part); l.Status(part) == Convicted {
				t.Fatalf("part %d stays convicted after a complete answer", part)
			}
		}
	})
}
