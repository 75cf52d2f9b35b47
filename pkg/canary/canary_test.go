package canary

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// version simulates the workers of a version.
type version struct {
	// failing is the fraction of requests that fail and slower how many times slower the
	// version is, both beginning with request number from.
	failing, slower float64
	from            int
}

// run returns the tally of n requests, of which the first has the given number.
func (v version) run(random *rand.Rand, first, n int) Tally {
	var t Tally
	for i := range n {
		failing, slower := 0.005, 1.0
		if first+i >= v.from {
			failing, slower = max(v.failing, failing), max(v.slower, 1)
		}
		t.Runs++
		if random.Float64() < failing {
			t.Failed++
			continue
		}
		t.LogTime += math.Log(0.2*slower) + 0.5*random.NormFloat64()
	}
	return t
}

// simulate passes a judge rounds of 60 requests of the previous version and 5 of the next.
// It returns how many failed or slow answers the next version had given when it was found
// to be bad; -1 if it was not.
func simulate(v version, seed uint64, rounds int) int {
	const former, next = 60, 5
	random := rand.New(rand.NewPCG(seed, 1))
	judge := NewJudge()
	bad := 0.0
	for round := range rounds {
		did := v.run(random, round*next, next)
		bad += did.Failed
		if v.slower > 1 && round*next >= v.from {
			bad += did.succeeded()
		}
		judge.Observe("read", version{from: math.MaxInt}.run(random, 0, former), did)
		if _, _, found := judge.Bad(); found {
			return int(bad)
		}
	}
	return -1
}

func TestBadVersionsAreFoundBeforeTheirFiftiethBadAnswer(t *testing.T) {
	const seeds = 500
	for name, v := range map[string]version{
		"fails a fifth":        {failing: 0.2},
		"fails a tenth":        {failing: 0.1},
		"fails half, late":     {failing: 0.5, from: 400},
		"five times slower":    {slower: 5},
		"four times, late":     {slower: 4, from: 400},
		"fails and is slower ": {failing: 0.2, slower: 4},
	} {
		missed, most := 0, 0
		for seed := range uint64(seeds) {
			found := simulate(v, seed, 400)
			if found < 0 || found > 50 {
				missed++
			}
			most = max(most, found)
		}
		t.Logf("%s: at most %d bad answers before it was found, %d of %d seeds over 50", name, most, missed, seeds)
		if missed > seeds/100 {
			t.Errorf("%s: not found before the fiftieth bad answer for %d of %d seeds", name, missed, seeds)
		}
	}
}

func TestGoodVersionsAreNotRolledBack(t *testing.T) {
	const seeds = 2000
	wrong := 0
	for seed := range uint64(seeds) {
		if simulate(version{}, seed, 200) >= 0 {
			wrong++
		}
	}
	t.Logf("%d of %d good versions were taken for bad", wrong, seeds)
	if wrong > seeds/100 {
		t.Errorf("%d of %d good versions were taken for bad", wrong, seeds)
	}
}

func TestFaultOfOneRouteIsFound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	judge := NewJudge()
	for range 40 {
		judge.Observe("read", version{from: math.MaxInt}.run(random, 0, 60), version{from: math.MaxInt}.run(random, 0, 5))
		judge.Observe("file", version{from: math.MaxInt}.run(random, 0, 20), version{failing: 0.5}.run(random, 0, 2))
	}
	if route, reason, bad := judge.Bad(); !bad || route != "file" || reason != "failures" {
		t.Errorf("bad %v on %q for %q", bad, route, reason)
	}
}

// TestTroubleOfBothVersionsIsNoFault has both versions fail at the same rate.
func TestTroubleOfBothVersionsIsNoFault(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	judge := NewJudge()
	for range 100 {
		judge.Observe("read", version{failing: 0.3}.run(random, 0, 60), version{failing: 0.3}.run(random, 0, 5))
	}
	if _, reason, bad := judge.Bad(); bad {
		t.Errorf("taken for bad: %s", reason)
	}
}

// TestSuddenTroubleOfBothVersionsIsNoFault has both versions begin to fail at the same moment.
func TestSuddenTroubleOfBothVersionsIsNoFault(t *testing.T) {
	const seeds = 500
	wrong := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 4))
		judge := NewJudge()
		for round := range 100 {
			v := version{failing: 0.3, slower: 2, from: 50}
			judge.Observe("read", v.run(random, round, 60), v.run(random, round, 5))
		}
		if _, _, bad := judge.Bad(); bad {
			wrong++
		}
	}
	if wrong > seeds/50 {
		t.Errorf("taken for bad with %d of %d seeds", wrong, seeds)
	}
}

func start() (r *Rollout, began time.Time) {
	began = time.Unix(1000, 0)
	return NewRollout(began, began.Add(20*time.Second)), began
}

func TestGoodVersionIsCompletedInTime(t *testing.T) {
	r, began := start()
	exposed, asked := 0.0, 0.0
	seen := Progress{Workers: 4, Runs: 100, Applied: true, Drain: 3 * time.Second}
	last := Decision{}
	for at := time.Duration(0); at <= 20*time.Second; at += 100 * time.Millisecond {
		last = r.Step(seen, began.Add(at))
		if part := float64(at) / float64(20*time.Second); part < halfAt {
			exposed += last.Share
			asked++
		}
		if last.State == Completed {
			if at < 15*time.Second || at > 19500*time.Millisecond {
				t.Errorf("completed after %v", at)
			}
			break
		}
	}
	if last.State != Completed || last.Share != 1 {
		t.Errorf("ended with %+v", last)
	}
	if exposed/asked > canaryShare+1e-9 {
		t.Errorf("share %v while little was known", exposed/asked)
	}
}

func TestNothingIsCompletedBeforeAllNodesSteer(t *testing.T) {
	r, began := start()
	seen := Progress{Workers: 4, Runs: 100}
	if d := r.Step(seen, began.Add(19*time.Second)); d.State != Running || d.Share != 1 {
		t.Errorf("%+v", d)
	}
}

func TestVersionThatRunsNothingIsGivenUp(t *testing.T) {
	r, began := start()
	if d := r.Step(Progress{}, began.Add(10*time.Second)); d.State != Running || d.Share != 0 {
		t.Errorf("half of the time: %+v", d)
	}
	if d := r.Step(Progress{}, began.Add(17*time.Second)); d.State != RolledBack || d.Reason == "" {
		t.Errorf("late: %+v", d)
	}
}

func TestRollBackIsFinal(t *testing.T) {
	r, began := start()
	r.Judge().Observe("read", Tally{Runs: 100}, Tally{Runs: 20, Failed: 20})
	if d := r.Step(Progress{Workers: 1, Runs: 20}, began.Add(time.Second)); d.State != RolledBack || d.Share != 0 {
		t.Fatalf("%+v", d)
	}
	if d := r.Step(Progress{Workers: 4, Runs: 1000, Applied: true}, began.Add(15*time.Second)); d.State != RolledBack {
		t.Errorf("%+v", d)
	}
}
