// Package spelling suggests corrections of misspelled words. Nearest takes a word and the list of known words and returns
// the one at the smallest edit distance. The parsers of settings, inventories and other configuration files call it for
// their "did you mean" messages.
package spelling

import "strings"

// Nearest returns the word of known at the smallest Distance from text, ignoring case, or "" if none is within
// maxDistance edits. A known word is skipped if its length does not exceed its distance. Of equally near words the first
// one is returned.
func Nearest(text string, known []string, maxDistance int) string {
	best, least := "", maxDistance+1
	for _, k := range known {
		if d := Distance(strings.ToLower(text), strings.ToLower(k)); d < least && d < len(k) {
			best, least = k, d
		}
	}
	return best
}

// Distance returns the edit distance between a and b in bytes: the least number of insertions, deletions, substitutions
// and swaps of adjacent bytes that turn one into the other.
func Distance(a, b string) int {
	d := make([][]int, len(a)+1)
	for i := range d {
		d[i] = make([]int, len(b)+1)
		d[i][0] = i
	}
	for j := range d[0] {
		d[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			d[i][j] = min(d[i-1][j]+1, d[i][j-1]+1, d[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d[i][j] = min(d[i][j], d[i-2][j-2]+1)
			}
		}
	}
	return d[len(a)][len(b)]
}
