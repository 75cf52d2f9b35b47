package ratelimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/store/ratelimit"
)

func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := ratelimit.New(memory.New(memory.Options{}), ratelimit.Options{RequestsPerSecond: 10, Burst: 5})
		start := time.Now()
		const burstAndTwoSeconds = 5 + 20
		for range burstAndTwoSeconds {
			list(t, limiter.Normal())
		}
		if elapsed := time.Since(start).Round(time.Millisecond); elapsed != 2*time.Second {
			t.Errorf("the requests took %v", elapsed)
		}
	})
}

func TestHousekeepingGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := make(chan string, 9)
		backend := memory.New(memory.Options{Intercept: func(request memory.Request) memory.Fault {
			sent <- request.Keys[0]
			return memory.FaultNone
		}})
		limiter := ratelimit.New(backend, ratelimit.Options{RequestsPerSecond: 10, Burst: 4})
		for range 4 {
			list(t, limiter.Normal())
		}
		housekeepingDone := make(chan struct{})
		go func() {
			defer close(housekeepingDone)
			_, _ = limiter.Housekeeping().List(context.Background(), "housekeeping")
		}()
		synctest.Wait()
		for range 4 {
			list(t, limiter.Normal())
		}
		<-housekeepingDone
		for range 8 {
			if kind := <-sent; kind != "normal" {
				t.Error("housekeeping went ahead of normal requests")
			}
		}
		if kind := <-sent; kind != "housekeeping" {
			t.Errorf("the last request is %s", kind)
		}
	})
}

func TestHousekeepingLeavesAReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := ratelimit.New(memory.New(memory.Options{}), ratelimit.Options{RequestsPerSecond: 1, Burst: 4})
		start := time.Now()
		for range 4 {
			list(t, limiter.Housekeeping())
		}
		if elapsed := time.Since(start); elapsed < 2*time.Second {
			t.Errorf("four housekeeping requests took %v", elapsed)
		}
		start = time.Now()
		list(t, limiter.Normal())
		if elapsed := time.Since(start); elapsed != 0 {
			t.Errorf("a normal request waited for %v", elapsed)
		}
	})
}

func TestRefusedRequestIsSentAgainAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const refusals = 3
		refused := 0
		backend := memory.New(memory.Options{Intercept: func(memory.Request) memory.Fault {
			if refused == refusals {
				return memory.FaultNone
			}
			refused++
			return memory.FaultRateLimit
		}})
		limiter := ratelimit.New(backend, ratelimit.Options{})
		list(t, limiter.Normal())
		if limiter.Requests() != refusals+1 || limiter.Refused() != refusals {
			t.Errorf("sent %d, refused %d", limiter.Requests(), limiter.Refused())
		}
	})
}

func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := memory.New(memory.Options{Intercept: func(memory.Request) memory.Fault { return memory.FaultRateLimit }})
		limiter := ratelimit.New(backend, ratelimit.Options{RateLimitRetries: 2})
		_, err := limiter.Normal().List(t.Context(), "any")
		if !errorx.IsOfType(err, store.ErrRateLimited) || limiter.Requests() != 3 {
			t.Errorf("got %v after %d requests", err, limiter.Requests())
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := limiter.Housekeeping().List(ctx, "any"); !store.NotWritten(err) {
			t.Errorf("a cancelled request gave %v", err)
		}
	})
}

func list(t *testing.T, from store.Store) {
	t.Helper()
	if _, err := from.List(t.Context(), "normal"); err != nil {
		t.Fatal(err)
	}
}
