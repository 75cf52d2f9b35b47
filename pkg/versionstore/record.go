package versionstore

import (
	"encoding/json"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
)

// ResourceReference identifies one resource of a version and its content.
type ResourceReference struct {
	Key    model.Key
	Digest model.Digest
}

// VersionRecord describes one version. It is written once, together with the
// head that proposes it, and once more if the version is rejected.
type VersionRecord struct {
	Number   rollout.Version
	ApplyID  string
	Operator string
	// CreatedAt is the writer's wall clock, shown to people only.
	CreatedAt time.Time
	// Base is the version that the operator's files were based on.
	Base      rollout.Version
	Resources []ResourceReference
	// Snapshot is the digest of the complete snapshot.
	Snapshot model.Digest
	// Rejection is why the version was aborted; nil if it was not.
	Rejection *rollout.Rejection
}

type encodedReference struct {
	Kind   model.Kind `json:"kind"`
	Name   string     `json:"name"`
	Digest string     `json:"digest"`
}

type encodedRecord struct {
	Number    rollout.Version    `json:"number"`
	ApplyID   string             `json:"applyId"`
	Operator  string             `json:"operator"`
	CreatedAt time.Time          `json:"createdAt"`
	Base      rollout.Version    `json:"base"`
	Resources []encodedReference `json:"resources"`
	Snapshot  string             `json:"snapshot"`
	Rejection *rollout.Rejection `json:"rejection,omitempty"`
}

// encodeRecord encodes a record as JSON and compresses it, because most of it is
// hexadecimal digests and field names.
func encodeRecord(record VersionRecord) ([]byte, error) {
	encoded := encodedRecord{
		Number:    record.Number,
		ApplyID:   record.ApplyID,
		Operator:  record.Operator,
		CreatedAt: record.CreatedAt,
		Base:      record.Base,
		Resources: make([]encodedReference, len(record.Resources)),
		Snapshot:  record.Snapshot.String(),
		Rejection: record.Rejection,
	}
	for i, reference := range record.Resources {
		encoded.Resources[i] = encodedReference{
			Kind:   reference.Key.Kind,
			Name:   reference.Key.Name,
			Digest: reference.Digest.String(),
		}
	}
	value, err := json.Marshal(encoded)
	if err != nil {
		return nil, ErrInvalidRequest.Wrap(err, "version %d cannot be encoded", record.Number)
	}
	if len(value) > maxRecordBytes {
		return nil, ErrTooLarge.New("the record of version %d takes %d bytes, the limit is %d", record.Number, len(value), maxRecordBytes)
	}
	return compress(value), nil
}

func decodeRecord(value []byte) (VersionRecord, error) {
	plain, err := decompress(value)
	if err != nil {
		return VersionRecord{}, err
	}
	var encoded encodedRecord
	if err := json.Unmarshal(plain, &encoded); err != nil {
		return VersionRecord{}, ErrCorrupt.Wrap(err, "a version record cannot be read")
	}
	snapshotDigest, err := parseDigest(encoded.Snapshot)
	if err != nil {
		return VersionRecord{}, err
	}
	record := VersionRecord{
		Number:    encoded.Number,
		ApplyID:   encoded.ApplyID,
		Operator:  encoded.Operator,
		CreatedAt: encoded.CreatedAt,
		Base:      encoded.Base,
		Resources: make([]ResourceReference, len(encoded.Resources)),
		Snapshot:  snapshotDigest,
		Rejection: encoded.Rejection,
	}
	for i, reference := range encoded.Resources {
		digest, err := parseDigest(reference.Digest)
		if err != nil {
			return VersionRecord{}, err
		}
		record.Resources[i] = ResourceReference{
			Key:    model.Key{Kind: reference.Kind, Name: reference.Name},
			Digest: digest,
		}
	}
	return record, nil
}

func encodeHead(head rollout.Head) ([]byte, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return nil, ErrInvalidRequest.Wrap(err, "the head cannot be encoded")
	}
	return value, nil
}

func decodeHead(value []byte) (rollout.Head, error) {
	var head rollout.Head
	if err := json.Unmarshal(value, &head); err != nil {
		return rollout.Head{}, ErrCorrupt.Wrap(err, "the head cannot be read")
	}
	return head, nil
}
