package intake

import (
	"context"
	"io"
)

const (
	// firstBuffer is the size of the buffer for content of unknown length, in bytes. It doubles
	// when it is full.
	firstBuffer = 4 << 10
	// endProbe is how much room is left for the read that finds the end.
	endProbe = 1
)

// ReadUpTo reads up to limit bytes into memory that it reserves before it takes it, and reports
// whether that was all. The length is that of the content, or -1 when it is not known. An error is
// an ErrFull, or that of the source.
func (h *Hold) ReadUpTo(ctx context.Context, source io.Reader, length, limit int64) (content []byte, complete bool, err error) {
	size := min(int64(firstBuffer), limit)
	if length >= 0 && length <= limit {
		size = length + endProbe
	}
	if err := h.Reserve(ctx, size); err != nil {
		return nil, false, err
	}
	content = make([]byte, 0, size)
	for {
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, true, nil
		}
		if err != nil || int64(len(content)) >= limit && length != limit {
			return content, false, err
		}
		if len(content) == cap(content) {
			if content, err = h.grow(ctx, content, limit); err != nil {
				return content, false, err
			}
		}
	}
}

// grow returns a buffer of twice the size with the same content, and gives back the memory of the
// former one. With an error it returns the former one.
func (h *Hold) grow(ctx context.Context, content []byte, limit int64) ([]byte, error) {
	former := int64(cap(content))
	size := min(2*former, limit+endProbe)
	if err := h.Reserve(ctx, size); err != nil {
		return content, err
	}
	grown := make([]byte, len(content), size)
	copy(grown, content)
	h.Release(former)
	return grown, nil
}
