package operator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// condition compares the values of a column with a given value of the column's kind.
type condition struct {
	// column is the index of the column.
	column int
	// operator is =, !=, <, <=, > or >=.
	operator string
	want     value
}

func checkCondition(t *table, c *Condition) (condition, error) {
	index := slices.IndexFunc(t.columns, func(col column) bool { return strings.EqualFold(col.name, c.Column.Text) })
	if index < 0 {
		names := make([]string, len(t.columns))
		for i, col := range t.columns {
			names[i] = col.name
		}
		hint := suggestion(c.Column.Text, names)
		return condition{}, faultAt(c.Column, "no column %q%s; columns: %s", c.Column.Text, hint, strings.Join(names, ", "))
	}
	want, err := parseValue(t.columns[index].kind, c.Value)
	if err != nil {
		return condition{}, err
	}
	checked := condition{column: index, operator: c.Operator, want: want}
	if !checked.ordered() && checked.operator != "=" && checked.operator != "!=" {
		return condition{}, faultAt(c.Value, "column %q is compared by = and != only", c.Column.Text)
	}
	return checked, nil
}

// parseValue converts a word to a value that can be compared with a column of kind k. For a list
// this is the text of one item.
func parseValue(k kind, n Name) (value, error) {
	switch k {
	case number:
		v, err := strconv.ParseFloat(n.Text, 64)
		if err != nil {
			return nil, faultAt(n, "want a number, found %q", n.Text)
		}
		return v, nil
	case size:
		v, err := parseBytes(n)
		return float64(v), err
	case duration:
		v, err := time.ParseDuration(n.Text)
		if err != nil {
			return nil, faultAt(n, "want a duration such as 30s, found %q", n.Text)
		}
		return v, nil
	case boolean:
		switch strings.ToLower(n.Text) {
		case "yes", "true":
			return true, nil
		case "no", "false":
			return false, nil
		}
		return nil, faultAt(n, "want yes or no, found %q", n.Text)
	}
	return n.Text, nil
}

// ordered reports whether the values have an order, so that <, <=, > and >= are allowed.
func (c condition) ordered() bool {
	switch c.want.(type) {
	case float64, time.Duration:
		return true
	}
	return false
}

// matches reports whether a row satisfies the condition. A list satisfies = if it contains the
// value.
func (c condition) matches(row []value) bool {
	got := row[c.column]
	if items, ok := got.([]string); ok {
		return slices.Contains(items, c.want.(string)) == (c.operator == "=")
	}
	switch want := c.want.(type) {
	case float64:
		return c.matchesComparison(cmp.Compare(got.(float64), want))
	case time.Duration:
		return c.matchesComparison(cmp.Compare(got.(time.Duration), want))
	}
	return (got == c.want) == (c.operator == "=")
}

// matchesComparison reports whether the operator accepts the result of cmp.Compare.
func (c condition) matchesComparison(order int) bool {
	switch c.operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}
