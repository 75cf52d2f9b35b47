package slotqueue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// stream describes one kind of requests in a replay.
type stream struct {
	name, tenant string
	rank         int
	perSecond    float64
	// work is the mean time that a request needs; spread is the standard deviation as a
	// share of it.
	work   time.Duration
	spread float64
	// target is the time within which an answer has its full value, waitLimit how long a
	// request may wait for a slot.
	target, waitLimit time.Duration
	// shed is the share of requests that the worker refuses at once.
	shed float64
	// from and until bound the time in which requests are sent; an until of zero is the end
	// of the replay.
	from, until time.Duration
}

// tally counts the outcomes of the requests of a stream.
type tally struct{ sent, inTime, late, refused, shed int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.sent, 1)) }

func (t tally) String() string {
	return fmt.Sprintf("%d sent, in time %.3f, late %.3f, refused %.3f", t.sent, t.share(),
		float64(t.late)/float64(max(t.sent, 1)), float64(t.refused)/float64(max(t.sent, 1)))
}

// replay sends streams to a worker with the given number of slots, in simulated time.
type replay struct {
	queue   *Queue
	seed    uint64
	length  time.Duration
	mu      sync.Mutex
	tallies map[string]*tally
	// started counts the requests that got a slot.
	started atomic.Int64
	group   sync.WaitGroup
}

// runReplay returns the outcomes of the requests of each stream. It must run in a synctest
// bubble.
func runReplay(slots int, seed uint64, length time.Duration, streams ...stream) map[string]*tally {
	r := &replay{queue: New(slots), seed: seed, length: length, tallies: map[string]*tally{}}
	for _, s := range streams {
		r.tallies[s.name] = &tally{}
	}
	for i, s := range streams {
		r.group.Go(func() { r.arrive(s, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	r.group.Wait()
	return r.tallies
}

// arrive sends the requests of a stream at random times.
func (r *replay) arrive(s stream, random *rand.Rand) {
	time.Sleep(s.from)
	end := r.length - s.from
	if s.until > 0 {
		end = s.until - s.from
	}
	began := time.Now()
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)))
		if time.Since(began) > end {
			return
		}
		work := time.Duration(max(1+s.spread*random.NormFloat64(), 0.2) * float64(s.work))
		shed := random.Float64() < s.shed
		r.group.Go(func() { r.send(s, work, shed) })
	}
}

// send has one request wait and run.
func (r *replay) send(s stream, work time.Duration, shed bool) {
	came := time.Now()
	permit, err := r.queue.Admit(context.Background(), Request{
		Rank: s.rank, Tenant: s.tenant, Work: s.work, Due: came.Add(s.target), LatestStart: came.Add(s.waitLimit),
	})
	if err == nil {
		r.started.Add(1)
		if shed {
			work = time.Millisecond
		}
		time.Sleep(work)
		permit.Release(!shed)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[s.name]
	t.sent++
	switch {
	case err != nil:
		t.refused++
	case shed:
		t.shed++
	case time.Since(came) <= s.target:
		t.inTime++
	default:
		t.late++
	}
}

// bestShare returns the largest share of the requests of the last stream that any order
// could serve when all requests of the other streams are served: the slot time that those
// leave, divided by the slot time that the last stream needs.
func bestShare(got map[string]*tally, streams ...stream) float64 {
	slotSeconds := replaySlots * replayTime.Seconds()
	var share float64
	for _, s := range streams {
		needed := float64(got[s.name].sent-got[s.name].shed) * s.work.Seconds()
		share = min(max(slotSeconds/needed, 0), 1)
		slotSeconds -= needed
	}
	return share
}

// The requests at one worker of the replayed service: payments, short lookups by other
// workers, and long reads of an archive.
var (
	payments = stream{name: "payments", rank: 1, perSecond: 8.5, work: 130 * time.Millisecond, spread: 0.3, target: 400 * time.Millisecond, waitLimit: 140 * time.Millisecond}
	lookups  = stream{name: "lookups", rank: 3, perSecond: 46, work: 45 * time.Millisecond, spread: 0.5, target: 200 * time.Millisecond, waitLimit: 110 * time.Millisecond}
	reads    = stream{name: "reads", rank: 7, perSecond: 7.8, work: 730 * time.Millisecond, spread: 0.5, target: 4 * time.Second, waitLimit: 500 * time.Millisecond}
)

const (
	replaySlots = 12
	replayTime  = 20 * time.Second
)

// TestBurstOfLongWork replays a burst of long, least urgent reads at two and a half times
// the usual rate beside payments and lookups. There are slots enough for all of the latter:
// at most one in twenty of them may be lost, and the reads get most of the remaining slot
// time.
func TestBurstOfLongWork(t *testing.T) {
	burst := reads
	burst.perSecond *= 2.5
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			got := runReplay(replaySlots, seed, replayTime, payments, lookups, burst)
			best := bestShare(got, payments, lookups, burst)
			t.Logf("seed %d: payments: %v; lookups: %v; reads: %v, best %.3f", seed, got["payments"], got["lookups"], got["reads"], best)
			if got["payments"].share() < 0.95 || got["lookups"].share() < 0.95 {
				t.Error("more urgent work is late or refused")
			}
			if got["lookups"].share() > got["payments"].share() || got["reads"].share() > got["lookups"].share() {
				t.Error("less urgent work is served better than more urgent")
			}
			if got["reads"].share() < 0.85*best {
				t.Error("slots were idle while reads waited")
			}
		})
	}
}

// TestLoudTenant replays one tenant that sends eight times its usual rate beside 75 others,
// for which there are slots enough: at most one in ten of the others' requests may be lost.
func TestLoudTenant(t *testing.T) {
	const tenants = 76
	quiet := stream{rank: 4, perSecond: 0.6, work: 200 * time.Millisecond, spread: 0.3, target: 500 * time.Millisecond, waitLimit: 200 * time.Millisecond}
	loud := quiet
	loud.name, loud.tenant, loud.perSecond = "loud", "loud", 8*5
	streams := []stream{loud}
	for n := range tenants - 1 {
		each := quiet
		each.name, each.tenant = "quiet", fmt.Sprint("tenant-", n)
		streams = append(streams, each)
	}
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			got := runReplay(replaySlots, seed, replayTime, streams...)
			t.Logf("seed %d: quiet: %v; loud: %v, best %.3f", seed, got["quiet"], got["loud"], bestShare(got, streams[1], loud))
			if got["quiet"].share() < 0.9 {
				t.Error("more than one in ten requests of the quiet tenants is lost beside the loud one")
			}
		})
	}
}

// TestOverloadOfOneRank replays one and a half times the load that the slots can serve, all
// of one rank: at least 0.95 of the requests that the slots can serve must be answered in
// time.
func TestOverloadOfOneRank(t *testing.T) {
	s := stream{name: "fetch", rank: 4, perSecond: 90, work: 200 * time.Millisecond, spread: 0.3, target: 500 * time.Millisecond, waitLimit: 100 * time.Millisecond}
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			got := runReplay(replaySlots, seed, replayTime, s)
			best := bestShare(got, s)
			t.Logf("seed %d: %v, best %.3f", seed, got["fetch"], best)
			if got["fetch"].share() < 0.95*best {
				t.Error("slots are idle, or work is late")
			}
		})
	}
}

// TestWorkerThatSheds replays a burst of payments and reads at a worker that refuses 0.55
// of the requests, after a millisecond each. Its quick refusals must not be taken for quick
// work: of the requests that it accepts, at most one in twenty of the more urgent ones may
// be lost, and the reads fare no worse than with a worker that sheds nothing.
func TestWorkerThatSheds(t *testing.T) {
	streams := []stream{payments, lookups, reads}
	streams[0].perSecond *= 2.5
	streams[2].perSecond *= 2.5
	for i := range streams {
		streams[i].shed = 0.55
	}
	for _, seed := range []uint64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			got := runReplay(replaySlots, seed, replayTime, streams...)
			unshed := map[string]*tally{}
			for name, each := range got {
				unshed[name] = &tally{sent: each.sent}
			}
			least := []float64{0.95, 0.95, bestShare(unshed, streams...)}
			for i, s := range streams {
				result := got[s.name]
				taken := float64(result.inTime) / float64(result.sent-result.shed)
				t.Logf("seed %d: %s: %v; in time of what was not turned away: %.3f, best %.3f", seed, s.name, result, taken, bestShare(got, streams[:i+1]...))
				if taken < least[i] {
					t.Errorf("%s: %.3f in time, want %.3f at least", s.name, taken, least[i])
				}
			}
		})
	}
}

// TestReservationEndsWithUrgentTraffic sends short urgent requests for a while and then
// none, while long ones wait that could use every slot: no slot may be idle for longer than
// the bound, and none once the urgent demand has decayed.
func TestReservationEndsWithUrgentTraffic(t *testing.T) {
	const end, forgotten = 4 * time.Second, 10 * time.Second
	urgent := lookups
	urgent.until = end
	long := reads
	long.perSecond, long.waitLimit = 40, 3*time.Second
	synctest.Test(t, func(t *testing.T) {
		r := &replay{queue: New(replaySlots), length: replayTime, tallies: map[string]*tally{urgent.name: {}, long.name: {}}}
		for i, s := range []stream{urgent, long} {
			r.group.Go(func() { r.arrive(s, rand.New(rand.NewPCG(1, uint64(i)))) })
		}
		began, idleSince := time.Now(), time.Now()
		var longest, late time.Duration
		var started int64
		for time.Since(began) < replayTime {
			time.Sleep(time.Millisecond)
			load := r.queue.Load()
			if load.Running >= load.Slots || load.Waiting == 0 || r.started.Load() > started {
				idleSince = time.Now()
			}
			started = r.started.Load()
			longest = max(longest, time.Since(idleSince))
			if time.Since(began) > forgotten {
				late = max(late, time.Since(idleSince))
			}
		}
		r.group.Wait()
		t.Logf("slots idle for %v at most, for %v after the urgent traffic ended", longest, late)
		if longest > maxHoldBack+recheckInterval {
			t.Error("slots were idle beyond the bound")
		}
		if late > 0 {
			t.Error("slots are withheld for urgent requests that no longer arrive")
		}
	})
}
