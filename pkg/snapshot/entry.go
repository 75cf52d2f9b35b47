package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"sort"

	"github.com/levertide/levertide/pkg/model"
)

// entry is one resource with its content address. Entries are shared between
// snapshots and never change.
type entry struct {
	resource model.Resource
	digest   model.Digest
}

func newEntry(resource model.Resource) *entry {
	_, digest := model.Encode(resource)
	return &entry{resource: resource, digest: digest}
}

func (e *entry) key() model.Key { return e.resource.Key }

// findEntry returns the index of key in sorted entries, or the index at which it
// would be inserted.
func findEntry(entries []*entry, key model.Key) (int, bool) {
	index := sort.Search(len(entries), func(i int) bool { return !entries[i].key().Less(key) })
	return index, index < len(entries) && entries[index].key() == key
}

// sortEntries orders entries by key and refuses two with the same key.
func sortEntries(entries []*entry) error {
	sort.Slice(entries, func(i, j int) bool { return entries[i].key().Less(entries[j].key()) })
	for i := 1; i < len(entries); i++ {
		if entries[i].key() == entries[i-1].key() {
			return ErrDuplicate.New("%s is declared twice", entries[i].key())
		}
	}
	return nil
}

// digestEntries hashes the sorted list of kinds, names and resource digests.
// Each name is preceded by its length, so that two different lists never give the
// same input to the hash.
func digestEntries(entries []*entry) model.Digest {
	hash := sha256.New()
	var buffer []byte
	for _, item := range entries {
		buffer = appendText(buffer[:0], string(item.key().Kind))
		buffer = appendText(buffer, item.key().Name)
		buffer = append(buffer, item.digest[:]...)
		_, _ = hash.Write(buffer)
	}
	var digest model.Digest
	hash.Sum(digest[:0])
	return digest
}

func appendText(buffer []byte, text string) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}
