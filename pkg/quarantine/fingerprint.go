package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// FingerprintSize is the size of a Fingerprint, in bytes.
const FingerprintSize = 16

// Fingerprint identifies a request: requests with the same method, host, target,
// credentials and body have the same fingerprint. It is a part of a SHA-256 digest, so
// that no caller can make a request that has the fingerprint of another caller's request.
type Fingerprint [FingerprintSize]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String, or the raw bytes of a fingerprint.
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

// Request holds the parts of a request that identify it when it is sent again.
type Request struct {
	Method, Host string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Credentials are the values of the headers that identify the caller.
	Credentials []string
	// Body is the body, or the beginning of a long one.
	Body []byte
	// BodyLength is the length of the complete body in bytes; -1 when it is not known.
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
