package versionstore

import (
	"context"
	"slices"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store"
)

// listThreshold is the number of missing resources above which listing all
// stored resources in one request is cheaper than fetching them in batches.
const listThreshold = 4 * store.MaxTransactionOperations

// recordsPerRequest bounds the size of a response that holds version records.
const recordsPerRequest = 8

// ReadVersion returns the record of one version, or ErrVersionNotFound.
func (v *VersionStore) ReadVersion(ctx context.Context, version rollout.Version) (VersionRecord, error) {
	record, _, err := v.readVersion(ctx, version)
	return record, err
}

func (v *VersionStore) readVersion(ctx context.Context, version rollout.Version) (VersionRecord, uint64, error) {
	found, _, err := v.store.Get(ctx, v.versionKey(version), store.ReadOptions{Consistent: true})
	if errorx.IsOfType(err, store.ErrNotFound) {
		return VersionRecord{}, 0, ErrVersionNotFound.New("the store holds no version %d", version)
	}
	if err != nil {
		return VersionRecord{}, 0, err
	}
	record, err := decodeRecord(found.Value)
	return record, found.ModifyIndex, err
}

// ListVersions returns the records of at most limit versions in the store,
// newest first. A negative limit returns all of them.
func (v *VersionStore) ListVersions(ctx context.Context, limit int) ([]VersionRecord, error) {
	keys, err := v.store.ListKeys(ctx, v.config.Prefix+versionDirectory)
	if err != nil {
		return nil, err
	}
	slices.Reverse(keys)
	if limit >= 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	return readRecords(ctx, v.store, keys)
}

// readRecords reads version records in batches; records removed in the meantime are left out.
func readRecords(ctx context.Context, from store.Store, keys []string) ([]VersionRecord, error) {
	var records []VersionRecord
	for batch := range slices.Chunk(keys, recordsPerRequest) {
		found, err := from.GetMany(ctx, batch, true)
		if err != nil {
			return nil, err
		}
		for _, item := range found {
			record, err := decodeRecord(item.Value)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
	}
	return records, nil
}

// LoadSnapshot returns the complete snapshot of a version. Resources that base
// holds with the same content are reused instead of fetched; base may be nil.
func (v *VersionStore) LoadSnapshot(ctx context.Context, version rollout.Version, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	record, err := v.ReadVersion(ctx, version)
	if err != nil {
		return nil, err
	}
	resources, missing := reuseFromBase(base, record.Resources)
	fetched, err := v.fetch(ctx, missing)
	if err != nil {
		return nil, err
	}
	loaded, err := snapshot.New(version, append(resources, fetched...))
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "the resources of version %d do not form a valid snapshot", version)
	}
	if loaded.Digest() != record.Snapshot {
		return nil, ErrCorrupt.New("the snapshot of version %d does not match the digest in its record", version)
	}
	return loaded, nil
}

// reuseFromBase splits references into the resources that base holds with the
// same digest and the references that have to be fetched.
func reuseFromBase(base *snapshot.Snapshot, references []ResourceReference) (held []model.Resource, missing []ResourceReference) {
	if base == nil {
		return nil, references
	}
	for _, reference := range references {
		digest, found := base.ResourceDigest(reference.Key)
		if !found || digest != reference.Digest {
			missing = append(missing, reference)
			continue
		}
		resource, _ := base.Resource(reference.Key)
		held = append(held, resource)
	}
	return held, missing
}

func (v *VersionStore) fetch(ctx context.Context, references []ResourceReference) ([]model.Resource, error) {
	values, err := v.fetchValues(ctx, references)
	if err != nil {
		return nil, err
	}
	resources := make([]model.Resource, 0, len(references))
	for _, reference := range references {
		resource, err := decodeResource(reference, values[v.resourceKey(reference.Digest)])
		if err != nil {
			return nil, err
		}
		resources = append(resources, resource)
	}
	return resources, nil
}

// fetchValues returns the stored bytes of the referenced resources by store key.
func (v *VersionStore) fetchValues(ctx context.Context, references []ResourceReference) (map[string][]byte, error) {
	values := make(map[string][]byte, len(references))
	collect := func(records []store.Record, err error) error {
		for _, record := range records {
			values[record.Key] = record.Value
		}
		return err
	}
	if len(references) > listThreshold {
		return values, collect(v.store.List(ctx, v.config.Prefix+resourceDirectory))
	}
	keys := make([]string, len(references))
	for i, reference := range references {
		keys[i] = v.resourceKey(reference.Digest)
	}
	for batch := range slices.Chunk(keys, store.MaxTransactionOperations) {
		if err := collect(v.store.GetMany(ctx, batch, true)); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func decodeResource(reference ResourceReference, value []byte) (model.Resource, error) {
	if model.DigestOf(value) != reference.Digest {
		return model.Resource{}, ErrCorrupt.New("the content of %s is missing or altered", reference.Key)
	}
	resource, err := model.Decode(value)
	if err != nil {
		return model.Resource{}, ErrCorrupt.Wrap(err, "the content of %s cannot be read", reference.Key)
	}
	if resource.Key != reference.Key {
		return model.Resource{}, ErrCorrupt.New("the content stored for %s belongs to %s", reference.Key, resource.Key)
	}
	return resource, nil
}
