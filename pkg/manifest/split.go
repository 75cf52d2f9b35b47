package manifest

import "bytes"

// documentText is the text of one document and the line of the file it starts on.
type documentText struct {
	text []byte
	line int
}

// splitDocuments splits a file at its "---" lines, which are document markers
// wherever they occur. The documents are parsed separately, so that one which is
// not valid YAML does not hide the faults of the others.
func splitDocuments(content []byte) []documentText {
	content = bytes.TrimPrefix(content, []byte("\ufeff"))
	current := documentText{line: 1}
	var documents []documentText
	for line := 1; len(content) > 0; line++ {
		end := bytes.IndexByte(content, '\n') + 1
		if end == 0 {
			end = len(content)
		}
		if isDocumentMarker(content[:end]) && len(current.text) > 0 {
			documents = append(documents, current)
			current = documentText{line: line}
		}
		current.text = append(current.text, content[:end]...)
		content = content[end:]
	}
	return append(documents, current)
}

func isDocumentMarker(line []byte) bool {
	rest, found := bytes.CutPrefix(line, []byte("---"))
	return found && (len(rest) == 0 || bytes.IndexByte([]byte(" \t\r\n"), rest[0]) >= 0)
}
