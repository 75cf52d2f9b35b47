package slotqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTurn queues one request and gives another one its slot, with many tenants and
// many waiting requests.
func BenchmarkTurn(b *testing.B) {
	const slots, tenants = 12, 1000
	for _, waiting := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := New(slots)
			now := time.Now()
			var names [tenants]string
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
			}
			request := func(n int) Request {
				return Request{
					Rank: 3*(n%5) + 1, Tenant: names[n*7919%tenants], Work: 100 * time.Millisecond,
					Due: now.Add(time.Hour + time.Duration(n)*time.Microsecond), LatestStart: now.Add(24 * time.Hour),
				}
			}
			enter := func(n int) {
				if _, err := q.enter(request(n), now); err != nil {
					b.Fatal(err)
				}
			}
			for n := range slots + waiting {
				enter(n)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				Permit{queue: q, entry: q.running[n%len(q.running)]}.Release(true)
				enter(n)
			}
		})
	}
}

// BenchmarkRefusal has a fully occupied worker refuse requests.
func BenchmarkRefusal(b *testing.B) {
	q := New(12)
	now := time.Now()
	for range 12 {
		if _, err := q.enter(Request{Rank: 1, LatestStart: now}, now); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := q.Check(Request{Rank: 1, Work: time.Second, LatestStart: now}); err == nil {
			b.Fatal("admitted")
		}
	}
}
