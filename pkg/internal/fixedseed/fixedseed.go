// Package fixedseed runs tests whose property checks draw the same cases each
// time. Only tests import it.
package fixedseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// settings are flags of rapid. Failures are shown in full, so that no file with
// them has to be kept.
var settings = map[string]string{
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

// Main is the body of a TestMain in a package that uses rapid.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
