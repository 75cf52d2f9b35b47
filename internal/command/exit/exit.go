// Package exit defines the exit codes of levertide and how errors map to them.
package exit

import (
	"errors"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Code is the exit code of the program.
type Code int

// The exit codes. Scripts rely on them: docs/COMMANDS.md lists them.
const (
	// Accepted: the command succeeded.
	Accepted Code = 0
	// Rejected: the set has faults, and no part of it was put in force.
	Rejected Code = 1
	// Conflict: the base is no longer the committed version, or another version is
	// being rolled out. Nothing was written.
	Conflict Code = 2
	// Unknown: it is not known yet whether the set will be in force.
	Unknown Code = 3
	// Unreachable: the store or the nodes cannot be reached. Nothing was written.
	Unreachable Code = 4
	// Usage: the command line is wrong. Nothing was done.
	Usage Code = 64
)

// String returns the name of the outcome in JSON output.
func (c Code) String() string {
	switch c {
	case Accepted:
		return "accepted"
	case Rejected:
		return "rejected"
	case Conflict:
		return "conflict"
	case Unknown:
		return "unknown"
	case Unreachable:
		return "unreachable"
	case Usage:
		return "usage"
	default:
		return "invalid"
	}
}

// Failure is the error that ends a command with a code. Its message is empty when
// the command has written its report already.
type Failure struct {
	Code    Code
	Message string
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }

// UsageError returns the error for a wrong command line.
func UsageError(message string) error { return &Failure{Code: Usage, Message: message} }

// CodeOfWrite returns the code for an error of a request that may have written. It is
// Unknown unless the request is known to have had no effect.
func CodeOfWrite(err error) Code {
	switch {
	case err == nil:
		return Accepted
	case isOneOf(err, versionstore.ErrConflict, versionstore.ErrRolloutInProgress):
		return Conflict
	case isFault(err):
		return Rejected
	case store.NotWritten(err):
		return Unreachable
	default:
		return Unknown
	}
}

// CodeOfRead returns the code for an error of a request that writes nothing.
func CodeOfRead(err error) Code {
	switch {
	case err == nil:
		return Accepted
	case isFault(err) || errorx.IsOfType(err, versionstore.ErrVersionNotFound):
		return Rejected
	default:
		return Unreachable
	}
}

// isFault reports whether an error is permanent: a retry fails again.
func isFault(err error) bool {
	return isOneOf(err, versionstore.ErrTooLarge, versionstore.ErrInvalidRequest, versionstore.ErrCorrupt,
		versionstore.ErrStoreRegressed, store.ErrTooLarge, store.ErrRefused)
}

func isOneOf(err error, types ...*errorx.Type) bool {
	for _, candidate := range types {
		if errorx.IsOfType(err, candidate) {
			return true
		}
	}
	return false
}

// CodeOf returns the exit code of the program for the error of a command.
func CodeOf(err error) Code {
	var failure *Failure
	switch {
	case err == nil:
		return Accepted
	case errors.As(err, &failure):
		return failure.Code
	default:
		return Unknown
	}
}
