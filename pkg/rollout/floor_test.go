package rollout_test

import (
	"testing"

	"github.com/levertide/levertide/pkg/rollout"
)

func TestDecideFloor(t *testing.T) {
	near := func(committed, staged rollout.Version) rollout.FloorAnswer {
		return rollout.FloorAnswer{SameZone: true, Known: true, Committed: committed, Staged: staged}
	}
	far := rollout.FloorAnswer{Known: true, Committed: 6}
	three := rollout.FloorQuorum{ZoneMembers: 3, OtherZones: true}
	cases := map[string]struct {
		quorum  rollout.FloorQuorum
		answers []rollout.FloorAnswer
		floor   rollout.Version
		decided bool
	}{
		"store read":                 {three, []rollout.FloorAnswer{{Confirmed: true, Committed: 5}}, 5, true},
		"peer ahead of the store":    {three, []rollout.FloorAnswer{{Confirmed: true, Committed: 5}, near(7, 0)}, 7, true},
		"majority and elsewhere":     {three, []rollout.FloorAnswer{near(4, 0), near(5, 5), far}, 6, true},
		"no majority":                {three, []rollout.FloorAnswer{near(4, 0), far}, 0, false},
		"nobody elsewhere":           {three, []rollout.FloorAnswer{near(4, 0), near(5, 5)}, 0, false},
		"may have been committed":    {three, []rollout.FloorAnswer{near(4, 7), near(5, 5), far}, 0, false},
		"half of the zones":          {rollout.FloorQuorum{Zones: 3}, []rollout.FloorAnswer{far}, 0, false},
		"most of the zones":          {rollout.FloorQuorum{Zones: 3}, []rollout.FloorAnswer{far, {Known: true, Zone: "b", Committed: 5}}, 6, true},
		"one zone twice":             {rollout.FloorQuorum{Zones: 3}, []rollout.FloorAnswer{far, far}, 0, false},
		"answer knows of more zones": {rollout.FloorQuorum{OtherZones: true}, []rollout.FloorAnswer{{Known: true, Committed: 6, Zones: 3}}, 0, false},
		"answer knows of more":       {rollout.FloorQuorum{OtherZones: true}, []rollout.FloorAnswer{{Known: true, Committed: 6, ZoneMembers: 3}}, 0, false},
		"restarted ones":             {three, []rollout.FloorAnswer{near(4, 0), {SameZone: true}, far}, 0, false},
		"alone":                      {rollout.FloorQuorum{}, nil, 0, false},
		"first of its zone":          {rollout.FloorQuorum{OtherZones: true}, []rollout.FloorAnswer{far}, 6, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got := rollout.DecideFloor(test.quorum, test.answers)
			if got.Floor != test.floor || got.Decided != test.decided || got.Decided == (got.Reason != "") {
				t.Fatalf("decision %+v", got)
			}
		})
	}
}
