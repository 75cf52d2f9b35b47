package httpconn

import (
	"errors"
	"net/textproto"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("httpconn").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrInvalidAnswer is the type of errors for answers that are not HTTP. They name a field, and never
// its value, which may be a secret.
var ErrInvalidAnswer = namespace.NewType("invalid_answer")

// ErrCut is the type of errors for an answer that ends with its connection and is not known to be whole:
// the request behind it could not be sent, or the other side has reset the connection.
var ErrCut = namespace.NewType("answer_cut")

// IsInvalidAnswer reports whether an error, or one that it wraps, is of the type ErrInvalidAnswer.
func IsInvalidAnswer(err error) bool {
	var typed *errorx.Error
	return errors.As(err, &typed) && typed.IsOfType(ErrInvalidAnswer)
}

// errMalformed is the type of errors for lines that net/http cannot read.
var errMalformed = namespace.NewType("malformed_line")

// NameOnly returns the error of a request without the line of a head that net/http could not read: only
// the name in the line is kept, since the value may be a secret.
func NameOnly(err error) error {
	if malformed := malformedLine(err); malformed != nil {
		return malformed
	}
	return err
}

// malformedLine returns the error for a line that net/http could not read; nil when err is another one.
func malformedLine(err error) error {
	var unread textproto.ProtocolError
	if !errors.As(err, &unread) {
		return nil
	}
	_, line, _ := strings.Cut(string(unread), `"`)
	name, _, found := strings.Cut(line, ":")
	if !found {
		return errMalformed.New("a line has no colon")
	}
	return errMalformed.New("a line cannot be read: \"%.*s\"", nameInError, name)
}
