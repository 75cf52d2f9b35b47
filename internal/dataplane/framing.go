package dataplane

import (
	"bytes"
	"strconv"
)

// framingPart is the part of a request that a framingCheck is in.
type framingPart uint8

const (
	partRequestLine framingPart = iota
	partHeader
	partBody
	partChunkSize
	partChunkData
	partChunkEnd
	partTrailer
	// partUnchecked: the server refuses the request by itself and closes.
	partUnchecked
)

const (
	// keptLineBytes is how much of a line is looked at. Lines that decide on
	// framing are shorter.
	keptLineBytes = 128
	// versionLength is the length of "HTTP/1.1".
	versionLength = 8
	version11     = "HTTP/1.1"
	blanks        = " \t"
	hexadecimal   = 16
	decimal       = 10
	lengthBits    = 63
)

var (
	carriageReturn = []byte{'\r'}
	colon          = []byte{':'}
	semicolon      = []byte{';'}
	lengthName     = []byte("Content-Length")
	codingName     = []byte("Transfer-Encoding")
	chunkedCoding  = []byte("chunked")
)

// framingCheck follows the bytes of a connection of HTTP/1 requests and finds
// those whose length different programs may read differently: both
// Content-Length and Transfer-Encoding, several lengths, folded header lines,
// lines that end without a carriage return, spaces before a colon, and
// malformed chunks. net/http accepts some of these. It keeps one line at most.
type framingCheck struct {
	part     framingPart
	line     []byte // the beginning of the line, without its end
	tail     [versionLength]byte
	carriage bool  // the byte before this one was a carriage return
	left     int64 // of the body or the chunk

	current  bool // the request line of HTTP/1.1 was seen
	length   int64
	lengths  int
	codings  int
	chunked  bool
	endBytes int
}

// feed takes the next bytes. It reports false when a request must be refused.
func (f *framingCheck) feed(data []byte) bool {
	for len(data) > 0 {
		switch f.part {
		case partUnchecked:
			return true
		case partBody, partChunkData:
			data = f.skip(data)
		case partChunkEnd:
			if !f.chunkEnd(data[0]) {
				return false
			}
			data = data[1:]
		default:
			rest, ok := f.readLine(data)
			if !ok {
				return false
			}
			data = rest
		}
	}
	return true
}

// between reports whether the connection is before or in the head of a request.
func (f *framingCheck) between() bool { return f.part == partRequestLine || f.part == partHeader }

func (f *framingCheck) skip(data []byte) []byte {
	n := min(int64(len(data)), f.left)
	f.left -= n
	if f.left == 0 {
		f.bodyPartEnded()
	}
	return data[n:]
}

func (f *framingCheck) bodyPartEnded() {
	if f.part == partBody {
		f.nextRequest()
		return
	}
	f.part = partChunkEnd
	f.endBytes = 0
}

// chunkEnd takes a byte of the line end after a chunk.
func (f *framingCheck) chunkEnd(character byte) bool {
	const lineEnd = "\r\n"
	if character != lineEnd[f.endBytes] {
		return false
	}
	f.endBytes++
	if f.endBytes == len(lineEnd) {
		f.part = partChunkSize
	}
	return true
}

// readLine takes bytes up to the end of a line and then the line.
func (f *framingCheck) readLine(data []byte) (rest []byte, ok bool) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		f.keep(data)
		return nil, true
	}
	f.keep(data[:end])
	if !f.carriage {
		return nil, false
	}
	ok = f.endOfLine()
	f.line = f.line[:0]
	f.tail = [versionLength]byte{}
	f.carriage = false
	return data[end+1:], ok
}

// keep adds a part of a line. A carriage return at its end is held back until
// it is known whether the line ends there.
func (f *framingCheck) keep(part []byte) {
	if len(part) == 0 {
		return
	}
	if f.carriage {
		f.add(carriageReturn)
	}
	f.carriage = part[len(part)-1] == '\r'
	if f.carriage {
		part = part[:len(part)-1]
	}
	f.add(part)
}

func (f *framingCheck) add(part []byte) {
	room := keptLineBytes - len(f.line)
	f.line = append(f.line, part[:min(room, len(part))]...)
	if f.part != partRequestLine {
		return
	}
	last := part[max(len(part)-versionLength, 0):]
	copy(f.tail[:], f.tail[len(last):])
	copy(f.tail[versionLength-len(last):], last)
}

func (f *framingCheck) endOfLine() bool {
	switch f.part {
	case partRequestLine:
		return f.requestLine()
	case partHeader:
		return f.headerLine()
	case partChunkSize:
		return f.chunkSize()
	default: // partTrailer
		if len(f.line) == 0 {
			f.nextRequest()
		}
		return true
	}
}

func (f *framingCheck) requestLine() bool {
	if len(f.line) == 0 {
		return true // some callers send an empty line after a body
	}
	f.current = string(f.tail[:]) == version11
	f.part = partHeader
	return true
}

func (f *framingCheck) headerLine() bool {
	if len(f.line) == 0 {
		return f.endOfHead()
	}
	if f.line[0] == ' ' || f.line[0] == '\t' {
		return false
	}
	name, value, found := bytes.Cut(f.line, colon)
	if !found {
		return len(f.line) == keptLineBytes // a long name; the server judges it
	}
	if bytes.ContainsAny(name, blanks) {
		return false
	}
	switch {
	case bytes.EqualFold(name, lengthName):
		return f.contentLength(string(bytes.Trim(value, blanks)))
	case bytes.EqualFold(name, codingName):
		f.codings++
		f.chunked = bytes.EqualFold(bytes.Trim(value, blanks), chunkedCoding)
	}
	return true
}

func (f *framingCheck) contentLength(value string) bool {
	f.lengths++
	length, err := strconv.ParseUint(value, decimal, lengthBits)
	f.length = int64(length)
	return err == nil && f.lengths == 1 && len(f.line) < keptLineBytes
}

// endOfHead decides how the body is framed.
func (f *framingCheck) endOfHead() bool {
	switch {
	case f.codings > 0 && (f.lengths > 0 || !f.current):
		return false
	case f.codings > 0 && (f.codings > 1 || !f.chunked):
		f.part = partUnchecked
	case f.chunked:
		f.part = partChunkSize
	case f.length > 0:
		f.part = partBody
		f.left = f.length
	default:
		f.nextRequest()
	}
	return true
}

func (f *framingCheck) chunkSize() bool {
	if len(f.line) == keptLineBytes {
		return false
	}
	digits, _, _ := bytes.Cut(f.line, semicolon)
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, blanks)), hexadecimal, lengthBits)
	if err != nil {
		return false
	}
	f.left = int64(size)
	f.part = partChunkData
	if size == 0 {
		f.part = partTrailer
	}
	return true
}

func (f *framingCheck) nextRequest() {
	*f = framingCheck{line: f.line[:0]}
}
