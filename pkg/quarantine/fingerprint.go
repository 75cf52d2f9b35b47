package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// FingerprintSize is the size of a Fingerprint, in bytes.
const FingerprintSize = 16

// Fingerprint tells requests apart: two of the same method, host, target, credentials
// and body have the same one. It is a part of a SHA-256 digest, so that no caller can
// make a request that has the fingerprint of another caller's.
type Fingerprint [FingerprintSize]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String has written, or the bytes themselves.
func ParseFingerprint(encoded []byte) (f Fingerprint, ok bool) {
	switch len(encoded) {
	case FingerprintSize:
		copy(f[:], encoded)
		return f, true
	case hex.EncodedLen(FingerprintSize):
		_, err := hex.Decode(f[:], encoded)
		return f, err == nil
	}
	return f, false
}

// Request is what of a request makes it the same one when it comes again.
type Request struct {
	Method, Host string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Credentials are the values of the headers by which a caller says who it is.
	Credentials []string
	// Body is the body or, of a long one, its beginning.
	Body []byte
	// BodyLength is the length of the whole body in bytes; -1 when it is not known.
	BodyLength int64
}

// Fingerprint returns the fingerprint of the request.
func (r Request) Fingerprint() Fingerprint {
	digest := sha256.New()
	var buffer []byte
	for _, text := range append([]string{r.Method, r.Host, r.Target}, r.Credentials...) {
		buffer = binary.AppendUvarint(buffer, uint64(len(text)))
		buffer = append(buffer, text...)
	}
	buffer = binary.AppendUvarint(buffer, uint64(len(r.Body)))
	buffer = binary.AppendVarint(buffer, r.BodyLength)
	// Writing to a hash never fails.
	_, _ = digest.Write(buffer)
	_, _ = digest.Write(r.Body)
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}
