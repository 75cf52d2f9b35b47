package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/balance"
)

func benchmarkBalancer(count int) *balance.Balancer {
	balancer := balance.New(balance.Options{Zone: "z0", Region: "r"})
	endpoints := make([]balance.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = balance.Endpoint{ID: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%4), Region: "r"}
	}
	balancer.Update(endpoints)
	return balancer
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{7, 75, 310} {
		b.Run(fmt.Sprintf("endpoints=%d", count), func(b *testing.B) {
			balancer := benchmarkBalancer(count)
			result := balance.Result{Outcome: balance.Answered, Latency: time.Millisecond, Load: 0.4, LoadKnown: true}
			b.ReportAllocs()
			for b.Loop() {
				pick, err := balancer.Pick()
				if err != nil {
					b.Fatal(err)
				}
				pick.Done(result)
			}
		})
	}
}

func BenchmarkPickExcluding(b *testing.B) {
	balancer := benchmarkBalancer(7)
	b.ReportAllocs()
	for b.Loop() {
		pick, err := balancer.Pick("n0", "n4")
		if err != nil {
			b.Fatal(err)
		}
		pick.Done(balance.Result{})
	}
}

func BenchmarkPickParallel(b *testing.B) {
	balancer := benchmarkBalancer(75)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			pick, err := balancer.Pick()
			if err == nil {
				pick.Done(balance.Result{})
			}
		}
	})
}
