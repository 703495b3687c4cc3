package operator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// sortByName sorts rows by their first column: numbers by value and text by compareNames.
func sortByName(rows [][]value) {
	slices.SortStableFunc(rows, func(a, b []value) int {
		left, ok := a[0].(string)
		if !ok {
			return cmp.Compare(a[0].(float64), b[0].(float64))
		}
		return compareNames(left, b[0].(string))
	})
}

// compareNames compares names by their text and then by the number at their end, so that
// "scribe-9" comes before "scribe-10".
func compareNames(a, b string) int {
	aText, aNumber := splitNumber(a)
	bText, bNumber := splitNumber(b)
	return cmp.Or(strings.Compare(aText, bText), cmp.Compare(aNumber, bNumber), strings.Compare(a, b))
}

// splitNumber splits a name into its text and the number at its end. A name without a number
// or with one above 64 bits is returned whole, with the number zero.
func splitNumber(name string) (string, uint64) {
	text := strings.TrimRight(name, "0123456789")
	number, err := strconv.ParseUint(name[len(text):], 10, 64)
	if err != nil {
		return name, 0
	}
	return text, number
}
