package settings

import (
	"sort"
	"strings"
)

// Nearest returns the name most like word, or "" when none is close enough to
// be what its writer meant.
func Nearest(word string, names []string) string {
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	best, least := "", len(word)/2+1
	for _, name := range sorted {
		if d := distance(strings.ToLower(word), strings.ToLower(name)); d < least {
			best, least = name, d
		}
	}
	return best
}

// distance returns the least count of single-byte edits that turn a into b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
