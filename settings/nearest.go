package settings

import (
	"sort"
	"strings"
)

// Nearest returns the name with the smallest edit distance to word, or "" if every distance
// is more than half the length of word. Case does not count. Of names at the same distance
// it returns the first in alphabetical order.
func Nearest(word string, names []string) string {
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	best, bestDistance := "", len(word)/2+1
	for _, name := range sorted {
		if d := distance(strings.ToLower(word), strings.ToLower(name)); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b: the smallest number of single-byte
// insertions, deletions and substitutions that turn a into b.
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
