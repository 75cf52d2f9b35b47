package versionstore_test

import (
	"fmt"
	"testing"

	"github.com/levertide/levertide/pkg/store/memory"
)

// benchmarkServices is the number of service names; each has two resources.
const benchmarkServices = 100

func BenchmarkProposeAndCommitOneChange(b *testing.B) {
	b.ReportAllocs()
	versions := open(memory.New(memory.Options{}))
	fixed := names(benchmarkServices)
	for i := 0; b.Loop(); i++ {
		applyID := fmt.Sprintf("apply-%d", i)
		changed := append(fixed[:len(fixed):len(fixed)], fmt.Sprintf("changed-%d", i))
		proposed, err := versions.Propose(background, request(applyID, versions.NewestHead().Committed, changed...))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := versions.Commit(background, proposed.Version, applyID); err != nil {
			b.Fatal(err)
		}
		if _, err := versions.Sweep(background); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(versions.Requests())/float64(b.N), "requests/op")
}

func BenchmarkLoadSnapshotOverBase(b *testing.B) {
	b.ReportAllocs()
	versions := open(memory.New(memory.Options{}))
	for i, set := range [][]string{names(benchmarkServices), names(benchmarkServices + 1)} {
		applyID := fmt.Sprintf("apply-%d", i)
		proposed, err := versions.Propose(background, request(applyID, versions.NewestHead().Committed, set...))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := versions.Commit(background, proposed.Version, applyID); err != nil {
			b.Fatal(err)
		}
	}
	base, err := versions.LoadSnapshot(background, 1, nil)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := versions.LoadSnapshot(background, 2, base); err != nil {
			b.Fatal(err)
		}
	}
}
