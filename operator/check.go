package operator

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rosemaryproxy/rosemaryproxy/config"
	"github.com/rosemaryproxy/rosemaryproxy/control/command"
)

const (
	defaultHistoryLimit = 20
	defaultWaitTimeout  = 15 * time.Second
)

// CompiledStatement is a statement whose syntax and values are checked. Exactly one of query,
// history, wait and order is set.
type CompiledStatement struct {
	query   *tableQuery
	history *historyQuery
	wait    *waitQuery
	order   planner
	// explain is set if the effects of order are to be printed and nothing is to be sent.
	explain bool
	// expect is the revision after "expecting revision"; nil if the order has none.
	expect *uint64
}

// tableQuery selects the rows of a table that match all conditions.
type tableQuery struct {
	table *table
	where []condition
}

// historyQuery asks for up to Limit accepted orders: the first ones from revision From on, or
// the newest ones if From is nil. If From is set, a Limit of zero means no limit.
type historyQuery struct {
	From  *uint64
	Limit int
}

// waitQuery waits up to Timeout until Revision is applied in every process. Zero stands for
// the revision of the session's last accepted change or, if there is none, the current revision.
type waitQuery struct {
	Revision uint64
	Timeout  time.Duration
}

// planner is a checked order. Its plan method computes what the order changes in the
// configuration of v. The fault of an order that does not fit v is a *StatementError.
type planner interface {
	plan(v *command.View) (*Plan, error)
}

// Check converts the words of a statement to typed values. Its error is a *StatementError with
// the given source.
func Check(source string, s *Statement) (*CompiledStatement, error) {
	t, err := check(s)
	return t, withSource(err, source)
}

// withSource sets the source of a *StatementError in err's chain that has none.
func withSource(err error, source string) error {
	var fault *StatementError
	if errors.As(err, &fault) && fault.Source == "" {
		fault.Source = source
	}
	return err
}

func check(s *Statement) (*CompiledStatement, error) {
	switch {
	case s.Show != nil:
		return checkShow(s.Show)
	case s.History != nil:
		return checkHistory(s.History)
	case s.Wait != nil:
		return checkWait(s.Wait)
	case s.Explain != nil:
		t, err := checkOrder(&s.Explain.Order)
		if err != nil {
			return nil, err
		}
		t.explain = true
		return t, nil
	}
	return checkOrder(s.Order)
}

func checkShow(s *Show) (*CompiledStatement, error) {
	q := &tableQuery{table: tables[strings.ToLower(s.Table)]}
	for _, c := range s.Where {
		checked, err := checkCondition(q.table, c)
		if err != nil {
			return nil, err
		}
		q.where = append(q.where, checked)
	}
	return &CompiledStatement{query: q}, nil
}

func checkHistory(h *History) (*CompiledStatement, error) {
	query := &historyQuery{Limit: defaultHistoryLimit}
	if h.From != nil {
		from, err := parseNumber(*h.From, "a revision")
		if err != nil {
			return nil, err
		}
		query.From = &from
	}
	if h.Limit != nil {
		var err error
		if query.Limit, err = parseCount(*h.Limit); err != nil {
			return nil, err
		}
	}
	return &CompiledStatement{history: query}, nil
}

func checkWait(w *Wait) (*CompiledStatement, error) {
	query := &waitQuery{Timeout: defaultWaitTimeout}
	var err error
	if w.Revision != nil {
		if query.Revision, err = parseNumber(*w.Revision, "a revision"); err != nil {
			return nil, err
		}
	}
	if w.Timeout != nil {
		if query.Timeout, err = parseDuration(*w.Timeout); err != nil {
			return nil, err
		}
	}
	return &CompiledStatement{wait: query}, nil
}

func checkOrder(o *Order) (*CompiledStatement, error) {
	planner, err := checkAction(o)
	if err != nil {
		return nil, err
	}
	t := &CompiledStatement{order: planner}
	if o.Expected == nil {
		return t, nil
	}
	if !changesConfiguration(planner) {
		return nil, faultAt(o.Expected.Revision, "this order changes no configuration, so it takes no revision")
	}
	expect, err := parseNumber(o.Expected.Revision, "a revision")
	t.expect = &expect
	return t, err
}

// changesConfiguration reports whether an order changes the configuration. The other orders
// change what an engine serves or the replicas of control.
func changesConfiguration(p planner) bool {
	switch p.(type) {
	case *engineOrder, *replicaOrder:
		return false
	}
	return true
}

func checkAction(o *Order) (planner, error) {
	switch {
	case o.Take != nil:
		return checkService(o.Take.Kind, o.Take.Name, config.Out), nil
	case o.Bring != nil:
		return checkService(o.Bring.Kind, o.Bring.Name, config.In), nil
	case o.Load != nil:
		return checkEngine(o.Load.Kind, o.Load.Value, o.Load.Endpoint)
	case o.Engine != nil:
		return checkEngine(o.Engine.Kind, o.Engine.Value, o.Engine.Endpoint)
	case o.Route != nil:
		return checkRoute(o.Route)
	case o.Model != nil:
		return checkModel(o.Model)
	case o.Limits != nil:
		return checkLimits(o.Limits.Account, o.Limits.Limits, false)
	case o.Mark != nil:
		return checkMark(o.Mark)
	case o.Key != nil:
		return &addKeyOrder{account: o.Key.Account}, nil
	case o.DropKey != nil:
		return checkDropKey(o.DropKey)
	case o.Zone != nil:
		return checkAddZone(o.Zone)
	case o.Account != nil:
		return checkLimits(o.Account.Name, o.Account.Limits, true)
	case o.Drop != nil:
		return &dropOrder{kind: strings.ToLower(o.Drop.Kind), name: o.Drop.Name}, nil
	}
	return checkReplica(o.Replica)
}
