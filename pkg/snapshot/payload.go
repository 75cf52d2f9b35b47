package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"github.com/levertide/levertide/pkg/model"
)

// MaxPayloadBytes is the largest decompressed payload, in bytes.
const MaxPayloadBytes = 16 << 20

// compressionWindow is the distance, in bytes, over which the compressor finds
// repetitions. It bounds the memory of compressor and decompressor.
const compressionWindow = 1 << 20

// compressor and decompressor are shared: both are safe for concurrent use.
var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

// payload is the encoded part of a delta: all but the fields of its header.
type payload struct {
	Upserts []json.RawMessage `json:"upserts,omitempty"`
	Removed []model.Key       `json:"removed,omitempty"`
}

// Encode returns the compressed list of upserts and removed keys, and nil when
// the delta is empty. The header fields are not part of it. It fails with
// ErrTooLarge.
func (d Delta) Encode() ([]byte, error) {
	if d.Empty() {
		return nil, nil
	}
	content := payload{Upserts: make([]json.RawMessage, 0, len(d.Upserts)), Removed: d.Removed}
	for _, resource := range d.Upserts {
		encoded, _ := model.Encode(resource)
		content.Upserts = append(content.Upserts, encoded)
	}
	plain, err := json.Marshal(content)
	if err != nil {
		return nil, ErrMalformedDelta.New("a resource cannot be encoded")
	}
	if len(plain) > MaxPayloadBytes {
		return nil, ErrTooLarge.New("the payload takes %d bytes, the limit is %d", len(plain), MaxPayloadBytes)
	}
	return compressor.EncodeAll(plain, nil), nil
}

// DecodeDelta returns header, which identifies the base and the target of a delta,
// with the changes that the payload lists. An empty payload lists none. It fails
// with ErrTooLarge or ErrMalformedDelta.
func DecodeDelta(header Delta, compressed []byte) (Delta, error) {
	header.Upserts, header.Removed = nil, nil
	if len(compressed) == 0 {
		return header, nil
	}
	content, err := decodePayload(compressed)
	if err != nil {
		return Delta{}, err
	}
	header.Upserts = make([]model.Resource, 0, len(content.Upserts))
	for _, encoded := range content.Upserts {
		resource, err := model.Decode(encoded)
		if err != nil {
			return Delta{}, ErrMalformedDelta.Wrap(err, "a changed resource is malformed")
		}
		header.Upserts = append(header.Upserts, resource)
	}
	header.Removed = content.Removed
	return header, nil
}

func decodePayload(compressed []byte) (payload, error) {
	plain, err := decompressor.DecodeAll(compressed, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) {
		return payload{}, ErrTooLarge.New("the payload takes more than %d bytes", MaxPayloadBytes)
	}
	if err != nil {
		return payload{}, ErrMalformedDelta.New("the payload cannot be decompressed")
	}
	var content payload
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&content); err != nil {
		return payload{}, ErrMalformedDelta.New("the payload is not a list of changes")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return payload{}, ErrMalformedDelta.New("data follows the list of changes")
	}
	return content, nil
}

func newCompressor() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false),
		zstd.WithEncoderDictRaw(dictionaryID, []byte(dictionary)),
	)
	if err != nil {
		panic(fmt.Sprintf("snapshot: options of the compressor: %v", err))
	}
	return encoder
}

func newDecompressor() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxPayloadBytes),
		zstd.WithDecoderDictRaw(dictionaryID, []byte(dictionary)),
	)
	if err != nil {
		panic(fmt.Sprintf("snapshot: options of the decompressor: %v", err))
	}
	return decoder
}
