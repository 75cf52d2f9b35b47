package sim

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trace hashes everything that has happened, so that two runs can be compared.
type trace struct {
	digest *xxhash.Digest
}

func newTrace() *trace { return &trace{digest: xxhash.New()} }

func (t *trace) record(at time.Duration, name, detail string) {
	var moment [8]byte
	binary.LittleEndian.PutUint64(moment[:], uint64(at))
	_, _ = t.digest.Write(moment[:])
	_, _ = t.digest.WriteString(name)
	_, _ = t.digest.WriteString(detail)
}

func (t *trace) sum() uint64 { return t.digest.Sum64() }
