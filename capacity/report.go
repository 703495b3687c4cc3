package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table is a table of measurements at increasing sizes.
type Table struct {
	Name string `json:"name"`
	// Method says what was measured and how.
	Method string `json:"method"`
	// X names the size, and Columns name the measured values with their units.
	X       string   `json:"x"`
	Columns []string `json:"columns"`
	Rows    []Row    `json:"rows"`
	// Fits are the lines fitted through the columns, in the same order.
	Fits []Fit `json:"fits"`
}

// Row holds the values measured at one size.
type Row struct {
	X      float64   `json:"x"`
	Values []float64 `json:"values"`
}

// Report holds the tables of one run.
type Report struct {
	Tables []*Table `json:"tables"`
}

// add appends a row.
func (t *Table) add(x float64, values ...float64) {
	t.Rows = append(t.Rows, Row{X: x, Values: values})
}

// fit fits a line through each column and replaces Fits.
func (t *Table) fit() error {
	t.Fits = nil
	for i, column := range t.Columns {
		points := make([]Point, 0, len(t.Rows))
		for _, r := range t.Rows {
			points = append(points, Point{X: r.X, Y: r.Values[i]})
		}
		line, err := Linear(points)
		if err != nil {
			return errors.Wrapf(err, "%s: %s", t.Name, column)
		}
		t.Fits = append(t.Fits, line)
	}
	return nil
}

// Write writes the table and its fits as text.
func (t *Table) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "\n%s\n%s\n", t.Name, t.Method); err != nil {
		return errors.Wrap(err, "write table")
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(out, "%s\t%s\t\n", t.X, strings.Join(t.Columns, "\t"))
	for _, r := range t.Rows {
		writeLine(out, fmt.Sprint(r.X), r.Values)
	}
	var slopes, intercepts, residuals []float64
	for _, f := range t.Fits {
		slopes = append(slopes, f.Slope)
		intercepts = append(intercepts, f.Intercept)
		residuals = append(residuals, f.Residual)
	}
	writeLine(out, "slope", slopes)
	writeLine(out, "at zero", intercepts)
	writeLine(out, "residual", residuals)
	return errors.Wrap(out.Flush(), "write table")
}

// writeLine writes a named row of values. It ignores errors, because w is a
// tabwriter.Writer, whose Flush returns them.
func writeLine(w io.Writer, name string, values []float64) {
	_, _ = fmt.Fprintf(w, "%s\t", name)
	for _, v := range values {
		_, _ = fmt.Fprintf(w, "%.4g\t", v)
	}
	_, _ = fmt.Fprintln(w)
}
