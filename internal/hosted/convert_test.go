package hosted

import (
	"math"
	"testing"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/canary"
)

// TestNumbersOfOneRecordDoNotHideABadVersion guards against a roll-out that is judged no more, since the
// runs in one record are no numbers, or beyond what runs can take.
func TestNumbersOfOneRecordDoNotHideABadVersion(t *testing.T) {
	const runs = 200
	for _, odd := range []*exchangepb.RouteRuns{
		{Runs: 40, LogTime: math.NaN()}, {Runs: 40, LogTime: math.Inf(1)}, {Runs: 40, LogTime: math.Inf(-1)},
		{Runs: 40, LogTime: math.MaxFloat64}, {LogTime: 1}, {Runs: 1, Failed: math.MaxUint64},
	} {
		judge := canary.NewJudge()
		odd.Route = "r"
		messages := []*exchangepb.Rollout{{Service: "s", Target: "v2", Runs: []*exchangepb.RouteRuns{odd, {Route: "r", Runs: runs, LogTime: runs * math.Log(0.1)}}}}
		for _, held := range rolloutsOf(messages)[0].Runs {
			judge.Observe("r", held.Tally, canary.Tally{})
		}
		if _, reason, bad := judge.Bad(); bad {
			t.Errorf("%v: bad before it has run: %s", odd, reason)
		}
		judge.Observe("r", canary.Tally{}, canary.Tally{Runs: runs, LogTime: runs * math.Log(10)})
		if _, _, bad := judge.Bad(); !bad {
			t.Errorf("%v: a version that is a hundred times as slow is not found", odd)
		}
	}
}

// TestShareOfOneRecordIsAShare guards against a share of the requests beyond all of them, at which a
// roll-out never ends.
func TestShareOfOneRecordIsAShare(t *testing.T) {
	if list := rolloutsOf([]*exchangepb.Rollout{{Service: "s", ShareThousandths: math.MaxUint32}}); list[0].Share != 1 {
		t.Errorf("share %v", list[0].Share)
	}
}

// TestEraOfOneRecordDoesNotHideRestores guards against nodes that notice no return of the store from a
// copy any more, since a record names an era that it does not reach.
func TestEraOfOneRecordDoesNotHideRestores(t *testing.T) {
	for _, era := range []uint64{math.MaxUint64, math.MaxInt64, 1 << 40} {
		if held, _ := nodeOf(&exchangepb.Node{Id: "a", StoreEra: era}); held.StoreEra != 0 {
			t.Errorf("era %d counts as %d", era, held.StoreEra)
		}
	}
	if held, _ := nodeOf(&exchangepb.Node{Id: "a", StoreEra: 7}); held.StoreEra != 7 {
		t.Errorf("era 7 counts as %d", held.StoreEra)
	}
}
