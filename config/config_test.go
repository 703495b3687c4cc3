package config

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

var (
	hashA = strings.Repeat("a1", keyHashBytes)
	hashB = strings.Repeat("b2", keyHashBytes)
)

// sample returns a small document with one object of each kind.
func sample() *Document {
	d := NewDocument()
	d.Revision = 4
	d.Zones["hall"] = Zone{Name: "hall", Region: "leon-coast", State: In}
	d.Models["scribe"] = Model{Name: "scribe"}
	d.Accounts["parish"] = Account{Name: "parish", KeyHashes: []string{hashA}}
	d.Routes["read"] = Route{Name: "read", Kind: ModelRoute, Target: "scribe", Accounts: []string{"parish"}}
	d.Endpoints["worker-1"] = Out
	return d
}

func TestCheckListsEveryFaultOfAChange(t *testing.T) {
	tests := map[string]struct {
		changes []Change
		want    []string
	}{
		"nothing":             {nil, []string{"nothing to change"}},
		"no field set":        {[]Change{{}}, []string{"0 fields are set"}},
		"two fields set":      {[]Change{{DropModel: "scribe", DropRoute: "read"}}, []string{"2 fields are set"}},
		"bad zone":            {[]Change{{Zone: &Zone{Name: "a b", Region: "", State: "off"}}}, []string{"bad name \"a b\"", "bad name \"\" of a region", "bad state \"off\""}},
		"zone moves":          {[]Change{{Zone: &Zone{Name: "hall", Region: "sindh", State: In}}}, []string{"cannot move"}},
		"bad model":           {[]Change{{Model: &Model{Name: "m", WeightBytes: -1, Versions: []string{"v1", "v1", ""}}}}, []string{"below zero", "duplicate version", "empty version"}},
		"unknown model":       {[]Change{{Route: &Route{Name: "r", Kind: ModelRoute, Target: "nope"}}}, []string{"unknown model \"nope\""}},
		"bad route":           {[]Change{{Route: &Route{Name: "r", Kind: "x", Target: "t", Accounts: []string{"who"}, Deadline: -1, NonIdempotent: []Call{{Path: "seal"}}}}}, []string{"bad kind", "unknown client account \"who\"", "bad call", "below zero"}},
		"limits below zero":   {[]Change{{Account: &Account{Name: "a", Limits: Limits{Concurrent: -1}}}}, []string{"limit is below zero"}},
		"bad key hash":        {[]Change{{Account: &Account{Name: "a", KeyHashes: []string{"secret"}}}}, []string{"no SHA-256 digest"}},
		"key of another":      {[]Change{{Account: &Account{Name: "z", KeyHashes: []string{hashA}}}}, []string{"same as one of client account \"parish\""}},
		"key twice":           {[]Change{{Account: &Account{Name: "a", KeyHashes: []string{hashB, hashB}}}}, []string{"duplicate key hash"}},
		"bad endpoint rule":   {[]Change{{Endpoint: &EndpointRule{State: "x"}}}, []string{"bad name", "bad state"}},
		"drop used model":     {[]Change{{DropModel: "scribe"}}, []string{"target of route \"read\""}},
		"drop used account":   {[]Change{{DropAccount: "parish"}}, []string{"may use route \"read\""}},
		"drop unknown things": {[]Change{{DropRoute: "x"}, {DropEndpoint: "y"}, {DropModel: "m"}, {DropAccount: "a"}}, []string{"change 1: unknown route", "change 2: unknown rule", "change 3: unknown model", "change 4: unknown client account"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := sample().Check(test.changes)
			var faults Faults
			is.True(errors.As(err, &faults))
			is.Equal(len(faults), len(test.want))
			for i, want := range test.want {
				is.True(strings.Contains(err.Error(), want))
				is.True(strings.Contains(faults[i].Problem, want) || strings.Contains(want, "change"))
			}
		})
	}
}

func TestChangesMayReferToOneAnother(t *testing.T) {
	is := is.New(t)
	is.NoErr(sample().Check([]Change{
		{Route: &Route{Name: "draft", Kind: ModelRoute, Target: "new", Accounts: []string{"trust"}}},
		{Model: &Model{Name: "new"}},
		{Model: &Model{Name: "published/name"}},
		{Account: &Account{Name: "trust", KeyHashes: []string{hashB}}},
		{DropRoute: "read"},
		{DropModel: "scribe"},
	}))
}

func TestBootstrapChangesRebuildTheDocument(t *testing.T) {
	is := is.New(t)
	want := sample()
	got := NewDocument()
	is.NoErr(got.Check(want.Bootstrap()))
	is.NoErr(got.Apply(ChangeSet{Revision: 1, Changes: want.Bootstrap()}))
	got.Revision = want.Revision
	is.Equal(got, want)
}

func TestApplyToCloneDoesNotChangeTheOriginal(t *testing.T) {
	is := is.New(t)
	d := sample()
	c := d.Clone()
	is.NoErr(c.Apply(ChangeSet{Revision: 5, Changes: []Change{{DropRoute: "read"}, {Endpoint: &EndpointRule{Name: "worker-1", State: In}}}}))
	is.Equal(d, sample())
}

func TestEndpointTakesNewWorkOnlyWithItsZone(t *testing.T) {
	is := is.New(t)
	d := sample()
	is.Equal(d.EndpointState("worker-2", "hall"), In)
	is.Equal(d.EndpointState("worker-1", "hall"), Out)    // by its own rule
	is.Equal(d.EndpointState("worker-2", "nowhere"), Out) // in an unknown zone
	d.Zones["hall"] = Zone{Name: "hall", Region: "leon-coast", State: Out}
	is.Equal(d.EndpointState("worker-2", "hall"), Out)
}

func TestChangesApplyWithoutAccounts(t *testing.T) {
	is := is.New(t)
	full, withoutAccounts := sample(), sample().WithoutAccounts()
	r := ChangeSet{Revision: 5, Changes: []Change{{Account: &Account{Name: "x"}}, {DropRoute: "read"}}}
	is.NoErr(full.Apply(r))
	is.NoErr(withoutAccounts.Apply(r.WithoutAccounts()))
	is.Equal(withoutAccounts.Revision, full.Revision)
	is.Equal(withoutAccounts.Routes, full.Routes)
	is.Equal(len(withoutAccounts.Accounts), 0)
	is.Equal(len(r.Changes), 2) // the original is untouched
}

func TestViewNeverGoesBack(t *testing.T) {
	is := is.New(t)
	v := NewView()
	is.True(v.Replace(sample()))
	old := sample()
	old.Revision = 3
	is.True(!v.Replace(old))      // an update from a lagging replica
	is.True(!v.Replace(sample())) // the current revision again
	is.Equal(v.Revision(), uint64(4))

	drop := ChangeSet{Revision: 5, Changes: []Change{{DropRoute: "read"}}}
	is.NoErr(v.Apply([]ChangeSet{drop}))
	is.NoErr(v.Apply([]ChangeSet{drop})) // the same change set again changes nothing
	is.True(v.Apply([]ChangeSet{{Revision: 7}}) != nil)
	is.Equal(v.Revision(), uint64(5)) // a gap changes nothing
}

func TestViewReadersSeeOnlyCompleteRevisions(t *testing.T) {
	is := is.New(t)
	v := NewView()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			last := uint64(0)
			for last < 200 {
				d := v.Load()
				if d.Revision < last || len(d.Models) != int(d.Revision) {
					t.Error("a reader saw an incomplete or an older revision")
					return
				}
				last = d.Revision
			}
		})
	}
	for i := uint64(1); i <= 200; i++ {
		name := strings.Repeat("m", int(i))
		is.NoErr(v.Apply([]ChangeSet{{Revision: i, Changes: []Change{{Model: &Model{Name: name}}}}}))
	}
	wg.Wait()
}
