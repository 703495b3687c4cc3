package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryproxy/rosemaryproxy/wire"
)

// registrations returns a full report of n endpoints.
func registrations(n int) *report {
	m := &report{Full: true}
	for i := range n {
		e := direct(fmt.Sprintf("i-%d", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), 5, false)
		m.Sessions = append(m.Sessions, sessionReport{Key: roleEndpoint + "/" + e.Name, Name: e.Name, Role: roleEndpoint, Endpoint: &e})
	}
	return m
}

// receive decodes the messages of a report as another replica does.
func receive(t *testing.T, messages [][]byte) *report {
	var m *report
	for i, data := range messages {
		part := &report{}
		is.New(t).NoErr(wire.UnmarshalAnyText(data, part))
		is.New(t).True(len(data) <= maxReportBytes)
		is.New(t).Equal(part.More, i < len(messages)-1)
		m = joinParts(m, part)
	}
	return m
}

// One record that could not be decoded or was too large ended all reports of a replica, again and again, and no log
// line named it.
func TestOneBadRecordEndsAllReports(t *testing.T) {
	tests := map[string]struct {
		spoil func(m *report)
		names string // what the log line names
	}{
		"name of an endpoint is not UTF-8":  {func(m *report) { m.Sessions[1].Endpoint.Name = "i-\xff\xfe" }, `session or registration "endpoint/i-1"`},
		"key of an endpoint is not UTF-8":   {func(m *report) { m.Sessions[1].Key = "endpoint/\xff" }, `session or registration "endpoint/\xff"`},
		"departed endpoint is not UTF-8":    {func(m *report) { m.Departed = []departureReport{{Name: "\xff"}} }, `departure of "\xff"`},
		"account in a demand is not UTF-8":  {func(m *report) { m.Demands = []demandReport{{Process: "e", Wanted: []wire.Share{{Account: "\xc3("}}}} }, `demand of "e"`},
		"end of a session is not UTF-8":     {func(m *report) { m.Closed = []string{"a\xc3("} }, `end of "a\xc3("`},
		"an endpoint is too large":          {func(m *report) { m.Sessions[1].Endpoint.Adapters = []string{strings.Repeat("a", maxReportBytes)} }, `session or registration "endpoint/i-1"`},
		"all are sound":                     {func(*report) {}, ""},
		"all together need several reports": {func(m *report) { *m = *registrations(30_000) }, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := registrations(5)
			test.spoil(m)
			var named []string
			messages, err := m.encode(func(record string, err error) {
				is.True(err != nil)
				named = append(named, record)
			})
			is.NoErr(err)
			got := receive(t, messages)
			is.True(got.Full)
			is.Equal(strings.Join(named, ", "), test.names)
			is.Equal(got.records(), m.records()-len(named))
			is.Equal(got.Sessions[0].Name, "i-0")
			is.Equal(got.Sessions[len(got.Sessions)-1].Name, m.Sessions[len(m.Sessions)-1].Name)
		})
	}
}

// A replica of an earlier version reports endpoints whose names are not UTF-8: the others that it reports are listed.
func TestUnreadableNameOfAnEarlierVersionHidesTheOthers(t *testing.T) {
	is := is.New(t)
	m := registrations(2)
	bad := direct("i-\xff", "10.0.9.9:80", 5, false)
	m.Sessions = append(m.Sessions, sessionReport{Key: "endpoint/i-\xff", Name: bad.Name, Role: roleEndpoint, Endpoint: &bad})
	to, from := newTable(start, testGrace), newRemote(2, nil)
	to.addRemote(from)
	to.report(start, from, m)
	is.Equal(len(to.endpoints()), 2)
	is.True(!to.register(start, bad, 1))
}
