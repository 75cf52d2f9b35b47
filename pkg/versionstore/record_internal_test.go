package versionstore

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
)

func sampleRecord(resources int) VersionRecord {
	record := VersionRecord{
		Number:    7,
		ApplyID:   "apply-7",
		Operator:  "anna",
		Base:      6,
		Resources: make([]ResourceReference, resources),
		Snapshot:  model.DigestOf([]byte("snapshot")),
		Rejection: &rollout.Rejection{Version: 7, Reason: "refused"},
	}
	for i := range record.Resources {
		name := fmt.Sprintf("service-%04d", i)
		record.Resources[i] = ResourceReference{
			Key:    model.Key{Kind: model.KindService, Name: name},
			Digest: model.DigestOf([]byte(name)),
		}
	}
	return record
}

func TestRecordRoundTrip(t *testing.T) {
	const resources = 1000
	record := sampleRecord(resources)
	value, err := encodeRecord(record)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeRecord(value)
	if err != nil || !reflect.DeepEqual(decoded, record) {
		t.Fatalf("decoded to %+v, %v", decoded, err)
	}
	const bytesPerResource = 50
	if len(value) > resources*bytesPerResource {
		t.Errorf("%d resources take %d bytes", resources, len(value))
	}
}

func TestDamagedRecordIsCorrupt(t *testing.T) {
	value, err := encodeRecord(sampleRecord(3))
	if err != nil {
		t.Fatal(err)
	}
	damaged := [][]byte{
		nil,
		[]byte("{}"),
		value[:len(value)-1],
		compress([]byte("{}")),
		compress([]byte("not JSON")),
		compress([]byte(`{"snapshot":"00"}`)),
		compress(bytes.Repeat([]byte(" "), maxRecordBytes+1)),
	}
	for i, stored := range damaged {
		if _, err := decodeRecord(stored); !errorx.IsOfType(err, ErrCorrupt) {
			t.Errorf("case %d gave %v", i, err)
		}
	}
}
