package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
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
	err := eachLine(source, func(text []byte) {
		if line, ok := parseLine(text); ok {
			lines = append(lines, line)
		}
	})
	return lines, err
}

// eachLine calls a function with each line of a log. Of one that is longer than maximumLineBytes, as
// in the text of a crash, it gets the first part.
func eachLine(source io.Reader, take func(text []byte)) error {
	reader := bufio.NewReaderSize(source, maximumLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		take(bytes.TrimRight(text, "\r\n"))
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// parseLine returns the event of a line; false when there is none.
func parseLine(text []byte) (Line, bool) {
	var line Line
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	encoded := text[start:]
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
