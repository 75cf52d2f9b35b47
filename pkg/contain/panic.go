package contain

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
)

// Kind says what kind of work has panicked.
type Kind string

// The kinds of work.
const (
	// Request is the handling of one request. Others go on.
	Request Kind = "request"
	// Input is the reading of one document, entry or message, of which nothing is taken.
	Input Kind = "input"
	// Part is a long-running part of the process.
	Part Kind = "part"
	// Task is work in the background of a part.
	Task Kind = "task"
)

const (
	// longestValue bounds the text of a panic's value, in bytes.
	longestValue = 1 << 10
	// stackFrames bounds the frames of a stack that are kept, the innermost first.
	stackFrames = 24
)

// Panic is a panic that was contained.
type Panic struct {
	Kind Kind
	// Where names the part, the listener or the input.
	Where string
	// Value is the panic's value as a text, and Stack the innermost frames, one a line. Both are
	// bounded.
	Value, Stack string
	// HalfChanged is set when state that other work shares may be half changed.
	HalfChanged bool
}

// Report is called with each panic that was contained, on the goroutine that has panicked. It must
// not block.
type Report func(Panic)

// newPanic describes a panic with a value that was recovered on this goroutine.
func newPanic(kind Kind, where string, value any) Panic {
	p := Panic{Kind: kind, Where: where, HalfChanged: kind == Part || kind == Task}
	var broken *Broken
	if err, ok := value.(error); ok && errors.As(err, &broken) {
		p.Value, p.Stack, p.HalfChanged = broken.value, broken.stack, true
		return p
	}
	p.Value, p.Stack = textOf(value), stack()
	return p
}

func textOf(value any) string {
	text := fmt.Sprint(value)
	if len(text) > longestValue {
		text = text[:longestValue] + " ..."
	}
	return strings.ToValidUTF8(text, "\uFFFD")
}

// stack returns the innermost frames of the goroutine, without those of the runtime and of this
// package.
func stack() string {
	const skipped = 2
	callers := make([]uintptr, 2*stackFrames)
	frames := runtime.CallersFrames(callers[:runtime.Callers(skipped, callers)])
	var text strings.Builder
	for kept := 0; kept < stackFrames; {
		frame, more := frames.Next()
		if !strings.HasPrefix(frame.Function, "runtime.") && !strings.Contains(frame.Function, "/pkg/contain.") {
			_, _ = fmt.Fprintf(&text, "%s %s:%d\n", frame.Function, fileOf(frame.File), frame.Line)
			kept++
		}
		if !more {
			break
		}
	}
	return text.String()
}

// fileOf returns the last two elements of a path.
func fileOf(path string) string {
	elements := strings.Split(path, "/")
	return strings.Join(elements[max(len(elements)-2, 0):], "/")
}
