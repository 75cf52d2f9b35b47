package snapshot_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

func Example() {
	ledger := model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: "ledger"},
		Service: &model.Service{Slots: 6, Calls: []string{}},
	}
	route := model.Resource{
		Key:   model.Key{Kind: model.KindRoute, Name: "ledger-all"},
		Route: &model.Route{Match: model.Match{Host: "*", PathPrefix: "/"}, Service: "ledger"},
	}
	first, _ := snapshot.New(1, []model.Resource{ledger})
	second, _ := snapshot.New(2, []model.Resource{ledger, route})

	delta := snapshot.Diff(first, second)
	applied, err := delta.Apply(first)
	fmt.Println(applied.Version(), applied.Keys(), err)

	_, err = snapshot.New(3, []model.Resource{route})
	fmt.Println(err)
	// Output:
	// 2 [Route/ledger-all Service/ledger] <nil>
	// levertide.snapshot.dangling_reference: route ledger-all names service ledger, which is not in the set
}
