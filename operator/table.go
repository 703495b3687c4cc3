package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// kind determines how the values of a column are compared and printed.
type kind uint8

const (
	text kind = iota
	number
	size // in bytes
	duration
	boolean
	list
)

// column is one column of a table.
type column struct {
	name string
	kind kind
}

// value is the value of a cell. Its type depends on the kind of the column: string, float64 for
// number and size, time.Duration, bool or []string.
type value any

// Table is the answer to a show statement.
type Table struct {
	columns []column
	rows    [][]value
}

var _ Result = (*Table)(nil)

// WriteText writes the table with aligned columns.
func (t *Table) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, c := range t.columns {
		writeCell(tw, strings.ToUpper(c.name), i == len(t.columns)-1)
	}
	for _, row := range t.rows {
		for i, v := range row {
			writeCell(tw, t.columns[i].kind.format(v), i == len(row)-1)
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	_, err := fmt.Fprintf(w, "(%s)\n", plural(len(t.rows), "row"))
	return errors.Wrap(err, "write table")
}

// writeCell writes a cell, or "-" if it is empty. The last cell ends the line.
func writeCell(w io.Writer, s string, last bool) {
	end := "\t"
	if last {
		end = "\n"
	}
	if s == "" {
		s = "-"
	}
	_, _ = io.WriteString(w, s+end)
}

// MarshalJSON encodes the rows as a list of objects. Durations are in milliseconds and sizes in
// bytes.
func (t *Table) MarshalJSON() ([]byte, error) {
	var b strings.Builder
	b.WriteString("[")
	for i, row := range t.rows {
		if i > 0 {
			b.WriteString(",")
		}
		if err := t.writeObject(&b, row); err != nil {
			return nil, err
		}
	}
	b.WriteString("]")
	return []byte(b.String()), nil
}

func (t *Table) writeObject(b *strings.Builder, row []value) error {
	b.WriteString("{")
	for i, v := range row {
		if i > 0 {
			b.WriteString(",")
		}
		raw, err := json.Marshal(jsonValue(v))
		if err != nil {
			return errors.Wrap(err, "encode cell")
		}
		fmt.Fprintf(b, "%q:%s", t.columns[i].jsonName(), raw)
	}
	b.WriteString("}")
	return nil
}

// jsonValue returns the JSON value of a cell: milliseconds for a duration, and an empty list
// instead of null for a nil list.
func jsonValue(v value) any {
	switch v := v.(type) {
	case time.Duration:
		return v.Milliseconds()
	case []string:
		return append([]string{}, v...)
	}
	return v
}

// jsonName returns the column's name in JSON, which has the unit of sizes and durations as a
// suffix.
func (c column) jsonName() string {
	switch c.kind {
	case size:
		return c.name + "_bytes"
	case duration:
		return c.name + "_ms"
	}
	return c.name
}

// format returns the text of a value for operators.
func (k kind) format(v value) string {
	switch v := v.(type) {
	case string:
		return v
	case float64:
		if k == size {
			return formatBytes(v)
		}
		return formatNumber(v)
	case time.Duration:
		return v.Round(time.Millisecond).String()
	case bool:
		if v {
			return "yes"
		}
		return "no"
	case []string:
		return strings.Join(v, ", ")
	}
	return fmt.Sprint(v)
}

// formatBytes returns a size in the largest decimal unit that is not above it, cut off to one
// decimal place.
func formatBytes(v float64) string {
	units := []struct {
		suffix string
		bytes  float64
	}{{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}}
	for _, u := range units {
		if v >= u.bytes {
			return formatNumber(math.Floor(v/u.bytes*10)/10) + u.suffix
		}
	}
	return formatNumber(v) + "B"
}

// formatNumber returns a number as text without an exponent.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
