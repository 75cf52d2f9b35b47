package routing_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/snapshot"
)

func Example() {
	source, err := snapshot.New(1, []model.Resource{
		{Key: model.Key{Kind: model.KindService, Name: "ledger"}, Service: &model.Service{Slots: 6}},
		{Key: model.Key{Kind: model.KindRoute, Name: "books"}, Route: &model.Route{
			Match:   model.Match{Host: "*.example.com", PathPrefix: "/books"},
			Service: "ledger",
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	table, err := routing.Compile(source)
	if err != nil {
		fmt.Println(err)
		return
	}
	route, _ := table.Match("shop.example.com", "/books/7", "GET")
	fmt.Println(route.Name, route.Timeout)
	// Output: books 30s
}
