package manifest_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/manifest"
)

func ExampleParse() {
	set, faults := manifest.Parse("ledger.yaml", []byte(`
kind: Service
name: ledger
spec:
  slots: 6
  connections: 130
---
kind: Secret
name: token
spec:
  valeu: hush
`))
	for _, resource := range set.Resources() {
		fmt.Println(resource.Key)
	}
	for _, fault := range faults {
		fmt.Println(fault.Error())
	}
	// Output:
	// Service/ledger
	// ledger.yaml:11:3: spec.valeu: the field "valeu" is not known here (did you mean value?)
	// ledger.yaml:11:3: spec.value: the field is missing
}
