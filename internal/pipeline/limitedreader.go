package pipeline

import (
	"errors"
	"io"

	"github.com/levertide/levertide/internal/httpconn"
)

// limitedReader bounds the bytes read for a head; it does not limit bodies.
type limitedReader struct {
	source  io.Reader
	limited bool
	left    int
	// lines follows the part of a head that is read while it is parsed; nil at other times.
	lines *httpconn.HeadLines
}

// errTooLong ends the reading of a head that is too long.
var errTooLong = errors.New("request head is too long")

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	if l.lines != nil {
		l.lines.Follow(p[:n])
	}
	return n, err
}
