package manifest

import "strings"

// maximumTypos is how many letters may differ for a word to be suggested.
const maximumTypos = 2

// oneOf returns a hint that suggests the word which given resembles, or lists
// all words that are allowed.
func oneOf(words []string, given string) string {
	for _, word := range words {
		if editDistance(strings.ToLower(word), strings.ToLower(given)) <= maximumTypos {
			return "did you mean " + word + "?"
		}
	}
	return "one of " + strings.Join(words, ", ")
}

// editDistance counts the insertions, deletions and replacements between two
// words, and gives up on long ones.
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
