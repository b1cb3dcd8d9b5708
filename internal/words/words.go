// Package words finds the known word that a mistyped one was most likely meant to be.
package words

import "strings"

// Nearest is the known word at the least distance from text, at most most, "" if none is as near.
func Nearest(text string, known []string, most int) string {
	best, least := "", most+1
	for _, k := range known {
		if d := Distance(strings.ToLower(text), strings.ToLower(k)); d < least && d < len(k) {
			best, least = k, d
		}
	}
	return best
}

// Distance is the number of insertions, deletions, substitutions and swaps of neighbours between two words.
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
