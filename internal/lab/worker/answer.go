package worker

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"math/rand/v2"
)

// HTTP headers that the lab's callers and workers exchange.
const (
	// RequestIDHeader is the identifier of a request, unique for each call.
	RequestIDHeader = "Lab-Request-Id"
	// DigestHeader in an answer is the digest of the request's identifier and body.
	DigestHeader = "Lab-Digest"
	// WorkerHeader in an answer is the name of the worker.
	WorkerHeader = "Lab-Worker"
	// AnswerSizeHeader in a request is the requested size of the answer body in bytes.
	AnswerSizeHeader = "Lab-Answer-Size"
)

// DefaultAnswerSize is the length of an answer in bytes when the request states none.
const DefaultAnswerSize = 512

// Digest is the digest of a request.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Digester computes the Digest of a request while its body is written to it.
type Digester struct{ hash hash.Hash }

// NewDigester returns a digester for a request.
func NewDigester(requestID string) *Digester {
	d := &Digester{hash: sha256.New()}
	_, _ = io.WriteString(d.hash, requestID+"\n")
	return d
}

// Write adds a part of the body to the digest. It never fails.
func (d *Digester) Write(part []byte) (int, error) { return d.hash.Write(part) }

// Sum returns the digest of the part of the request written so far.
func (d *Digester) Sum() Digest {
	var digest Digest
	d.hash.Sum(digest[:0])
	return digest
}

// AnswerTo returns the body of the answer to the request with the given digest.
func AnswerTo(digest Digest, size int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(digest), size)
}

// compareBuffer is the number of bytes compared in one step.
const compareBuffer = 16 << 10

// VerifyAnswer reads a body to its end and compares it with the answer of the
// given size to the request with the given digest. It fails with ErrAnswer, or
// with the error of the body.
func VerifyAnswer(body io.Reader, digest Digest, size int64) error {
	expected := AnswerTo(digest, size)
	got := make([]byte, min(compareBuffer, size+1))
	want := make([]byte, len(got))
	total := int64(0)
	for {
		count, err := body.Read(got)
		matched, _ := io.ReadFull(expected, want[:count])
		if matched < count || string(got[:count]) != string(want[:count]) {
			return ErrAnswer.New("differs within %d bytes after byte %d", count, total)
		}
		total += int64(count)
		if err == io.EOF {
			return checkLength(total, size)
		}
		if err != nil {
			return err
		}
	}
}

func checkLength(total, size int64) error {
	if total != size {
		return ErrAnswer.New("ended after %d of %d bytes", total, size)
	}
	return nil
}
