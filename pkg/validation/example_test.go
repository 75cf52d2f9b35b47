package validation_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/validation"
)

func ExampleCheckResources() {
	route := model.Resource{
		Key: model.Key{Kind: model.KindRoute, Name: "vat"},
		Route: &model.Route{
			Match:      model.Match{Host: "*", PathPrefix: "/vat"},
			Service:    "ledger",
			Repeatable: model.RepeatNever,
			Priority:   model.PriorityNormal,
		},
	}
	for _, problem := range validation.CheckResources([]model.Resource{route}, validation.DefaultLimits()) {
		fmt.Println(problem)
	}
	// Output:
	// Route/vat: spec.service: Service/ledger is not declared in the set
}
