package versionstore

import (
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store"
)

// content is a checked set of resources, ready to be written.
type content struct {
	references []ResourceReference
	values     map[model.Digest][]byte
	digest     model.Digest
}

// newContent checks the resources against the limits and encodes them.
func newContent(resources []model.Resource, config Config) (content, error) {
	if len(resources) == 0 {
		return content{}, ErrInvalidRequest.New("a version without resources is refused")
	}
	if len(resources) > config.MaxResources {
		return content{}, ErrTooLarge.New("%d resources exceed the limit of %d", len(resources), config.MaxResources)
	}
	whole, err := snapshot.New(0, resources)
	if err != nil {
		return content{}, ErrInvalidRequest.Wrap(err, "the resources are no valid set")
	}
	result := content{values: make(map[model.Digest][]byte, whole.Len()), digest: whole.Digest()}
	for resource := range whole.Resources() {
		value, digest := model.Encode(resource)
		if len(value) > config.MaxResourceBytes {
			return content{}, ErrTooLarge.New("%s takes %d bytes, the limit is %d", resource.Key, len(value), config.MaxResourceBytes)
		}
		result.references = append(result.references, ResourceReference{Key: resource.Key, Digest: digest})
		result.values[digest] = value
	}
	return result, nil
}

// writes returns the transactions that store what known does not hold yet.
func (v *VersionStore) writes(of content, known []ResourceReference) [][]store.Operation {
	stored := make(map[model.Digest]bool, len(known))
	for _, reference := range known {
		stored[reference.Digest] = true
	}
	var batches [][]store.Operation
	var batch []store.Operation
	size := 0
	for _, reference := range of.references {
		if stored[reference.Digest] {
			continue
		}
		stored[reference.Digest] = true
		operation := store.Operation{
			Verb:  store.VerbSet,
			Key:   v.resourceKey(reference.Digest),
			Value: of.values[reference.Digest],
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
