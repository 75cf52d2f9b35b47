package versionstore

import (
	"context"
	"slices"
	"strconv"
	"strings"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// deletionsPerSweep leaves space for the two compare operations in each transaction.
const deletionsPerSweep = store.MaxTransactionOperations - 2

// SweepResult counts what a sweep removed.
type SweepResult struct {
	Versions  int
	Resources int
}

// Sweep removes old versions, and resources that no remaining version
// references, once more than Retain+SweepSlack versions are stored. It is meant
// for the coordinator, as background work: its requests have the lowest
// priority, and it stops with ErrConflict as soon as the head changes. It never
// removes what the head names, nor what a proposal in progress relies on: each
// of its transactions changes the sweep record, which every proposal compares.
func (v *VersionStore) Sweep(ctx context.Context) (SweepResult, error) {
	plan, err := v.planSweep(ctx)
	if err != nil {
		return SweepResult{}, err
	}
	var result SweepResult
	for batch := range slices.Chunk(plan.versions, deletionsPerSweep) {
		if err := v.sweepBatch(ctx, plan.headIndex, batch); err != nil {
			return result, err
		}
		result.Versions += len(batch)
	}
	for batch := range slices.Chunk(plan.resources, deletionsPerSweep) {
		if err := v.sweepBatch(ctx, plan.headIndex, batch); err != nil {
			return result, err
		}
		result.Resources += len(batch)
	}
	return result, nil
}

// sweepPlan lists the keys to remove as long as the modify index of the head is headIndex.
type sweepPlan struct {
	headIndex uint64
	versions  []string
	resources []string
}

func (v *VersionStore) planSweep(ctx context.Context) (sweepPlan, error) {
	state, err := v.readHead(ctx, store.ReadOptions{Consistent: true})
	if err != nil || state.head.Proposed != 0 {
		return sweepPlan{}, err
	}
	keys, err := v.housekeeping.ListKeys(ctx, v.config.Prefix+versionDirectory)
	if err != nil || len(keys) <= v.config.Retain+v.config.SweepSlack {
		return sweepPlan{}, err
	}
	kept, removed, err := v.splitVersions(keys, state.head)
	if err != nil {
		return sweepPlan{}, err
	}
	resources, err := v.unreferenced(ctx, kept)
	if err != nil {
		return sweepPlan{}, err
	}
	return sweepPlan{headIndex: state.modifyIndex, versions: removed, resources: resources}, nil
}

// splitVersions splits the keys, which are ordered by version number, into those
// to keep and those to remove.
func (v *VersionStore) splitVersions(keys []string, head rollout.Head) (kept, removed []string, err error) {
	newest := len(keys) - v.config.Retain
	for index, key := range keys {
		number, err := v.versionOfKey(key)
		if err != nil {
			return nil, nil, err
		}
		if index >= newest || number == head.Committed || number == head.Proposed {
			kept = append(kept, key)
			continue
		}
		removed = append(removed, key)
	}
	return kept, removed, nil
}

// unreferenced returns the keys of resources that none of the kept versions
// references. It fails when one of those versions cannot be read, since its
// resources would otherwise be removed.
func (v *VersionStore) unreferenced(ctx context.Context, kept []string) ([]string, error) {
	records, err := readRecords(ctx, v.housekeeping, kept)
	if err != nil {
		return nil, err
	}
	if len(records) != len(kept) {
		return nil, ErrConflict.New("versions were removed during the sweep")
	}
	referenced := make(map[string]bool)
	for _, record := range records {
		for _, reference := range record.Resources {
			referenced[v.resourceKey(reference.Digest)] = true
		}
	}
	keys, err := v.housekeeping.ListKeys(ctx, v.config.Prefix+resourceDirectory)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(keys, func(key string) bool { return referenced[key] }), nil
}

// sweepBatch removes keys unless the head has changed. It also changes the sweep
// record, so that proposals begun earlier start over.
func (v *VersionStore) sweepBatch(ctx context.Context, headIndex uint64, keys []string) error {
	count, index, err := v.readSweep(ctx)
	if err != nil {
		return err
	}
	operations := []store.Operation{
		{Verb: store.VerbCheckIndex, Key: v.headKey(), Index: headIndex},
		{Verb: store.VerbCompareAndSwap, Key: v.sweepKey(), Value: []byte(strconv.FormatUint(count+1, 10)), Index: index},
	}
	for _, key := range keys {
		operations = append(operations, store.Operation{Verb: store.VerbDelete, Key: key})
	}
	return v.housekeeping.Transact(ctx, operations)
}

// readSweep returns the number of batches swept so far and the modify index of
// the sweep record.
func (v *VersionStore) readSweep(ctx context.Context) (count, index uint64, err error) {
	records, err := v.housekeeping.GetMany(ctx, []string{v.sweepKey()}, true)
	if err != nil || len(records) == 0 {
		return 0, 0, err
	}
	count, err = strconv.ParseUint(strings.TrimSpace(string(records[0].Value)), 10, 64)
	if err != nil {
		return 0, 0, ErrCorrupt.Wrap(err, "the sweep record cannot be read")
	}
	return count, records[0].ModifyIndex, nil
}
