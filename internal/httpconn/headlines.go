package httpconn

import "bytes"

// lineState is where in a head the next byte is.
type lineState int

const (
	lineFirst    lineState = iota // the first byte of an answer
	lineVersion                   // in the version of a status line
	lineStatus                    // before the status
	lineRest                      // in a line of which nothing more matters
	lineBegin                     // at the beginning of a line behind the first
	lineReturned                  // behind a carriage return that begins a line
	lineEnded                     // behind the head
)

// HeadLines follows the lines of a head as they are read: net/http joins a folded line to the one
// before it, so that it shows nowhere else. The zero value follows the heads of an answer, interim
// ones included.
type HeadLines struct {
	state lineState
	// interim is set while the head is that of an interim answer, which another one follows.
	interim bool
	// line is the number of the current line, from zero, and folded that of the first folded one.
	line, folded int
	// complete is set behind the final head.
	complete bool
}

// RequestLines returns the HeadLines of one request.
func RequestLines() HeadLines { return HeadLines{state: lineRest} }

// Folded returns the number of the first folded line, from one; zero when there is none. The first
// line of a head is not counted.
func (l *HeadLines) Folded() int { return l.folded }

// Follow is called with each part that is read, in turn.
func (l *HeadLines) Follow(p []byte) {
	for len(p) > 0 && l.state != lineEnded {
		if l.state != lineRest {
			l.step(p[0])
			p = p[1:]
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			return
		}
		l.state = lineBegin
		p = p[end+1:]
	}
}

// step follows one byte that is not within the rest of a line.
func (l *HeadLines) step(b byte) {
	switch {
	case l.state == lineFirst:
		l.first(b)
	case l.state == lineBegin && (b == ' ' || b == '\t'):
		l.folded, l.state = l.line+1, lineEnded
	case l.state == lineBegin && b == '\r':
		l.state = lineReturned
	case (l.state == lineBegin || l.state == lineReturned) && b == '\n':
		l.endHead()
	case l.state == lineBegin, l.state == lineReturned:
		l.line, l.state = l.line+1, lineRest
	case b == '\n':
		l.state = lineBegin
	case l.state == lineVersion && b == ' ':
		l.state = lineStatus
	case l.state == lineStatus && b != ' ':
		l.interim, l.state = b == '1', lineRest
	}
}

// first follows the first byte of an answer. Another than that of "HTTP" is within bytes that belong
// to none.
func (l *HeadLines) first(b byte) {
	l.state, l.line = lineVersion, 0
	if b != 'H' {
		l.state = lineEnded
	}
}

func (l *HeadLines) endHead() {
	if l.interim {
		l.interim, l.state = false, lineFirst
		return
	}
	l.complete, l.state = true, lineEnded
}
