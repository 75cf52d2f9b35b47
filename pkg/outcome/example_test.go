package outcome_test

import (
	"fmt"
	"net/http"

	"github.com/levertide/levertide/pkg/outcome"
)

func Example() {
	err := outcome.New(outcome.Overloaded)
	header := http.Header{}
	status := outcome.SetHeaders(header, err)
	fmt.Println(status, header.Get(outcome.Header), header.Get(outcome.ReasonHeader))
	// Output: 503 not-run overloaded
}
