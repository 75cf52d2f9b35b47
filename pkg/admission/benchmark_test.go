package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/admission"
)

func BenchmarkAdmitRelease(b *testing.B) {
	gate := admission.New(admission.Options{Slots: 6})
	ctx := context.Background()
	result := admission.Result{Latency: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		permit, err := gate.Admit(ctx, admission.PriorityNormal)
		if err != nil {
			b.Fatal(err)
		}
		permit.Release(result)
	}
}

func BenchmarkAdmitReleaseParallel(b *testing.B) {
	gate := admission.New(admission.Options{Slots: 1024})
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, err := gate.Admit(ctx, admission.PriorityNormal)
			if err == nil {
				permit.Release(admission.Result{})
			}
		}
	})
}

func BenchmarkShed(b *testing.B) {
	gate := admission.New(admission.Options{Slots: 1, Queue: admission.NoQueue})
	ctx := context.Background()
	if _, err := gate.Admit(ctx, admission.PriorityNormal); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := gate.Admit(ctx, admission.PriorityNormal); err == nil {
			b.Fatal("admitted beyond the slots")
		}
	}
}
