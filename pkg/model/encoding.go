package model

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Encode returns the canonical encoding of a resource, which is JSON with the
// fields in the order of the types of this package, and its content address.
// The same resource always gives the same bytes. Text that is not valid UTF-8
// is stored with U+FFFD in place of each bad byte.
func Encode(resource Resource) ([]byte, Digest) {
	encoded := marshal(resource)
	if bytes.Contains(encoded, escapedReplacement) {
		encoded = marshalAgain(encoded)
	}
	return encoded, DigestOf(encoded)
}

// escapedReplacement is how the JSON library writes a byte that is not UTF-8.
// It writes U+FFFD itself differently, so one more pass is needed to get the
// encoding of the decoded resource.
var escapedReplacement = []byte(`\ufffd`)

func marshal(resource Resource) []byte {
	encoded, err := json.Marshal(resource)
	if err != nil {
		panic(fmt.Sprintf("model: plain data cannot be encoded: %v", err))
	}
	return encoded
}

func marshalAgain(encoded []byte) []byte {
	var resource Resource
	if err := json.Unmarshal(encoded, &resource); err != nil {
		panic(fmt.Sprintf("model: an encoding cannot be decoded: %v", err))
	}
	return marshal(resource)
}

// Decode reads a canonical encoding. It refuses with ErrMalformed whatever
// Encode would not have written: unknown fields, other spacing or order, a
// body that does not agree with the kind, or anything after the resource.
func Decode(encoded []byte) (Resource, error) {
	var resource Resource
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&resource); err != nil {
		return Resource{}, ErrMalformed.New("%s", describeDecodeError(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Resource{}, ErrMalformed.New("data follows the resource")
	}
	if err := resource.CheckShape(); err != nil {
		return Resource{}, err
	}
	again, _ := Encode(resource)
	if !bytes.Equal(again, encoded) {
		return Resource{}, ErrMalformed.New("the encoding of %s is not canonical", resource.Key)
	}
	return resource, nil
}

// describeDecodeError describes the error without repeating any value, which may be secret.
func describeDecodeError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return "field " + typeError.Field + " has the wrong type"
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return fmt.Sprintf("not JSON at byte %d", syntaxError.Offset)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "the encoding ends too early"
	}
	return "a field is unknown"
}

// CheckShape returns ErrMalformed unless exactly the body that the kind requires
// is set.
func (r Resource) CheckShape() error {
	bodies := 0
	for _, present := range []bool{r.Service != nil, r.Route != nil, r.Secret != nil, r.Tenant != nil, r.OutOfScope != nil} {
		if present {
			bodies++
		}
	}
	if bodies != 1 || !r.hasBodyOf(r.Key.Kind) {
		return ErrMalformed.New("the body of %s does not agree with its kind", r.Key)
	}
	return nil
}

func (r Resource) hasBodyOf(kind Kind) bool {
	switch kind {
	case KindService:
		return r.Service != nil
	case KindRoute:
		return r.Route != nil
	case KindSecret:
		return r.Secret != nil
	case KindTenant:
		return r.Tenant != nil
	case KindOutOfScope:
		return r.OutOfScope != nil
	default:
		return false
	}
}
