package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// maximumLineBytes bounds the length of one line of a log.
const maximumLineBytes = 1 << 20

// Line is one event of a log.
type Line struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  int            `json:"event"`
	Name   string         `json:"name"`
	Level  string         `json:"level"`
	Fields map[string]any `json:"fields"`
}

// text returns the value of a string field; empty when there is none.
func (l Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// readLines reads the events of a log. Text before the event in its line, such as the
// prefix that some log collectors add, is ignored, and so are lines that hold no event.
func readLines(source io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maximumLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parseLine(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parseLine(encoded []byte) (Line, bool) {
	var line Line
	if json.Unmarshal(encoded, &line) != nil || line.Event == 0 {
		return Line{}, false
	}
	if json.Unmarshal(encoded, &line.Fields) != nil {
		return Line{}, false
	}
	for _, name := range []string{"time", "node", "event", "name", "level", "message"} {
		delete(line.Fields, name)
	}
	return line, true
}

// sorted orders lines by time, and by node where the times are equal.
func sorted(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.Node, b.Node)
	})
	return lines
}
