package hosted

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// maximumDocument bounds the size of a document, in bytes.
	maximumDocument = 8 << 20
	// smallestWindow is the minimum window of the compressor, in bytes.
	smallestWindow = 64 << 10
	// dictionaryID marks content that was compressed with a previous document as the dictionary.
	dictionaryID = 1
)

// compress returns compressed content; with a dictionary, what both have in common costs almost
// nothing. Coders are created for each document, since documents are few and a coder that is kept
// occupies memory all the time.
func compress(content, dictionary []byte) []byte {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowFor(len(content) + len(dictionary))),
		zstd.WithLowerEncoderMem(true),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		panic(fmt.Sprintf("hosted: options of the compressor: %v", err))
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(content, nil)
}

// windowFor returns the window size for content and dictionary together: the window must cover
// both, and a larger one costs memory.
func windowFor(size int) int {
	window := smallestWindow
	for window < size && window < maximumDocument {
		window *= 2
	}
	return window
}

// decompress undoes compress with the same dictionary.
func decompress(compressed, dictionary []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maximumDocument),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		panic(fmt.Sprintf("hosted: options of the decompressor: %v", err))
	}
	defer decoder.Close()
	return decoder.DecodeAll(compressed, nil)
}
