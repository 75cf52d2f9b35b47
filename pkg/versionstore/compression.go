package versionstore

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// maxRecordBytes bounds a version record once it is decompressed.
	maxRecordBytes = 4 << 20
	// compressionWindow is the size of the match window in bytes. It bounds the
	// memory of compressor and decompressor.
	compressionWindow = 256 << 10
)

// compressor and decompressor are shared: both are safe for concurrent use.
var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

func newCompressor() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow),
		zstd.WithLowerEncoderMem(true),
	)
	if err != nil {
		panic(fmt.Sprintf("versionstore: invalid zstd compressor options: %v", err))
	}
	return encoder
}

func newDecompressor() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxRecordBytes),
	)
	if err != nil {
		panic(fmt.Sprintf("versionstore: invalid zstd decompressor options: %v", err))
	}
	return decoder
}

// compress returns the stored form of an encoded version record.
func compress(plain []byte) []byte { return compressor.EncodeAll(plain, nil) }

// decompress returns ErrCorrupt for data that compress did not write, and for a
// record larger than maxRecordBytes.
func decompress(stored []byte) ([]byte, error) {
	plain, err := decompressor.DecodeAll(stored, nil)
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "a version record cannot be decompressed")
	}
	return plain, nil
}
