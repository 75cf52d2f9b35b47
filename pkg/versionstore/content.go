package versionstore

import (
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store"
)

// content is a validated and encoded set of resources, ready to be written.
type content struct {
	references []ResourceReference
	values     map[model.Digest][]byte
	digest     model.Digest
}

// newContent checks the resources against the limits and encodes them.
func newContent(resources []model.Resource, config Config) (content, error) {
	if len(resources) == 0 {
		return content{}, ErrInvalidRequest.New("a version needs at least one resource")
	}
	if len(resources) > config.MaxResources {
		return content{}, ErrTooLarge.New("%d resources exceed the limit of %d", len(resources), config.MaxResources)
	}
	complete, err := snapshot.New(0, resources)
	if err != nil {
		return content{}, ErrInvalidRequest.Wrap(err, "the resources do not form a valid snapshot")
	}
	result := content{values: make(map[model.Digest][]byte, complete.Len()), digest: complete.Digest()}
	for resource := range complete.Resources() {
		value, digest := model.Encode(resource)
		if len(value) > config.MaxResourceBytes {
			return content{}, ErrTooLarge.New("%s takes %d bytes, the limit is %d", resource.Key, len(value), config.MaxResourceBytes)
		}
		result.references = append(result.references, ResourceReference{Key: resource.Key, Digest: digest})
		result.values[digest] = value
	}
	return result, nil
}

// missingWrites returns the transactions, within the size limits of the store,
// that write the resources of set whose content known does not reference.
func (v *VersionStore) missingWrites(set content, known []ResourceReference) [][]store.Operation {
	stored := make(map[model.Digest]bool, len(known))
	for _, reference := range known {
		stored[reference.Digest] = true
	}
	var batches [][]store.Operation
	var batch []store.Operation
	size := 0
	for _, reference := range set.references {
		if stored[reference.Digest] {
			continue
		}
		stored[reference.Digest] = true
		operation := store.Operation{
			Verb:  store.VerbSet,
			Key:   v.resourceKey(reference.Digest),
			Value: set.values[reference.Digest],
		}
		full := len(batch) == store.MaxTransactionOperations || size+operation.EncodedSize() > store.MaxTransactionBytes
		if full {
			batches, batch, size = append(batches, batch), nil, 0
		}
		batch = append(batch, operation)
		size += operation.EncodedSize()
	}
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}
