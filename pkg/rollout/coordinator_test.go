package rollout_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/rollout"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func members(ids ...string) rollout.MemberSum {
	var sum rollout.MemberSum
	for _, id := range ids {
		sum = sum.Plus(rollout.SumOf(id, 1))
	}
	return sum
}

func proposing(live rollout.MemberSum) *rollout.Coordinator {
	c := rollout.NewCoordinator(rollout.CoordinatorOptions{UnresponsiveBound: 2 * time.Second})
	c.ObserveMembers(live, start)
	c.ObserveHead(proposedHead(11, 3, 4), start)
	return c
}

func staged(version rollout.Version, ids ...string) rollout.Readiness {
	return rollout.Readiness{Proposed: version, Ready: members(ids...)}
}

func TestCommitsOnceAllHaveStaged(t *testing.T) {
	c := proposing(members("a", "b"))
	c.ObserveReadiness(staged(4, "a"), start)
	if got := c.Decide(start); got != (rollout.Wait{Until: start.Add(2 * time.Second)}) {
		t.Fatalf("decision %+v", got)
	}
	c.ObserveReadiness(staged(4, "a", "b"), start)
	want := rollout.CommitVersion{Version: 4, ApplyID: applyOf(4)}
	if got := c.Decide(start); got != want {
		t.Fatalf("decision %+v", got)
	}
}

func TestUnresponsiveMembersDelayForABoundedTime(t *testing.T) {
	cases := map[string]struct {
		staged       []string
		bound        time.Duration
		unresponsive uint32
	}{
		"half have staged": {staged: []string{"a"}, bound: 2 * time.Second, unresponsive: 1},
		"none has staged":  {bound: 10 * time.Second, unresponsive: 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := proposing(members("a", "b"))
			c.ObserveReadiness(staged(4, test.staged...), start)
			if _, waits := c.Decide(start.Add(test.bound - 1)).(rollout.Wait); !waits {
				t.Fatal("decided early")
			}
			want := rollout.CommitVersion{Version: 4, ApplyID: applyOf(4), Unresponsive: test.unresponsive}
			if got := c.Decide(start.Add(test.bound)); got != want {
				t.Fatalf("decision %+v", got)
			}
		})
	}
}

func TestOneRefusalAborts(t *testing.T) {
	c := proposing(members("a", "b"))
	refusal := rollout.NodeReason{Node: "b", Reason: "too large"}
	c.ObserveReadiness(rollout.Readiness{Proposed: 4, Ready: members("a"), Refused: []rollout.NodeReason{refusal}}, start)
	// The refusing node is gone from the next report: its refusal still counts.
	c.ObserveMembers(members("a"), start)
	c.ObserveReadiness(staged(4, "a"), start)
	abort, aborts := c.Decide(start.Add(time.Hour)).(rollout.AbortVersion)
	if !aborts || abort.Rejection.Node != "b" || abort.Rejection.ApplyID != applyOf(4) {
		t.Fatalf("decision %+v", abort)
	}
	c.ObserveHead(proposedHead(13, 3, 5), start)
	c.ObserveReadiness(staged(5, "a"), start)
	if _, commits := c.Decide(start).(rollout.CommitVersion); !commits {
		t.Fatal("the refusal of an earlier proposal still counts")
	}
}

func TestReadinessOfAnotherProposalDoesNotCount(t *testing.T) {
	c := proposing(members("a"))
	c.ObserveReadiness(staged(3, "a"), start)
	if _, waits := c.Decide(start).(rollout.Wait); !waits {
		t.Fatal("decided")
	}
}

func TestNothingIsDecidedWhileTheStoreIsRegressed(t *testing.T) {
	c := proposing(members("a"))
	c.ObserveReadiness(staged(4, "a"), start)
	c.ObserveHead(proposedHead(20, 2, 3), start)
	if got := c.Decide(start.Add(time.Hour)); got != (rollout.Wait{}) {
		t.Fatalf("decision %+v", got)
	}
	c.ObserveHead(proposedHead(21, 3, 4), start)
	if _, commits := c.Decide(start).(rollout.CommitVersion); !commits {
		t.Fatal("does not decide after the store has recovered")
	}
}

func drawReadiness(t *rapid.T, label string) rollout.Readiness {
	reasons := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) rollout.NodeReason {
		return rollout.NodeReason{Node: rapid.StringMatching("[a-z]{1,2}").Draw(t, "node"), Reason: "reason"}
	}), 0, 6)
	id := rapid.StringMatching("[a-z]{1,3}")
	return rollout.MergeReadiness(rollout.Readiness{}, rollout.Readiness{
		Proposed:  rapid.Uint64Range(0, 2).Draw(t, label+" proposed"),
		Ready:     rollout.SumOf(id.Draw(t, "ready"), 1),
		Refused:   reasons.Draw(t, "refused"),
		Committed: rapid.Uint64Range(0, 2).Draw(t, label+" committed"),
		InForce:   rollout.SumOf(id.Draw(t, "in force"), 1),
		Lagging:   reasons.Draw(t, "lagging"),
	})
}

func TestMergeOfReadinessIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawReadiness(t, "a"), drawReadiness(t, "b"), drawReadiness(t, "c")
		if !reflect.DeepEqual(rollout.MergeReadiness(a, b), rollout.MergeReadiness(b, a)) {
			t.Fatal("not commutative")
		}
		left := rollout.MergeReadiness(rollout.MergeReadiness(a, b), c)
		right := rollout.MergeReadiness(a, rollout.MergeReadiness(b, c))
		if !reflect.DeepEqual(left, right) {
			t.Fatalf("not associative:\n%+v\n%+v", left, right)
		}
	})
}
