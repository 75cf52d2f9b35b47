package versionstore_test

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Two operators build on the same version. One succeeds; the other gets
// ErrConflict with the current head.
func Example() {
	ctx := context.Background()
	versions := versionstore.New(versionstore.Config{Store: memory.New(memory.Options{})})
	service := model.Resource{
		Key:     model.Key{Kind: model.KindService, Name: "ledger"},
		Service: &model.Service{Slots: 6, Connections: 130},
	}

	first, err := versions.Propose(ctx, versionstore.ProposeRequest{
		ApplyID:   "apply-of-anna",
		Operator:  "anna",
		Resources: []model.Resource{service},
	})
	fmt.Println("proposed:", first.Version, err)

	head, err := versions.Commit(ctx, first.Version, "apply-of-anna")
	fmt.Println("committed:", head.Committed, err)

	_, err = versions.Propose(ctx, versionstore.ProposeRequest{
		ApplyID:   "apply-of-bram",
		Operator:  "bram",
		Base:      0,
		Resources: []model.Resource{service},
	})
	current, _ := versionstore.CurrentHead(err)
	fmt.Println("conflict:", errorx.IsOfType(err, versionstore.ErrConflict), "current:", current.Committed)

	loaded, err := versions.LoadSnapshot(ctx, head.Committed, nil)
	fmt.Println("loaded:", loaded.Len(), err)

	// Output:
	// proposed: 1 <nil>
	// committed: 1 <nil>
	// conflict: true current: 1
	// loaded: 1 <nil>
}
