package snapshot

import "github.com/levertide/levertide/pkg/model"

// Delta is the difference between two snapshots, a base and a target. Base zero with
// the digest of Empty stands for no snapshot: such a delta holds a complete snapshot.
type Delta struct {
	// Base and BaseDigest identify the snapshot that the delta starts from.
	Base       uint64
	BaseDigest model.Digest
	// Target and TargetDigest identify the snapshot that applying it must give.
	Target       uint64
	TargetDigest model.Digest
	// Upserts are the resources that are new or changed, in the order of keys.
	Upserts []model.Resource
	// Removed are the keys of resources that the target lacks, in order.
	Removed []model.Key
}

// Diff returns the delta from base to target. A nil base is Empty.
func Diff(base, target *Snapshot) Delta {
	base = orEmpty(base)
	delta := Delta{
		Base:         base.version,
		BaseDigest:   base.digest,
		Target:       target.version,
		TargetDigest: target.digest,
	}
	if base.digest == target.digest {
		return delta
	}
	delta.collect(base.entries, target.entries)
	return delta
}

// collect compares two sorted lists in one pass and records their differences.
func (d *Delta) collect(old, current []*entry) {
	for len(old) > 0 || len(current) > 0 {
		switch {
		case len(current) == 0 || (len(old) > 0 && old[0].key().Less(current[0].key())):
			d.Removed = append(d.Removed, old[0].key())
			old = old[1:]
		case len(old) == 0 || current[0].key().Less(old[0].key()):
			d.Upserts = append(d.Upserts, current[0].resource)
			current = current[1:]
		default:
			if old[0].digest != current[0].digest {
				d.Upserts = append(d.Upserts, current[0].resource)
			}
			old, current = old[1:], current[1:]
		}
	}
}

// Empty reports whether the delta changes nothing but the version number.
func (d Delta) Empty() bool { return len(d.Upserts) == 0 && len(d.Removed) == 0 }

// Apply returns the target snapshot, which shares all unchanged entries with base.
// A nil base is Empty. It fails with ErrBaseMismatch when the digest of base is not
// BaseDigest, with ErrDigestMismatch when the digest of the result is not
// TargetDigest, and as New does when the result would not be a valid snapshot. The
// version number of base is not compared: only its content matters.
func (d Delta) Apply(base *Snapshot) (*Snapshot, error) {
	base = orEmpty(base)
	if base.digest != d.BaseDigest {
		return nil, ErrBaseMismatch.New("delta from version %d does not start from the held content of version %d", d.Base, base.version)
	}
	if d.Empty() {
		return d.withTargetVersion(base)
	}
	changed, err := d.changedEntries(base)
	if err != nil {
		return nil, err
	}
	target, err := fromEntries(d.Target, d.merge(base.entries, changed))
	if err != nil {
		return nil, err
	}
	if target.digest != d.TargetDigest {
		return nil, ErrDigestMismatch.New("applying the delta to version %d gave content that differs from its target digest", d.Target)
	}
	return target, nil
}

// withTargetVersion applies an empty delta: it returns the content of base with the
// target's version number.
func (d Delta) withTargetVersion(base *Snapshot) (*Snapshot, error) {
	if d.TargetDigest != base.digest {
		return nil, ErrDigestMismatch.New("an empty delta to version %d has a target digest that differs from the content of its base", d.Target)
	}
	return base.WithVersion(d.Target), nil
}

// changedEntries returns sorted entries for the upserts, and reuses entries of base
// with the same content.
func (d Delta) changedEntries(base *Snapshot) ([]*entry, error) {
	changed := make([]*entry, 0, len(d.Upserts))
	for _, resource := range d.Upserts {
		if err := resource.CheckShape(); err != nil {
			return nil, err
		}
		item := newEntry(resource)
		if index, found := findEntry(base.entries, item.key()); found && base.entries[index].digest == item.digest {
			item = base.entries[index]
		}
		changed = append(changed, item)
	}
	return changed, sortEntries(changed)
}

// merge returns the sorted union of both lists without the old entries whose keys
// were removed; of two entries with the same key the changed one stays.
func (d Delta) merge(old, changed []*entry) []*entry {
	removed := make(map[model.Key]struct{}, len(d.Removed))
	for _, key := range d.Removed {
		removed[key] = struct{}{}
	}
	merged := make([]*entry, 0, len(old)+len(changed))
	for len(old) > 0 {
		if len(changed) > 0 && !old[0].key().Less(changed[0].key()) {
			if old[0].key() == changed[0].key() {
				old = old[1:]
			}
			merged = append(merged, changed[0])
			changed = changed[1:]
			continue
		}
		if _, isRemoved := removed[old[0].key()]; !isRemoved {
			merged = append(merged, old[0])
		}
		old = old[1:]
	}
	return append(merged, changed...)
}

func orEmpty(snapshot *Snapshot) *Snapshot {
	if snapshot == nil {
		return Empty()
	}
	return snapshot
}
