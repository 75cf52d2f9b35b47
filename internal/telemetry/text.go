package telemetry

import "strings"

// longestText bounds the text of a field that others decide, in bytes: an error may quote what a
// worker has sent.
const longestText = 1 << 10

// bounded returns a text that is cut after longestText, with a mark where it was.
func bounded(text string) string {
	if len(text) <= longestText {
		return text
	}
	return strings.ToValidUTF8(text[:longestText], "") + " ..."
}

// errorText returns the bounded text of an error; empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return bounded(err.Error())
}
