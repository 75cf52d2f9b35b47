package manifest

import "strings"

// maxTypos is the largest edit distance at which a word is suggested.
const maxTypos = 2

// suggest returns a hint that names the first allowed word that given resembles,
// or lists all allowed words.
func suggest(words []string, given string) string {
	for _, word := range words {
		if editDistance(strings.ToLower(word), strings.ToLower(given)) <= maxTypos {
			return "did you mean " + word + "?"
		}
	}
	return "one of " + strings.Join(words, ", ")
}

// editDistance returns the Levenshtein distance of two words. For a word longer
// than longest bytes it returns longest, without computing the distance.
func editDistance(a, b string) int {
	const longest = 32
	if len(a) > longest || len(b) > longest {
		return longest
	}
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := range len(a) {
		current := make([]int, len(b)+1)
		current[0] = i + 1
		for j := range len(b) {
			replaced := previous[j]
			if a[i] != b[j] {
				replaced++
			}
			current[j+1] = min(replaced, previous[j+1]+1, current[j]+1)
		}
		previous = current
	}
	return previous[len(b)]
}
