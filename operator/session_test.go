package operator

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
	"github.com/rosemaryproxy/rosemaryproxy/verdict"
)

func mustRun(t *testing.T, s *Session, source string) Result {
	t.Helper()
	r, err := s.Execute(context.Background(), source)
	if err != nil {
		t.Fatalf("%s: %v", source, err)
	}
	return r
}

func render(t *testing.T, r Result, asJSON bool) string {
	t.Helper()
	var b strings.Builder
	if err := Write(&b, r, asJSON); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestResultsAsTextAndJSON(t *testing.T) {
	tests := []struct {
		source     string
		text, json string
	}{
		{
			"show zones where state = in",
			"ZONE  REGION  STATE  ENDPOINTS  COLD  RUNNING\nhall  leon    in     2          0     3\n(1 row)\n",
			`[{"zone":"hall","region":"leon","state":"in","endpoints":2,"cold":0,"running":3}]` + "\n",
		},
		{
			"show endpoints where zone = annex and state = cold and free_tokens > 10",
			"ENDPOINT  ZONE   TARGET  STATE  IN_SERVICE  RUNNING  FREE_TOKENS  CAPACITY_TOKENS  VERSION  ADAPTERS  ROLE  SERVICE  CHECKS_FENCE  INCARNATION  ADDR\n" +
				"e2        annex  scribe  cold   no          0        1000         1000             -        -         -     no       no            0            -\n(1 row)\n",
			`[{"endpoint":"e2","zone":"annex","target":"scribe","state":"cold","in_service":false,"running":0,"free_tokens":1000,"capacity_tokens":1000,"version":"","adapters":[],"role":"","service":false,"checks_fence":false,"incarnation":"0","addr":""}]` + "\n",
		},
		{
			"show accounts where held >= 4MB and requests_per_second != 0",
			"ACCOUNT  REQUESTS_PER_SECOND  TOKENS_PER_SECOND  CONCURRENT  HELD  KEYS\n" +
				"notary   10                   0                  0           4MB   7692c3ad3540, 3fc4ccfe7458\n(1 row)\n",
			`[{"account":"notary","requests_per_second":10,"tokens_per_second":0,"concurrent":0,"held_bytes":4000000,"keys":["7692c3ad3540","3fc4ccfe7458"]}]` + "\n",
		},
		{
			`show routes where non_idempotent = "POST /seal"`,
			"ROUTE  KIND     TARGET    ACCOUNTS  NON_IDEMPOTENT  DEADLINE  MAX_OUTPUT  ENDPOINTS\ndesk   service  capsules  notary    POST /seal      0s        0           1\n(1 row)\n",
			`[{"route":"desk","kind":"service","target":"capsules","accounts":["notary"],"non_idempotent":["POST /seal"],"deadline_ms":0,"max_output":0,"endpoints":1}]` + "\n",
		},
		{
			"show leases where behind > 0 and silent < 1s",
			"PROCESS  ROLE   ZONE  SILENT  BEHIND\nentry-1  entry  hall  40ms    1\n(1 row)\n",
			`[{"process":"entry-1","role":"entry","zone":"hall","silent_ms":40,"behind":1}]` + "\n",
		},
		{
			"explain take zone hall out",
			"would change, at revision 7:\n  - zone hall: in\n  + zone hall: out\nreaches 2 endpoints with 3 attempts in flight\n" +
				"ENDPOINT  ZONE  STATE  BEFORE  AFTER  RUNNING\ne1        hall  warm   in      out    3\nw1        hall  warm   in      out    0\n(2 rows)\n" +
				"warning: route desk would have no endpoint in service\nwarning: route read would have no endpoint in service\n",
			`{"revision":7,"before":["zone hall: in"],"after":["zone hall: out"],"endpoints":[{"name":"e1","zone":"hall","state":"warm","before":"in","after":"out","running":3},{"name":"w1","zone":"hall","state":"warm","before":"in","after":"out","running":0}],"in_flight":3,"warnings":["route desk would have no endpoint in service","route read would have no endpoint in service"]}` + "\n",
		},
		{
			"explain load model scribe on e2",
			"would change, at revision 7:\n  + order load scribe on e2 under the next fencing number\nreaches 1 endpoint with 0 attempts in flight\n" +
				"ENDPOINT  ZONE   STATE  BEFORE  AFTER  RUNNING\ne2        annex  cold   out     out    0\n(1 row)\n",
			`{"revision":7,"before":[],"after":["order load scribe on e2 under the next fencing number"],"endpoints":[{"name":"e2","zone":"annex","state":"cold","before":"out","after":"out","running":0}],"in_flight":0,"warnings":[]}` + "\n",
		},
		{"wait", "revision 7 is in force everywhere\n", `{"revision_in_force":7}` + "\n"},
	}
	for _, test := range tests {
		t.Run(test.source, func(t *testing.T) {
			is := is.New(t)
			is.Equal(render(t, mustRun(t, newTestSession(newFakeControl()), test.source), false), test.text)
			is.Equal(render(t, mustRun(t, newTestSession(newFakeControl()), test.source), true), test.json)
		})
	}
}

func TestRowsAreSortedByName(t *testing.T) {
	is := is.New(t)
	rows := [][]value{{"scribe-10"}, {"desk"}, {"scribe-9"}, {"scribe"}, {"1"}, {"scribe-99999999999999999999"}}
	sortByName(rows)
	is.Equal(rows, [][]value{{"1"}, {"desk"}, {"scribe"}, {"scribe-9"}, {"scribe-10"}, {"scribe-99999999999999999999"}})
}

func TestOrdersChangeTheConfiguration(t *testing.T) {
	tests := []struct{ source, want string }{
		{"take zone hall out", "zone hall: out"},
		{"take endpoint e1 out", "endpoint e1: out"},
		{"add zone vault in region leon", "zone vault: out"},
		{"set route read to model scribe max output 4096", "route read to model scribe deadline 30s max output 4096"},
		{"set route ask to service capsules deadline 2s accounts notary", "route ask to service capsules deadline 2s accounts notary"},
		{"mark route desk post /release non-idempotent", "route desk to service capsules accounts notary non-idempotent POST /seal, POST /release"},
		{"unmark route desk POST /seal non-idempotent", "route desk to service capsules accounts notary"},
		{"set account notary limits tokens 5000/s concurrent 8 held 0B", "account notary requests 10/s tokens 5000/s concurrent 8 2 keys"},
		{"add account clerk limits requests 2.5/s", "account clerk requests 2.5/s 0 keys"},
		{"drop key 7692c3ad from account notary", "account notary requests 10/s held 4MB 1 key"},
		{"set model scribe versions v2, v3", "model scribe versions v2, v3 adapters breton weights 14GB"},
		{"drop route desk", "drop route desk"},
	}
	for _, test := range tests {
		t.Run(test.source, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl()
			mustRun(t, newTestSession(f), test.source)
			is.Equal(len(f.audit), 1)
			is.Equal(entryText(&f.audit[0]), test.want)
		})
	}
}

func TestPlanRefusesInvalidOrders(t *testing.T) {
	tests := []struct{ source, want string }{
		{"take zone hal out", `column 11: no zone "hal"; did you mean "hall"?`},
		{"take zone qqqqqqqq out", `no zone "qqqqqqqq"; known: annex, hall`},
		{"take endpoint e9 out", `no endpoint "e9"`},
		{"add zone hall in region leon", `column 10: there is a zone "hall" already`},
		{"load model scrib on e1", `column 12: no model "scrib"; did you mean "scribe"?`},
		{"load model scribe on w1", `column 22: endpoint "w1" is a plain service and takes no engine orders`},
		{"set version v3 on e1", `column 13: no version of scribe "v3"`},
		{"set route read to model other", `column 25: no model "other"`},
		{"set route read to model scribe accounts nobody", `no client account "nobody"`},
		{"mark route desk POST /seal non-idempotent", `POST /seal of route "desk" is marked already`},
		{"unmark route desk POST /x non-idempotent", `POST /x of route "desk" is not marked`},
		{"set account nobody limits held 1B", `no client account "nobody"`},
		{"add account notary", `there is a client account "notary" already`},
		{"drop key 00000000 from account notary", `client account "notary" has no key whose digest starts with 00000000`},
		{"drop model scribe", `control would refuse this: model "scribe" is the target of route "read"`},
		{"drop account notary", `control would refuse this: client account "notary" may use route "desk"`},
		{`add account "two words"`, `control would refuse this: bad name "two words"`},
		{"add replica 2 at 127.0.0.1:7", `replica 2 is a member already`},
		{"remove replica 9", `no replica "9"; known: 1, 2`},
		{"promote replica 1", `replica 1 is a voter already`},
	}
	for _, test := range tests {
		t.Run(test.source, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl()
			_, err := newTestSession(f).Execute(context.Background(), test.source)
			var fault *StatementError
			is.True(errors.As(err, &fault))
			is.True(strings.Contains(err.Error(), test.want))
			is.Equal(len(f.audit), 0)
		})
	}
}

func TestEngineAndReplicaOrdersAreSent(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	s := newTestSession(f)
	is.Equal(mustRun(t, s, "load adapter breton on e1").(*Accepted).Fence, uint64(1))
	is.Equal(mustRun(t, s, "set role prefill on e1").(*Accepted).Fence, uint64(2))
	mustRun(t, s, "promote replica 2")
	is.True(strings.HasPrefix(f.sent[len(f.sent)-1], command.NameMember+" "))
}

// TestConcurrentOrdersAtOneRevisionHaveOneWinner checks that of concurrent orders by operators
// who saw the same revision one is accepted, and that the others get a conflict that lists it.
func TestConcurrentOrdersAtOneRevisionHaveOneWinner(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	const operators = 16
	errs := make([]error, operators)
	var ready, done sync.WaitGroup
	ready.Add(operators)
	for i := range operators {
		done.Go(func() {
			s := newTestSession(f)
			_, errs[i] = s.Execute(context.Background(), "show zones")
			ready.Done()
			ready.Wait()
			if errs[i] == nil {
				_, errs[i] = s.Execute(context.Background(), "take zone hall out")
			}
		})
	}
	done.Wait()
	winners := 0
	for _, err := range errs {
		if err == nil {
			winners++
			continue
		}
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Expected, uint64(7))
		is.Equal(len(conflict.Winners), 1)
		is.Equal(verdict.From(err).Reason, verdict.ReasonRevisionConflict)
	}
	is.Equal(winners, 1)
	is.Equal(len(f.audit), 1)
}

func TestOrderCanBeRepeatedAfterConflict(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	first, second := newTestSession(f), newTestSession(f)
	mustRun(t, first, "show zones")
	mustRun(t, second, "show zones")
	mustRun(t, first, "take zone hall out")
	_, err := second.Execute(context.Background(), "bring zone annex in")
	is.True(strings.Contains(err.Error(), "revision 8 by someone: zone hall: out"))
	is.Equal(mustRun(t, second, "bring zone annex in").(*Accepted).Revision, uint64(9))
	_, err = second.Execute(context.Background(), "bring zone hall in expecting revision 8")
	is.Equal(verdict.From(err).Reason, verdict.ReasonRevisionConflict)
}

func TestOrderIsResentUnderTheSameIdentifier(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	f.answersToLose = 1
	a := mustRun(t, newTestSession(f), "take zone hall out").(*Accepted)
	is.Equal(a.Revision, uint64(8))
	is.Equal(len(f.audit), 1)
	sent := f.sent[len(f.sent)-2:]
	is.Equal(sent[0], command.NameChange+" "+a.ID)
	is.Equal(sent[1], sent[0])
}

func TestUncertainOrderCanBeResentByIdentifier(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	ctx, cancel := context.WithCancel(context.Background())
	_, err := newTestSession(answerDropper{f, cancel}).Execute(ctx, "drop route desk")
	var uncertain *UncertainError
	is.True(errors.As(err, &uncertain))
	s := newTestSession(f)
	is.NoErr(s.SetOrderID(uncertain.ID))
	a := mustRun(t, s, "drop route desk").(*Accepted)
	is.True(a.AcceptedBefore)
	is.Equal(a.Revision, uint64(8))
	is.Equal(len(f.audit), 1)
	_, err = s.Execute(context.Background(), "add key for account notary")
	is.True(strings.Contains(err.Error(), "cannot be sent again"))
	is.True(s.SetOrderID("x") != nil)
}

// answerDropper lets a change take effect, then drops its answer and cancels the caller's
// context.
type answerDropper struct {
	Control
	cancel context.CancelFunc
}

// Do implements Control.
func (s answerDropper) Do(ctx context.Context, name, id string, body, out any) error {
	err := s.Control.Do(ctx, name, id, body, out)
	if name != command.NameChange {
		return err
	}
	s.cancel()
	return verdict.Uncertain(verdict.ReasonNoQuorum, 0, "the answer was lost")
}

func TestNewKeyIsShownOnceAndOnlyItsDigestIsSent(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	a := mustRun(t, newTestSession(f), "add key for account notary").(*Accepted)
	hashes := f.view.Document.Accounts["notary"].KeyHashes
	is.Equal(len(hashes), 3)
	is.Equal(hashes[2], config.HashKey(a.Key))
	is.True(strings.Contains(render(t, a, false), "key: "+a.Key))
	is.True(!strings.Contains(render(t, &AuditLog{Entries: f.audit}, true), a.Key))
}

func TestWaitEndsInForceOrTimesOut(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	lagging := []command.Process{{Name: "entry-1", Role: "entry", Zone: "hall", Revision: 6}}
	f.lagging = [][]command.Process{lagging, lagging}
	is.Equal(mustRun(t, newTestSession(f), "wait for 10s").(*InForce).Revision, uint64(7))
	for range 100 {
		f.lagging = append(f.lagging, lagging)
	}
	_, err := newTestSession(f).Execute(context.Background(), "wait revision 7 for 2s")
	var late *NotInForceError
	is.True(errors.As(err, &late))
	is.Equal(late.Lagging, lagging)
	is.True(strings.Contains(err.Error(), "entry-1 (entry, zone hall) has revision 6"))
}

func TestHistoryListsTheNewest(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	s := newTestSession(f)
	for range 3 {
		mustRun(t, s, "take zone hall out")
	}
	is.Equal(len(mustRun(t, s, "history").(*AuditLog).Entries), 3)
	newest := mustRun(t, s, "history limit 1").(*AuditLog).Entries
	is.Equal(newest[0].Revision, uint64(10))
	is.Equal(mustRun(t, s, "history from 9 limit 1").(*AuditLog).Entries[0].Revision, uint64(9))
}

func TestScriptStopsAtItsFirstFailure(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	count := 0
	emit := func(Result) error { count++; return nil }
	script := "# maintenance\n\ntake zone hall out\ntake zone hell out\nbring zone hall in\n"
	err := newTestSession(f).RunScript(context.Background(), strings.NewReader(script), emit)
	var fault *StatementError
	is.True(errors.As(err, &fault))
	is.Equal(fault.Line, 4)
	is.Equal(fault.Column, 11)
	is.Equal(count, 1)
	is.Equal(f.view.Document.Zones["hall"].State, config.Out)
}

func TestScriptWithAnInvalidStatementRunsNothing(t *testing.T) {
	is := is.New(t)
	f := newFakeControl()
	err := newTestSession(f).RunScript(context.Background(), strings.NewReader("take zone hall out\ntake zone hall"), nil)
	is.True(strings.HasPrefix(err.Error(), "line 2, column 16: "))
	is.Equal(len(f.sent), 0)
}

func TestComplete(t *testing.T) {
	names := namesInView(&newFakeControl().view)
	tests := []struct{ line, want string }{
		{"ta", "take"},
		{"take ", "zone endpoint"},
		{"take zone ", "annex hall"},
		{"take zone h", "hall"},
		{"TAKE ZONE hall ", "out"},
		{"show endpoints where st", "state"},
		{"show endpoints where state = c", "cold"},
		{"show endpoints where zone = hall ", "and"},
		{"load model scribe on e", "e1 e2"},
		{"set route read to model scribe accounts notary, ", "notary"},
		{"set route read to service ", "capsules"},
		{"take nothing ", ""},
		{`take zone "ha`, ""},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			is := is.New(t)
			words, _ := Complete(test.line, names)
			is.Equal(strings.Join(words, " "), test.want)
		})
	}
}
