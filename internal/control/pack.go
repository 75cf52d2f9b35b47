package control

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
)

// packThreshold is the number of members at which a list is compressed.
const packThreshold = 4

var (
	memberCompressor   = newMemberCompressor()
	memberDecompressor = newMemberDecompressor()
)

// packMembers returns either a plain list or a compressed one.
func packMembers(records []membership.Record) (plain []*controlpb.Member, packed []byte, err error) {
	messages := memberMessages(records)
	if len(messages) < packThreshold {
		return messages, nil, nil
	}
	encoded, err := proto.Marshal(&controlpb.MemberList{Members: messages})
	if err != nil {
		return nil, nil, ErrMalformed.Wrap(err, "members cannot be encoded")
	}
	return nil, memberCompressor.EncodeAll(encoded, nil), nil
}

// unpackMembers returns the members of a plain or compressed list.
func unpackMembers(plain []*controlpb.Member, packed []byte) ([]membership.Record, error) {
	if len(packed) == 0 {
		return memberRecords(plain), nil
	}
	encoded, err := memberDecompressor.DecodeAll(packed, nil)
	if err != nil {
		return nil, ErrMalformed.New("list of members cannot be decompressed")
	}
	var list controlpb.MemberList
	if err := proto.Unmarshal(encoded, &list); err != nil {
		return nil, ErrMalformed.New("list of members cannot be decoded")
	}
	if len(list.GetMembers()) > maximumMembers {
		return nil, ErrMalformed.New("list of %d members, above the limit", len(list.GetMembers()))
	}
	return memberRecords(list.GetMembers()), nil
}

func newMemberCompressor() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(zstd.MinWindowSize<<8),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false),
	)
	if err != nil {
		panic(fmt.Sprintf("control: options of the compressor: %v", err))
	}
	return encoder
}

func newMemberDecompressor() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maximumUnpackedBytes),
	)
	if err != nil {
		panic(fmt.Sprintf("control: options of the decompressor: %v", err))
	}
	return decoder
}
